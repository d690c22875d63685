"""The owner's work for each of its machines: answer reports, give commands, tell what is gone.

What the records place on a machine is *wanted*, what its newest report lists is *present*; the commands are the
difference. Absence proves something only in a *trusted* report: no direct command is unanswered, no answer that starts
something may still be on its way, and the report carries the fencing token, so that nothing sent earlier can still be
executed.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import MachineRecord, MachineUse
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.machines.announcer import MachineAnnouncer
from gladecroft.coordination.machines.commands import mark, reconcile, worth_a_call
from gladecroft.coordination.machines.machine import Machine, task_key
from gladecroft.coordination.machines.misrouted_reports import MARGIN, MisroutedReports
from gladecroft.coordination.machines.report_evaluator import ReportEvaluator
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import LOST_NOTE_PREFIX, Outcome, StateWriter
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Command, CommandOp, Commands, Report

log = logging.getLogger(__name__)

LOOK_EVERY = timedelta(milliseconds=400)
#: A machine that has shown nothing for this part of a lease is asked to show that it hears.
ASK_A_LEASE = 3
#: How often all known machines are gone through for new ones of ours that have not reported.
SURVEY_EVERY = timedelta(seconds=1.2)


class MachineManager:
    def __init__(
        self, context: ControllerContext, membership: Membership, state_writer: StateWriter, consent: PeerConsent
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        self.consent = consent
        self.machines: dict[str, Machine] = {}
        self.judge = ReportEvaluator(context, state_writer)
        self.announcer = MachineAnnouncer(context, membership, state_writer)
        self.misrouted = MisroutedReports(context, membership, self.machines, self.handle_report)
        #: Who has not been heard for longer than this is silent.
        self._quiet = 2.5 * context.report_interval + 2 * MARGIN
        self._looked_at = timedelta(days=-1)
        self._surveyed_at = timedelta(days=-1)

    # Ownership -----------------------------------------------------------------------------------------------

    def epoch_changed(self, continuous: bool) -> None:
        """Forget what is no longer ours; what stays ours keeps its fence.

        If epochs were missed, or this controller was out meanwhile, another may have owned any of the machines and
        have answered it: then nothing known of them counts any more.
        """
        if not continuous:
            self.machines.clear()
        for name in list(self.machines):
            if not self.membership.is_member() or self.membership.owner(name) != self.context.name:
                del self.machines[name]
        self.misrouted.epoch_changed()
        self.cluster_state.dirty_for_owner.update(self.cluster_state.tasks_by_machine, self.cluster_state.machines)
        self._surveyed_at = timedelta(days=-1)
        self.announcer.tell_new_members()

    def ensure_machine(self, name: str) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            base = self.membership.base_token()
            machine = self.machines[name] = Machine(name, self.membership.epoch_seen_at, base, base)
        return machine

    def current_token(self, machine: Machine) -> int:
        machine.token = max(machine.token, self.membership.base_token())
        return machine.token

    # Reports -------------------------------------------------------------------------------------------------

    def handle_report(self, request: IncomingRequest) -> None:
        context = self.context
        report = context.decode_request(request, Report)
        if report is None:
            return
        if not self.consent.may_answer_machines():
            context.reply_error(request.request_id, 503, "not entitled to act", 1)
            return
        known = self.cluster_state.machines.get(report.machine)
        if self.cluster_state.was_returned(report.machine) or known is not None and known.use is MachineUse.RETURNED:
            # The report was on its way when the machine was returned. Taken as news it would draw work to nowhere.
            context.reply_error(request.request_id, 503, "this machine was returned", 1)
            return
        owner = self.membership.owner(report.machine, report.zone)
        if owner != context.name:
            self.misrouted.handle_report(request, report.machine, owner, report.addr)
            return
        machine = self.ensure_machine(report.machine)
        if report.token > self.current_token(machine):
            # The machine has seen a newer epoch than this controller has.
            context.reply_error(request.request_id, 503, "a newer epoch is about", 1)
            return
        if not self._take(machine, report):
            context.reply_error(request.request_id, 503, "a newer report is known", 1)
            return
        if machine.ack_overdue(context.now, context.machine_lease):
            # Its lease has ended, whatever was answered. Answered on, it would seem to live on for as long as it
            # reports, and what is placed there would never be proven gone.
            context.reply_error(request.request_id, 503, "this machine does not hear its answers", 1)
            return
        self._ask_to_show(machine)
        machine.answered_at, machine.answered_session = context.now, report.session
        commands = self._commands(machine)
        machine.starting = any(command.op is CommandOp.START for command in commands)
        context.reply(request.request_id, 200, wire.encode(Commands(self.current_token(machine), commands)))
        self.cluster_state.dirty_for_owner.discard(machine.id)

    def _ask_to_show(self, machine: Machine) -> None:
        """Raise the token of the answer if the machine has not shown for long that answers reach it. That costs nothing
        with most machines: they report so often that each report shows it."""
        if machine.ack_token is not None:
            return
        if machine.acked_at is None:
            machine.ack_token = machine.fencing_token  # its first answer is the question
        elif self.context.now - machine.acked_at > max(
            self.context.machine_lease / ASK_A_LEASE, 2 * self.context.report_interval
        ):
            machine.token = machine.ack_token = self.current_token(machine) + 1

    def _take(self, machine: Machine, report: Report, answer: bool = False) -> bool:
        """Take in a report if it is the newest. ``answer``: to a command, so it surely hears."""
        old = machine.report
        if old is not None and (report.session, report.seq) <= (old.session, old.seq):
            return False
        fresh = machine.acked_at is None or machine.lost
        shows = machine.acknowledges(report, self.context.now, answer)
        if shows:
            machine.acked_at, machine.ack_token, machine.unshown = self.context.now, None, 0
        elif machine.ack_token is not None:
            machine.unshown += 1
        if not machine.told and (shows or not report.token):
            machine.told = True
            # A report with an old token may be a copy from long ago: others are told once it is known to be none. Who
            # has never seen a token is new.
            self.announcer.first(machine, report)
        if old is None or report.session != old.session:
            machine.sent = {}
            if old is not None:
                log.info("%s is in session %d", machine.id, report.session)
        if old is None or fresh or machine.suspect:
            self.cluster_state.dirty_for_placement.add(machine.id)
        machine.report = report
        machine.heard_at = self.context.now
        if not answer:
            machine.starting = False  # it has taken in the last answer, or has given it up
        if shows:
            machine.lost = machine.suspect = False
        elif machine.unshown:
            machine.suspect = True
        machine.observed, machine.beside = {}, {}
        wanted = self.cluster_state.tasks_by_machine.get(machine.id, {})
        for task in report.tasks:
            key = task_key(task.task)
            if key is None:
                continue
            known = machine.observed.get(key)
            if known is not None:
                record = wanted.get(key)
                if record is not None and known.attempt == record.attempt:
                    task, known = known, task
                machine.beside.setdefault(key, []).append(known)
            machine.observed[key] = task
        if machine.acked_at is not None:
            # Of a machine that has shown nothing yet the report may be a copy from before this controller owned it.
            # Meanwhile the attempt that it calls ended may have been started again, in another session.
            self.judge.judge(machine)
        self._note_machine(machine, report, shows)
        return True

    def handle_announcement(self, request: IncomingRequest) -> None:
        """A sibling tells of machines that have reported to it. No proof of anything: what is placed on them is, as
        everywhere, only what is committed."""
        message = self.context.decode_request(request, peers.ReportedMachines)
        if message is None:
            return
        if not self.context.records_loaded:
            self.context.reply_error(request.request_id, 503, "starting", 1)
            return
        for name in message.gone:
            self.cluster_state.remove_machine(name)
            self.machines.pop(name, None)
        for heard in message.machines:
            self.cluster_state.add_reported_machine(
                heard.name, MachineRecord(heard.type, heard.zone, heard.spot, heard.addr)
            )
        self.context.reply(request.request_id, 200, b"{}")

    def _note_machine(self, machine: Machine, report: Report, shows: bool) -> None:
        known = self.state_writer.machine(machine.id)
        use = MachineUse.UP if known is None else known.use
        if use is MachineUse.RETURNED:
            return
        if use is MachineUse.SILENT and shows:
            use = MachineUse.UP
        if known is None and not shows and report.token:
            return
        until = 0 if known is None else known.until_s
        if report.notice_s is not None:
            until = until or int(self.context.wall_time.timestamp() + report.notice_s)
            if use is not MachineUse.FAULTY:
                use = MachineUse.RECLAIMING
        record = MachineRecord(report.type, report.zone, report.spot, report.addr, use, until)
        self.state_writer.put_machine(machine.id, record)

    # Commands ------------------------------------------------------------------------------------------------

    def _commands(self, machine: Machine) -> list[Command]:
        """What the machine is to be told, noted as sent; and what is proven by what is not there."""
        wanted = self.cluster_state.tasks_by_machine.get(machine.id, {})
        exits = self.state_writer.exits
        commands, absent = reconcile(
            machine, wanted, self.cluster_state.jobs, lambda key, attempt: (*key, attempt) in exits
        )
        for key in absent:
            self.state_writer.record_exit(*key, wanted[key].attempt, Outcome(False, wanted[key].note or "stopped"))
        if len(machine.sent) > 2 * len(commands) + 200:
            machine.sent.clear()
        for command in commands:
            machine.sent[mark(command)] = self.context.now
        return commands

    def push_commands(self) -> None:
        """Send commands straight to machines whose wanted tasks changed; look after the silent ones."""
        self.misrouted.answer()
        self.misrouted.ask_owners()
        self.announcer.tell()
        if not self.membership.is_active():
            return
        touched, self.cluster_state.dirty_for_owner = self.cluster_state.dirty_for_owner, set()
        for name in touched:
            if self.membership.owner(name) == self.context.name:
                if name in self.cluster_state.tasks_by_machine or name in self.cluster_state.machines:
                    machine = self.ensure_machine(name)
                    if machine.report is not None and machine.acked_at is not None:
                        self.judge.judge(machine)
                    self._direct(machine)
                elif name in self.machines:
                    self._direct(self.machines[name])

    def _direct(self, machine: Machine) -> None:
        context = self.context
        report = machine.report
        if report is None or machine.direct or machine.lost or machine.answered_at is None:
            return
        if machine.heard_at is None or context.now - machine.heard_at > 2 * context.report_interval:
            return
        if report.session != machine.answered_session:
            return
        before = dict(machine.sent)
        commands = self._commands(machine)
        fresh = worth_a_call(commands, before, context.now)
        machine.sent = {**machine.sent, **before}
        if not fresh:
            return
        for command in fresh:
            machine.sent[mark(command)] = context.now
        token = self.current_token(machine)
        sent_at = context.now
        machine.direct = True

        def then(status: int, body: bytes) -> None:
            if self.machines.get(machine.id) is not machine:
                return
            machine.direct = False
            if status in (200, 409):
                try:
                    answer: Report = wire.decode(Report, body)
                except msgspec.DecodeError as error:
                    log.error("%s answered a command with what is no report: %s", machine.id, error)
                else:
                    self._take(machine, answer, True)  # renews no lease: answered_at stays
                    self.cluster_state.dirty_for_owner.add(machine.id)
                    return
            if (
                machine.heard_at is not None
                and machine.heard_at <= sent_at
                and context.now - sent_at > context.report_interval / 2
            ):
                # Neither an answer nor a report since: nothing more is placed there until it is heard again.
                machine.suspect = True
                self.cluster_state.dirty_for_placement.add(machine.id)
            if status != -1:
                # It may still be on its way: from here on only reports with a higher token prove anything.
                machine.token = max(machine.token, token + 1)
                machine.fencing_token = machine.token
                log.info("%s did not answer a direct command: fencing with token %d", machine.id, machine.token)

        body = wire.encode(Commands(token, fresh, report.session))
        context.post_to_worker(report.addr, wire.COMMANDS_PATH, body, then)

    # Silence -------------------------------------------------------------------------------------------------

    def check_silence(self) -> None:
        context = self.context
        if not self.membership.is_active() or context.now - self._looked_at < LOOK_EVERY:
            return
        self._looked_at = context.now
        self.judge.held = len(self.machines)
        if context.now - self._surveyed_at >= SURVEY_EVERY:
            self._surveyed_at = context.now
            self._survey()
        now, lease, quiet = context.now, context.machine_lease, self._quiet
        for name, machine in self.machines.items():
            heard, answered = machine.heard_at, machine.answered_at
            if heard is not None and answered is not None and now - heard <= quiet and now - answered <= lease:
                continue  # nearly all, and this is asked of all several times a second
            if name in self.cluster_state.machines or name in self.cluster_state.tasks_by_machine:
                self._watch_over(machine)
        for name in [name for name in self.machines if name not in self.cluster_state.machines]:
            machine = self.machines[name]
            if name not in self.cluster_state.tasks_by_machine and (
                machine.heard_at is None or context.now - machine.heard_at > timedelta(seconds=60)
            ):
                del self.machines[name]

    def _survey(self) -> None:
        """Find the machines that are ours, of all that are known: who is silent from the start is watched over too."""
        for name in {*self.cluster_state.tasks_by_machine, *self.cluster_state.machines}:
            owner = self.membership.owner(name) or ""
            # Known from here on, not from the next epoch on: else that would count as a change of owner.
            self.misrouted.owners.setdefault(name, (owner, self.context.now))
            if owner == self.context.name:
                self.ensure_machine(name)

    def lease_expiry(self, machine: Machine) -> timedelta:
        """When a silent machine's lease has surely ended, whoever answered it last."""
        last = machine.owner_since + self.context.member_ttl * CLOCK_SKEW_FACTOR
        if machine.answered_at is not None:
            last = max(last, machine.answered_at)
        return last + self.context.machine_lease * CLOCK_SKEW_FACTOR + MARGIN

    def _watch_over(self, machine: Machine) -> None:
        context = self.context
        heard = max(machine.heard_at or machine.owner_since, machine.owner_since)
        if context.now - heard > self._quiet:
            self._silent(machine)
        wanted = self.cluster_state.tasks_by_machine.get(machine.id)
        if wanted and context.now >= self.lease_expiry(machine):
            machine.lost, machine.told = True, False
            for key, task in wanted.items():
                self.state_writer.record_exit(*key, task.attempt, Outcome(False, f"{LOST_NOTE_PREFIX}{machine.id}"))

    def _silent(self, machine: Machine) -> None:
        known = self.state_writer.machine(machine.id)
        if known is not None and known.use is MachineUse.UP:
            log.info("%s is silent", machine.id)
            self.state_writer.put_machine(machine.id, msgspec.structs.replace(known, use=MachineUse.SILENT))

    def handle_returned(self, name: str) -> None:
        """The cloud has answered that the machine is gone, with everything on it."""
        self.state_writer.exit_tracker.gone[name] = None
        while len(self.state_writer.exit_tracker.gone) > 1000:
            del self.state_writer.exit_tracker.gone[next(iter(self.state_writer.exit_tracker.gone))]
        for key, task in self.cluster_state.tasks_by_machine.get(name, {}).items():
            self.state_writer.record_exit(*key, task.attempt, Outcome(False, f"returned {name}"))
        known = self.state_writer.machine(name)
        if name in self.cluster_state.reported_machines and name not in self.cluster_state.tasks_by_machine:
            self.cluster_state.remove_machine(name)
            known = None
        # One that was to be returned stays so: nothing is placed on it, whatever late reports say.
        if known is not None and known.use is not MachineUse.RETURNING:
            self.state_writer.put_machine(name, msgspec.structs.replace(known, use=MachineUse.RETURNED))
        self.machines.pop(name, None)
        self.cluster_state.dirty_for_placement.add(name)
