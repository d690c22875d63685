"""Logs and counts the commands that a controller sends to the machines that it owns.

Each line names the attempt as ``JOB/TASK#ATTEMPT``, as the lines about placements and exits do, so that one search over
the logs of all controllers finds the whole history of a task. A line for each command has level ``debug``; only what
should not happen often has level ``info``.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from enum import Enum

import msgspec

from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.machine import Machine
from gladecroft.protocol.wire import Command, CommandOp, Report

log = logging.getLogger(__name__)


class CommandWay(Enum):
    """How a command travels: in the reply to a report, or in a request to the machine's address."""

    REPLY = "reply"
    DIRECT = "direct"


class CommandCounts(msgspec.Struct):
    """Numbers since the controller started, for the status view.

    ``start``, ``stop`` and ``forget`` count commands, ``refused`` the direct requests that a machine refused,
    ``token_raised`` the messages for which a FORGET raised the token, ``without_record`` the attempts that were found
    running although no record placed them on their machine.
    """

    start: int = 0
    stop: int = 0
    forget: int = 0
    refused: int = 0
    token_raised: int = 0
    without_record: int = 0


class CommandLog:
    """Writes the log lines about commands and keeps the counts."""

    def __init__(self, context: ControllerContext, consent: PeerConsent) -> None:
        self.context = context
        self.consent = consent
        self.counts = CommandCounts()

    def commands_sent(self, machine: Machine, commands: Iterable[Command], way: CommandWay) -> None:
        """Count commands and log each with what it is based on: the report, the revision and the right to act."""
        counts, detailed = self.counts, log.isEnabledFor(logging.DEBUG)
        for command in commands:
            if command.op is CommandOp.START:
                counts.start += 1
            elif command.op is CommandOp.STOP:
                counts.stop += 1
            else:
                counts.forget += 1
            if detailed:
                self._log_command(machine, command, way)

    def _log_command(self, machine: Machine, command: Command, way: CommandWay) -> None:
        report = machine.report
        log.debug(
            "command %s: attempt=%s#%d machine=%s session=%d token=%d way=%s right=%s report=%d revision=%d",
            command.op.name.lower(),
            command.task,
            command.attempt,
            machine.id,
            0 if report is None else report.session,
            machine.token,
            way.value,
            self.consent.right_to_reply().value,
            0 if report is None else report.seq,
            self.context.cluster_state.revision,
        )

    def token_raised(self) -> None:
        """Count a message for which a FORGET raised the token."""
        self.counts.token_raised += 1

    def commands_refused(self, machine: Machine, token: int, session: int, response: Report) -> None:
        """Log that a machine refused a direct request because of its token or session."""
        self.counts.refused += 1
        log.info(
            "commands refused: machine=%s session=%d token=%d machine_session=%d machine_token=%d",
            machine.id,
            session,
            token,
            response.session,
            response.token,
        )

    def attempt_without_record(self, machine: Machine, command: Command) -> None:
        """Log the first command that stops an attempt which no record places on the machine."""
        self.counts.without_record += 1
        log.info(
            "attempt without a record is stopped: attempt=%s#%d machine=%s session=%d token=%d revision=%d",
            command.task,
            command.attempt,
            machine.id,
            0 if machine.report is None else machine.report.session,
            machine.token,
            self.context.cluster_state.revision,
        )
