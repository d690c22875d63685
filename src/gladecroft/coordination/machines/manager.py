"""Manages the machines that this controller owns: replies to reports, sends commands, detects exits.

The owner of a machine is the controller that replies to its reports. Each reply renews the machine's lease; a machine
whose lease has ended stops its tasks.

The tasks that the records place on a machine are the *desired* ones, those that its newest report lists the *observed*
ones; the commands are derived from the difference. The absence of a task proves something only in a *trusted* report:
no direct command is without a response, no reply that starts a task may still be in flight, and the report carries
the fencing token, so that no command sent earlier can still be executed.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import MachineLifecycle, MachineRecord
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.machines.announcer import MachineAnnouncer
from gladecroft.coordination.machines.command_sender import CommandSender
from gladecroft.coordination.machines.machine import Machine, parse_task_key
from gladecroft.coordination.machines.misrouted_reports import TRANSIT_MARGIN, MisroutedReports
from gladecroft.coordination.machines.report_evaluator import ReportEvaluator
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import LOST_NOTE_PREFIX, Outcome, StateWriter
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Report

log = logging.getLogger(__name__)

#: How often the machines are checked for missing reports.
SILENCE_CHECK_INTERVAL = timedelta(milliseconds=400)
#: A machine that has acknowledged nothing for its lease time divided by this, and for two report intervals, is asked
#: for an acknowledgement.
ACK_REQUESTS_PER_LEASE = 3
#: How often all known machines are scanned for owned ones that have not reported to this controller.
SCAN_INTERVAL = timedelta(seconds=1.2)


class MachineManager:
    """Handles the reports of owned machines, commands them, and detects machines that are silent or lost."""

    def __init__(
        self, context: ControllerContext, membership: Membership, state_writer: StateWriter, consent: PeerConsent
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        self.consent = consent
        self.machines: dict[str, Machine] = {}
        self.evaluator = ReportEvaluator(context, state_writer)
        self.announcer = MachineAnnouncer(context, membership, state_writer)
        self.command_sender = CommandSender(
            context,
            membership,
            state_writer,
            consent,
            lambda machine, response: self._accept_report(machine, response, is_response=True),
            lambda machine: self.machines.get(machine.id) is machine,
        )
        self.misrouted = MisroutedReports(context, membership, self.machines, self.handle_report)
        #: A machine is silent if no report has arrived for longer than this.
        self._silence_threshold = 2.5 * context.report_interval + 2 * TRANSIT_MARGIN
        self._silence_checked_at = timedelta(days=-1)
        self._scanned_at = timedelta(days=-1)
        #: The highest token sent to a machine whose state was dropped.
        self._highest_dropped_token = -1

    # Ownership -----------------------------------------------------------------------------------------------

    def epoch_changed(self, continuous: bool) -> None:
        """Drops the machines that this controller no longer owns; the others keep their fencing tokens.

        ``continuous`` is false if epochs were missed or this controller was not a member meanwhile. Another controller
        may then have owned and replied to any of the machines, so everything known about them is dropped.
        """
        is_member = self.membership.is_member()
        for machine_id in list(self.machines):
            if not continuous or not is_member or self.membership.owner(machine_id) != self.context.name:
                self._drop_machine(machine_id)
        self.misrouted.epoch_changed()
        self.cluster_state.dirty_for_owner.update(self.cluster_state.tasks_by_machine, self.cluster_state.machines)
        self._scanned_at = timedelta(days=-1)
        self.announcer.announce_to_new_members()

    def ensure_machine(self, machine_id: str) -> Machine:
        """Returns the state of an owned machine, creating it on first use.

        If the state was dropped in this epoch, copies of the commands sent before may still arrive. The token is higher
        than theirs, since this controller no longer knows which of them started a task.
        """
        machine = self.machines.get(machine_id)
        if machine is None:
            token = max(self.membership.base_token(), self._highest_dropped_token + 1)
            machine = self.machines[machine_id] = Machine(machine_id, self.membership.epoch_seen_at, token, token)
        return machine

    def _drop_machine(self, machine_id: str) -> None:
        machine = self.machines.pop(machine_id, None)
        if machine is not None:
            self._highest_dropped_token = max(self._highest_dropped_token, machine.token)

    # Reports -------------------------------------------------------------------------------------------------

    def handle_report(self, request: IncomingRequest) -> None:
        """Replies to a machine's report with commands, or treats it as misrouted if another controller is the owner."""
        context = self.context
        report = context.decode_request(request, Report)
        if report is None:
            return
        if not self.consent.may_reply_to_reports():
            context.reply_error(request.request_id, 503, "not entitled to act", 1)
            return
        known = self.cluster_state.machines.get(report.machine)
        if (
            self.cluster_state.was_returned(report.machine)
            or known is not None
            and known.lifecycle is MachineLifecycle.RETURNED
        ):
            # The report was in flight when the machine was returned to the cloud. If it were accepted, tasks would be
            # placed on a machine that no longer exists.
            log.info("report rejected: machine=%s was returned to the cloud", report.machine)
            context.reply_error(request.request_id, 503, "this machine was returned", 1)
            return
        owner = self.membership.owner(report.machine, report.zone)
        if owner != context.name:
            self.misrouted.handle_report(request, report.machine, owner, report.addr)
            return
        machine = self.ensure_machine(report.machine)
        if report.token > self.command_sender.current_token(machine):
            # The machine knows a newer epoch than this controller.
            context.reply_error(request.request_id, 503, "a newer epoch is about", 1)
            return
        if not self._accept_report(machine, report):
            context.reply_error(request.request_id, 503, "a newer report is known", 1)
            return
        if machine.ack_overdue(context.now, context.machine_lease):
            # The machine has acknowledged no reply for a whole lease, so its lease has ended. With further replies it
            # would count as alive for as long as it reports, and the exits of its tasks would never be confirmed.
            context.reply_error(request.request_id, 503, "this machine does not hear its answers", 1)
            return
        self._request_ack(machine)
        machine.last_reply_at, machine.last_reply_session = context.now, report.session
        commands = self.command_sender.commands_for_reply(machine)
        context.reply(request.request_id, 200, wire.encode(commands))
        self.cluster_state.dirty_for_owner.discard(machine.id)

    def _request_ack(self, machine: Machine) -> None:
        """Raises the token of the next reply if the machine has acknowledged no reply for some time.

        No request is needed for most machines: they report so often that each report is an acknowledgement.
        """
        if machine.ack_token is not None:
            return
        if machine.acked_at is None:
            machine.ack_token = machine.fencing_token  # the first reply carries the token to return
        elif self.context.now - machine.acked_at > max(
            self.context.machine_lease / ACK_REQUESTS_PER_LEASE, 2 * self.context.report_interval
        ):
            machine.token = machine.ack_token = self.command_sender.current_token(machine) + 1

    def _accept_report(self, machine: Machine, report: Report, is_response: bool = False) -> bool:
        """Accepts a report if it is newer than the last one; returns whether it is.

        ``is_response`` marks a report that is the response to a direct command, and therefore an acknowledgement.
        """
        old = machine.report
        if old is not None and (report.session, report.seq) <= (old.session, old.seq):
            return False
        was_unreachable = machine.acked_at is None or machine.lost
        acknowledged = machine.acknowledges(report, self.context.now, is_response)
        if acknowledged:
            machine.acked_at, machine.ack_token, machine.unacked_reports = self.context.now, None, 0
        elif machine.ack_token is not None:
            machine.unacked_reports += 1
        if not machine.announced and (acknowledged or not report.token):
            machine.announced = True
            # A report with an old token may be a stale duplicate, so the machine is announced only once it acknowledges
            # a reply. A machine without a token has never received a reply and is announced at once.
            self.announcer.announce(machine, report)
        if old is None or report.session != old.session:
            machine.command_sent_at = {}
            if old is not None:
                log.info("machine %s has begun session %d", machine.id, report.session)
        if old is None or was_unreachable or machine.suspect:
            self.cluster_state.dirty_for_placement.add(machine.id)
        machine.report = report
        machine.last_report_at = self.context.now
        if not is_response:
            machine.start_pending = False  # the machine has received the last reply, or no longer waits for it
        if acknowledged:
            machine.lost = machine.suspect = False
        elif machine.unacked_reports:
            machine.suspect = True
        machine.observed, machine.extra_attempts = {}, {}
        desired = self.cluster_state.tasks_by_machine.get(machine.id, {})
        for task in report.tasks:
            key = parse_task_key(task.task)
            if key is None:
                continue
            known = machine.observed.get(key)
            if known is not None:
                record = desired.get(key)
                if record is not None and known.attempt == record.attempt:
                    task, known = known, task
                machine.extra_attempts.setdefault(key, []).append(known)
            machine.observed[key] = task
        if machine.acked_at is not None:
            # Until a reply is acknowledged, the report may be a stale duplicate from before this controller owned the
            # machine. An attempt that it lists as exited may have been started again since, in another session.
            self.evaluator.evaluate(machine)
        self._update_record(machine, report, acknowledged)
        return True

    def handle_announcement(self, request: IncomingRequest) -> None:
        """Handles a peer's announcement of machines.

        An announcement proves nothing: only committed records place tasks on machines.
        """
        message = self.context.decode_request(request, peers.MachineAnnouncement)
        if message is None:
            return
        if not self.context.records_loaded:
            self.context.reply_error(request.request_id, 503, "starting", 1)
            return
        for machine_id in message.returned:
            self.cluster_state.remove_machine(machine_id)
            self._drop_machine(machine_id)
        for reported in message.machines:
            self.cluster_state.add_reported_machine(
                reported.name, MachineRecord(reported.type, reported.zone, reported.spot, reported.addr)
            )
        self.context.reply(request.request_id, 200, b"{}")

    def _update_record(self, machine: Machine, report: Report, acknowledged: bool) -> None:
        known = self.state_writer.machine_record(machine.id)
        lifecycle = MachineLifecycle.UP if known is None else known.lifecycle
        if lifecycle is MachineLifecycle.RETURNED:
            return
        if lifecycle is MachineLifecycle.SILENT and acknowledged:
            lifecycle = MachineLifecycle.UP
        if known is None and not acknowledged and report.token:
            return
        until_s = 0 if known is None else known.until_s
        if report.notice_s is not None:
            until_s = until_s or int(self.context.wall_time.timestamp() + report.notice_s)
            if lifecycle is not MachineLifecycle.FAULTY:
                lifecycle = MachineLifecycle.RECLAIMING
        record = MachineRecord(report.type, report.zone, report.spot, report.addr, lifecycle, until_s)
        self.state_writer.put_machine(machine.id, record)

    # Commands ------------------------------------------------------------------------------------------------

    def push_commands(self) -> None:
        """Sends direct commands to machines whose desired tasks changed, and handles held reports and announcements."""
        self.misrouted.reply_to_held()
        self.misrouted.query_owners()
        self.announcer.send_pending()
        if not self.membership.is_active():
            return
        dirty, self.cluster_state.dirty_for_owner = self.cluster_state.dirty_for_owner, set()
        for machine_id in dirty:
            if self.membership.owner(machine_id) == self.context.name:
                if machine_id in self.cluster_state.tasks_by_machine or machine_id in self.cluster_state.machines:
                    machine = self.ensure_machine(machine_id)
                    if machine.report is not None and machine.acked_at is not None:
                        self.evaluator.evaluate(machine)
                    self.command_sender.push(machine)
                elif machine_id in self.machines:
                    self.command_sender.push(self.machines[machine_id])

    # Silence -------------------------------------------------------------------------------------------------

    def check_silence(self) -> None:
        """Checks for machines without recent reports or replies.

        Also adds owned machines that are not managed yet, and drops those that are unknown and no longer report.
        """
        context = self.context
        if not self.membership.is_active() or context.now - self._silence_checked_at < SILENCE_CHECK_INTERVAL:
            return
        self._silence_checked_at = context.now
        self.evaluator.machine_count = len(self.machines)
        if context.now - self._scanned_at >= SCAN_INTERVAL:
            self._scanned_at = context.now
            self._scan_owned_machines()
        now, lease, silence_threshold = context.now, context.machine_lease, self._silence_threshold
        for machine_id, machine in self.machines.items():
            last_report, last_reply = machine.last_report_at, machine.last_reply_at
            if (
                last_report is not None
                and last_reply is not None
                and now - last_report <= silence_threshold
                and now - last_reply <= lease
            ):
                continue  # fast path: nearly all machines, several times a second
            if machine_id in self.cluster_state.machines or machine_id in self.cluster_state.tasks_by_machine:
                self._check_machine(machine)
        for machine_id in [machine_id for machine_id in self.machines if machine_id not in self.cluster_state.machines]:
            machine = self.machines[machine_id]
            if machine_id not in self.cluster_state.tasks_by_machine and (
                machine.last_report_at is None or context.now - machine.last_report_at > timedelta(seconds=60)
            ):
                self._drop_machine(machine_id)

    def _scan_owned_machines(self) -> None:
        """Adds the owned machines among all known ones, so that those silent from the start are checked too."""
        for machine_id in {*self.cluster_state.tasks_by_machine, *self.cluster_state.machines}:
            owner = self.membership.owner(machine_id) or ""
            # Recorded at once: an owner that is recorded only at the next epoch would look like a new one.
            self.misrouted.owners.setdefault(machine_id, (owner, self.context.now))
            if owner == self.context.name:
                self.ensure_machine(machine_id)

    def lease_expiry(self, machine: Machine) -> timedelta:
        """Returns when a silent machine's lease has certainly ended, whichever controller sent the last reply."""
        latest_reply_at = machine.owner_since + self.context.member_ttl * CLOCK_SKEW_FACTOR
        if machine.last_reply_at is not None:
            latest_reply_at = max(latest_reply_at, machine.last_reply_at)
        return latest_reply_at + self.context.machine_lease * CLOCK_SKEW_FACTOR + TRANSIT_MARGIN

    def _check_machine(self, machine: Machine) -> None:
        context = self.context
        last_report = max(machine.last_report_at or machine.owner_since, machine.owner_since)
        if context.now - last_report > self._silence_threshold:
            self._mark_silent(machine)
        desired = self.cluster_state.tasks_by_machine.get(machine.id)
        if desired and context.now >= self.lease_expiry(machine):
            machine.lost, machine.announced = True, False
            for key, task in desired.items():
                self.state_writer.record_exit(*key, task.attempt, Outcome(False, f"{LOST_NOTE_PREFIX}{machine.id}"))

    def _mark_silent(self, machine: Machine) -> None:
        known = self.state_writer.machine_record(machine.id)
        if known is not None and known.lifecycle is MachineLifecycle.UP:
            log.info("machine %s is silent", machine.id)
            self.state_writer.put_machine(machine.id, msgspec.structs.replace(known, lifecycle=MachineLifecycle.SILENT))

    def handle_returned(self, machine_id: str) -> None:
        """Records the exits of all tasks on a machine that the cloud has confirmed as returned, and its return."""
        self.state_writer.exit_tracker.returned_machines[machine_id] = None
        while len(self.state_writer.exit_tracker.returned_machines) > 1000:
            del self.state_writer.exit_tracker.returned_machines[
                next(iter(self.state_writer.exit_tracker.returned_machines))
            ]
        for key, task in self.cluster_state.tasks_by_machine.get(machine_id, {}).items():
            self.state_writer.record_exit(*key, task.attempt, Outcome(False, f"returned {machine_id}"))
        known = self.state_writer.machine_record(machine_id)
        if machine_id in self.cluster_state.reported_machines and machine_id not in self.cluster_state.tasks_by_machine:
            self.cluster_state.remove_machine(machine_id)
            known = None
        # A record in RETURNING is left as it is: it keeps tasks off the machine, whatever late reports say.
        if known is not None and known.lifecycle is not MachineLifecycle.RETURNING:
            self.state_writer.put_machine(
                machine_id, msgspec.structs.replace(known, lifecycle=MachineLifecycle.RETURNED)
            )
        self._drop_machine(machine_id)
        self.cluster_state.dirty_for_placement.add(machine_id)
