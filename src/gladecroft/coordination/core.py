"""The core: holds all state of a controller process, and turns clock readings and events into effects."""

from __future__ import annotations

import logging
from typing import Any

from msgspec import to_builtins

from gladecroft.bookkeeping.records import MachineLifecycle
from gladecroft.coordination.admission import AdmissionControl
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import (
    CallResult,
    ClockReading,
    Effect,
    Event,
    IncomingRequest,
    RequestKind,
    WatchResult,
    user_requests_last,
)
from gladecroft.coordination.fleet import Autoscaler
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.operator_commands import OperatorCommands
from gladecroft.coordination.scheduling import Scheduler
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.coordination.users import UserRequestHandler
from gladecroft.coordination.users.handler import JOBS_PER_MB
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from gladecroft.protocol.wire import encode

log = logging.getLogger(__name__)


class Core:
    """Wires the components of a controller together and dispatches events to them."""

    def __init__(self, platform: PlatformSettings, operator_settings: OperatorSettings) -> None:
        self.context = ControllerContext(platform, operator_settings)
        self.membership = Membership(self.context)
        self.consent = PeerConsent(self.context, self.membership)
        self.state_writer = StateWriter(self.context, self.membership)
        self.machine_manager = MachineManager(self.context, self.membership, self.state_writer, self.consent)
        self.scheduler = Scheduler(self.context, self.membership, self.machine_manager, self.state_writer)
        self.autoscaler = Autoscaler(
            self.context, self.membership, self.machine_manager, self.state_writer, self.scheduler
        )
        #: None if admission control is disabled.
        self.admission: AdmissionControl | None = None
        if operator_settings.admission:
            target_wait = self.scheduler.ordering.target_wait
            max_jobs = int(JOBS_PER_MB * self.context.cluster.limits.memory_mb)
            self.admission = AdmissionControl(
                self.context, self.membership, self.autoscaler.capacity, target_wait, max_jobs
            )
            self.scheduler.current_tiers = self.admission.tiers
        self.users = UserRequestHandler(self.context, self.membership, self.scheduler.infeasible_reason)
        self.users.pending.wait_reason = self.scheduler.wait_reason
        if self.admission is not None:
            self.users.retry_delay = self.admission.retry_delay
        self.operator_commands = OperatorCommands(self.context, self.membership, self.state_writer)

    def step(self, clock: ClockReading, events: list[Event]) -> list[Effect]:
        """Process a batch of events and return the effects to carry out."""
        context = self.context
        context.now, context.wall_time = clock.monotonic, clock.wall
        if context.policy_engine is not None:
            context.policy_engine.begin_round(clock.wall)
        for event in events if self.admission is None else user_requests_last(events):
            try:
                self._handle_event(event)
            except Exception:
                # A bug triggered by one event must not stop the controller. The durable state is not affected: it is in
                # the state service.
                log.exception("unexpected error while handling %s", type(event).__name__)
                if isinstance(event, IncomingRequest):
                    context.reply_error(event.request_id, 500, "internal fault")
            # Done after each event, not at the end of the batch. Otherwise a report that follows a new epoch in the
            # same batch would be handled under the old epoch, and the start of the machine's ownership would be dated
            # too early.
            self._apply_epoch_change()
        self.membership.tick()
        self._apply_epoch_change()
        self.consent.tick()
        self.users.tick()
        if context.policy_engine is not None:
            self.operator_commands.tick()
        self.machine_manager.check_silence()
        self.autoscaler.tick()
        if self.admission is not None:
            self._tick_admission(self.admission)
        self.state_writer.exit_tracker.notify_home_controllers()
        self.state_writer.flush()
        self.machine_manager.push_commands()
        self.context.log_write_usage()
        return context.take_effects()

    @staticmethod
    def _tick_admission(admission: AdmissionControl) -> None:
        try:
            admission.tick()
        except Exception:
            # Admission control only orders and rejects jobs. No safety invariant depends on it, so an error in it must
            # not stop the controller.
            log.exception("unexpected error in admission control")

    def _apply_epoch_change(self) -> None:
        """Notify the components if the epoch has changed."""
        self.membership.detect_epoch_change()
        if self.membership.epoch_change_pending:
            self.membership.epoch_change_pending = False
            self.consent.epoch_changed()
            self.state_writer.epoch_changed(self.membership.epoch_continuous)
            self.machine_manager.epoch_changed(self.membership.epoch_continuous)
            self.scheduler.candidate_cache.invalidate_all()
            self.autoscaler.epoch_changed()
            if self.admission is not None:
                self.admission.epoch_changed()

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, CallResult):
            self.context.handle_call_result(event.call_id, event.status, event.body)
        elif isinstance(event, WatchResult):
            self.membership.handle_watch_result(event)
        else:
            self._handle_request(event)

    def _handle_request(self, request: IncomingRequest) -> None:
        if request.kind is RequestKind.REPORT:
            self.machine_manager.handle_report(request)
        elif request.kind is RequestKind.HEALTH:
            if self.healthy():
                self.context.reply(request.request_id, 200, b"{}")
            else:
                self.context.reply_error(request.request_id, 503, "can't take requests now", 1)
        elif request.kind is RequestKind.ANNOUNCE_ENDED_ATTEMPTS:
            self.state_writer.exit_tracker.handle_ended(request)
        elif request.kind is RequestKind.ANNOUNCE_MACHINES:
            self.machine_manager.handle_announcement(request)
        elif request.kind is RequestKind.QUERY_REPORTING:
            self.machine_manager.misrouted.handle_reporting_query(request)
        elif request.kind is RequestKind.REQUEST_CONSENT:
            self.consent.handle_request(request)
        elif request.kind is RequestKind.LIST_CORDONS:
            self.operator_commands.list_cordons(request)
        elif request.kind is RequestKind.CHANGE_CORDON:
            self.operator_commands.change_cordon(request)
        elif request.kind is RequestKind.GET_ADMISSION_STATUS:
            self._show_admission(request)
        elif request.kind is RequestKind.GET_CONTROLLER_STATUS:
            self.context.reply(request.request_id, 200, encode(self.view()))
        else:
            self.users.handle(request)

    def _show_admission(self, request: IncomingRequest) -> None:
        if self.admission is None:
            self.context.reply_error(request.request_id, 404, "fair shares are not switched on (admission=true)")
        elif not self.context.records_loaded:
            self.context.reply_error(request.request_id, 503, "starting: the records are not read yet", 1)
        else:
            self.context.reply(request.request_id, 200, encode(self.admission.show()))

    def healthy(self) -> bool:
        """Whether this controller should receive user requests."""
        # During an outage for all controllers, redirecting users to another controller gains nothing. If only this
        # controller can't reach the state service, it reports itself unhealthy, so that users are sent to another.
        state_usable = not self.context.state_down() or self.consent.outage_confirmed()
        return self.context.records_loaded and state_usable and bool(self.scheduler.types)

    def view(self) -> dict[str, Any]:
        """A summary of this controller's state for operators, without details of jobs.

        Operators' tools read the keys, so they are fixed. ``part``: the machines that this controller owns.
        """
        epoch = self.membership.epoch
        machines = [
            name
            for name, record in self.context.cluster_state.machines.items()
            if record.lifecycle is not MachineLifecycle.RETURNED
        ]
        view: dict[str, Any] = {
            "name": self.context.name,
            "healthy": self.healthy(),
            "role": "leader" if self.membership.is_leader() else "member" if self.membership.is_active() else "outside",
            "epoch": None if epoch is None else epoch.number,
            "members": [] if epoch is None else sorted(epoch.members),
            "revision": self.context.cluster_state.revision,
            "part": sorted(name for name in machines if self.membership.owner(name) == self.context.name),
            "machines": len(machines),
            "jobs": len(self.context.cluster_state.jobs),
            "budgets": {
                "state_requests": round(self.context.state_requests.tokens, 1),
                "state_writes": round(self.context.state_writes.tokens, 1),
                "cloud": round(self.context.cloud_calls.tokens, 1),
            },
            "commands": to_builtins(self.machine_manager.command_sender.command_log.counts),
            "queues": {**self.users.queue_lengths(), "exits": len(self.state_writer.exits)},
        }
        policy_engine = self.context.policy_engine
        if policy_engine is not None:
            view["policies"] = {
                name: {
                    "asked": policy_engine.query_counts[name],
                    "rounds_not_heard": policy_engine.suspension_counts[name],
                }
                for name in policy_engine.policies
            }
        return view
