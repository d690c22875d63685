"""The one owner of all in-process state: (time, events) in, effects out."""

from __future__ import annotations

import logging
from typing import Any

from gladecroft.bookkeeping.records import MachineUse
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
        #: None: it is switched off.
        self.admission: AdmissionControl | None = None
        if operator_settings.admission:
            patience = self.scheduler.ordering.target_wait
            most_jobs = int(JOBS_PER_MB * self.context.cluster.limits.memory_mb)
            self.admission = AdmissionControl(
                self.context, self.membership, self.autoscaler.capacity, patience, most_jobs
            )
            self.scheduler.current_tiers = self.admission.tiers
        self.users = UserRequestHandler(self.context, self.membership, self.scheduler.infeasible_reason)
        self.users.pending.wait_reason = self.scheduler.wait_reason
        if self.admission is not None:
            self.users.retry_delay = self.admission.retry_delay
        self.operator_commands = OperatorCommands(self.context, self.membership, self.state_writer)

    def step(self, clock: ClockReading, events: list[Event]) -> list[Effect]:
        """Take in a batch of events and say what is to be done."""
        context = self.context
        context.now, context.wall_time = clock.monotonic, clock.wall
        if context.panel is not None:
            context.panel.begin(clock.wall)
        for event in events if self.admission is None else user_requests_last(events):
            try:
                self._handle_event(event)
            except Exception:
                # One message that trips a fault must not end the controller: what matters is in the state service.
                log.exception("fault while handling %s", type(event).__name__)
                if isinstance(event, IncomingRequest):
                    context.reply_error(event.request_id, 500, "internal fault")
            # At once, not at the end of the batch: a report handled between the news of an epoch and what follows
            # from it would be judged by what held before, and its machine's ownership dated too early.
            self._follow_epoch()
        self.membership.tick()
        self._follow_epoch()
        self.consent.tick()
        self.users.tick()
        if context.panel is not None:
            self.operator_commands.tick()
        self.machine_manager.check_silence()
        self.autoscaler.tick()
        if self.admission is not None:
            self._agree(self.admission)
        self.state_writer.exit_tracker.notify_homes()
        self.state_writer.flush()
        self.machine_manager.push_commands()
        self.context.account()
        return context.take_effects()

    @staticmethod
    def _agree(admission: AdmissionControl) -> None:
        try:
            admission.tick()
        except Exception:
            # It says who comes first; no rule rests on it, and a fault in it must not end the controller.
            log.exception("fault while agreeing on shares")

    def _follow_epoch(self) -> None:
        self.membership.see_epoch()
        if self.membership.changed:
            self.membership.changed = False
            self.consent.epoch_changed()
            self.state_writer.epoch_changed(self.membership.epoch_continuous)
            self.machine_manager.epoch_changed(self.membership.epoch_continuous)
            self.scheduler.candidate_cache.invalidate_all()
            self.autoscaler.epoch_changed()
            if self.admission is not None:
                self.admission.epoch_changed()

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, CallResult):
            self.context.answered(event.call, event.status, event.body)
        elif isinstance(event, WatchResult):
            self.membership.watched(event)
        else:
            self._asked(event)

    def _asked(self, request: IncomingRequest) -> None:
        if request.kind is RequestKind.REPORT:
            self.machine_manager.handle_report(request)
        elif request.kind is RequestKind.HEALTH:
            if self.healthy():
                self.context.reply(request.request_id, 200, b"{}")
            else:
                self.context.reply_error(request.request_id, 503, "can't take requests now", 1)
        elif request.kind is RequestKind.ATTEMPTS_ENDED:
            self.state_writer.exit_tracker.handle_ended(request)
        elif request.kind is RequestKind.MACHINES_REPORTED:
            self.machine_manager.handle_announcement(request)
        elif request.kind is RequestKind.QUERY_REPORTING:
            self.machine_manager.misrouted.handle_reporting_query(request)
        elif request.kind is RequestKind.CONSENT:
            self.consent.asked(request)
        elif request.kind is RequestKind.LIST_CORDONS:
            self.operator_commands.show(request)
        elif request.kind is RequestKind.CHANGE_CORDON:
            self.operator_commands.asked(request)
        elif request.kind is RequestKind.ADMISSION:
            self._show_admission(request)
        elif request.kind is RequestKind.VIEW:
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
        # In an outage for all no other controller would serve users better; the one who alone is refused steps aside.
        served = not self.context.state_down() or self.consent.outage()
        return self.context.records_loaded and served and bool(self.scheduler.types)

    def view(self) -> dict[str, Any]:
        """This controller's own view, for operators; no jobs in it."""
        epoch = self.membership.epoch
        machines = [
            name
            for name, record in self.context.cluster_state.machines.items()
            if record.use is not MachineUse.RETURNED
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
            "queues": {**self.users.queue_lengths(), "exits": len(self.state_writer.exits)},
        }
        panel = self.context.panel
        if panel is not None:
            view["policies"] = {
                name: {"asked": panel.asked[name], "rounds_not_heard": panel.dropped[name]} for name in panel.policies
            }
        return view
