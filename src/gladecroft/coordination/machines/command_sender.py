"""Derives the commands for owned machines from records and reports, and sends them directly or in replies."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import TaskRecord
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.command_log import CommandLog, CommandWay
from gladecroft.coordination.machines.commands import command_key, commands_to_push, reconcile
from gladecroft.coordination.machines.machine import Machine, TaskKey, parse_task_key
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import Outcome, StateWriter
from gladecroft.protocol import wire
from gladecroft.protocol.wire import Command, CommandOp, Commands, Report

log = logging.getLogger(__name__)

#: The send times of commands that are no longer due are dropped once there are this many more than twice the due ones.
MAX_STALE_SEND_TIMES = 200


class DirectRequest(msgspec.Struct, frozen=True):
    """A request with commands that was sent to a machine's address."""

    commands: list[Command]
    token: int
    session: int
    sent_at: timedelta


class CommandSender:
    """Sends commands to the machines that this controller owns.

    ``accept_response`` is called with the report in a machine's response to a direct request, and returns whether it is
    newer than the last one. ``is_current`` tells whether a machine's state is still in use.
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        state_writer: StateWriter,
        consent: PeerConsent,
        accept_response: Callable[[Machine, Report], bool],
        is_current: Callable[[Machine], bool],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        self.command_log = CommandLog(context, consent)
        self._accept_response = accept_response
        self._is_current = is_current

    def current_token(self, machine: Machine) -> int:
        """Returns the token for the next commands to a machine, raised to the base token of the epoch."""
        machine.token = max(machine.token, self.membership.base_token())
        return machine.token

    def next_commands(self, machine: Machine) -> list[Command]:
        """Returns the commands for a machine, marks them as sent, and records the exits that its report confirms."""
        desired = self.cluster_state.tasks_by_machine.get(machine.id, {})
        exits = self.state_writer.exits
        commands, absent = reconcile(
            machine, desired, self.cluster_state.jobs, lambda key, attempt: (*key, attempt) in exits
        )
        for key in absent:
            self.state_writer.record_exit(*key, desired[key].attempt, Outcome(False, desired[key].note or "stopped"))
        if len(machine.command_sent_at) > 2 * len(commands) + MAX_STALE_SEND_TIMES:
            machine.command_sent_at.clear()
        for command in commands:
            sent_key = command_key(command)
            if command.op is CommandOp.STOP and sent_key not in machine.command_sent_at:
                self._report_missing_record(machine, command, desired)
            machine.command_sent_at[sent_key] = self.context.now
        return commands

    def _report_missing_record(self, machine: Machine, stop: Command, desired: Mapping[TaskKey, TaskRecord]) -> None:
        """Logs a STOP of an attempt that no record places on the machine."""
        key = parse_task_key(stop.task)
        task = None if key is None else desired.get(key)
        if task is None or task.attempt != stop.attempt:
            self.command_log.attempt_without_record(machine, stop)

    def commands_for_reply(self, machine: Machine) -> Commands:
        """Returns the token and the commands for the reply to a machine's newest report."""
        commands = self.next_commands(machine)
        machine.start_pending = any(command.op is CommandOp.START for command in commands)
        if not commands:
            return Commands(self.current_token(machine), commands)
        token = self._fence(machine, commands)
        self.command_log.commands_sent(machine, commands, CommandWay.REPLY)
        return Commands(token, commands)

    def push(self, machine: Machine) -> None:
        """Sends the commands that are due directly, if the machine can be expected to execute them."""
        context, report = self.context, machine.report
        if report is None or machine.push_pending or machine.lost or machine.last_reply_at is None:
            return
        if machine.last_report_at is None or context.now - machine.last_report_at > 2 * context.report_interval:
            return
        if report.session != machine.last_reply_session:
            return
        previously_sent_at = dict(machine.command_sent_at)
        commands = self.next_commands(machine)
        due = commands_to_push(commands, previously_sent_at, context.now)
        machine.command_sent_at = {**machine.command_sent_at, **previously_sent_at}
        if not due:
            return
        known_token = self.current_token(machine)
        request = DirectRequest(due, self._fence(machine, due), report.session, context.now)
        if request.token > known_token:
            # The machine drops a reply that these commands overtake, so the commands in it are due again.
            machine.command_sent_at = {}
        for command in due:
            machine.command_sent_at[command_key(command)] = context.now
        machine.push_pending = True
        self.command_log.commands_sent(machine, due, CommandWay.DIRECT)
        body = wire.encode(Commands(request.token, due, request.session))
        context.post_to_worker(
            report.addr,
            wire.COMMANDS_PATH,
            body,
            lambda status, response: self._handle_response(machine, request, status, response),
        )

    def _fence(self, machine: Machine, commands: list[Command]) -> int:
        """Returns the token to send the commands with."""
        known_token = self.current_token(machine)
        token = machine.token_for(commands)
        if token > known_token:
            self.command_log.token_raised()
        return token

    def _handle_response(self, machine: Machine, request: DirectRequest, status: int, body: bytes) -> None:
        if not self._is_current(machine):
            return
        machine.push_pending = False
        if status in (200, 409):
            try:
                response: Report = wire.decode(Report, body)
            except msgspec.DecodeError as error:
                log.error("machine %s responded to a direct command with a malformed report: %s", machine.id, error)
            else:
                self._accept_response(machine, response)
                if status == 409:
                    self._handle_refusal(machine, request, response)
                self.cluster_state.dirty_for_owner.add(machine.id)
                return
        self._handle_missing_response(machine, request, status)

    def _handle_refusal(self, machine: Machine, request: DirectRequest, response: Report) -> None:
        """Makes commands that the machine refused due again at once, if it accepts the present token."""
        self.command_log.commands_refused(machine, request.token, request.session, response)
        if response.token <= self.current_token(machine):
            for command in request.commands:
                machine.command_sent_at.pop(command_key(command), None)

    def _handle_missing_response(self, machine: Machine, request: DirectRequest, status: int) -> None:
        context = self.context
        if (
            machine.last_report_at is not None
            and machine.last_report_at <= request.sent_at
            and context.now - request.sent_at > context.report_interval / 2
        ):
            # Neither a response nor a report has arrived since: no more tasks are placed on the machine until it
            # acknowledges a reply.
            machine.suspect = True
            self.cluster_state.dirty_for_placement.add(machine.id)
        if status != -1:
            # The command may still be in flight. From now on only reports with a higher token are trusted.
            machine.token = max(machine.token, request.token + 1)
            machine.fencing_token = machine.token
            log.info(
                "machine %s sent no valid response to a direct command: fencing with token %d",
                machine.id,
                machine.token,
            )
