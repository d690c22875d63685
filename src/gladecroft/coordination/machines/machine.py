"""The owner's view of one machine, and whether the machine receives the owner's replies.

The owner of a machine is the controller that replies to its reports and sends it commands.

Arriving reports do not prove that replies arrive at the machine. A report *acknowledges* the owner's replies if it
carries a token that the machine can only know from such a reply, if it is the response to a direct command, or if it
comes sooner than a machine without a reply would report again: by the protocol, the machine waits 4 s for a reply and
tries the next controller 1 s later. Stale reports delivered again acknowledge nothing, because their token is older
than this owner's first reply.

A machine executes a message whenever it arrives, also a second time, as long as the message belongs to the current
session and its token is not lower than the highest one seen. A copy of a START has no effect while the machine knows
the attempt. A FORGET ends that, so it is sent with a higher token than every earlier START (``token_for``).

A machine that fails to acknowledge when asked gets no more tasks. If it has acknowledged nothing for a whole lease, its
reports get no more replies, so that its lease ends like that of a silent machine.
"""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from gladecroft.protocol.wire import Command, CommandOp, Report, TaskReport

#: A machine that gets no reply reports again after 5 s at the earliest; a report sooner than this acknowledges a reply.
NO_REPLY_RETRY_MIN = timedelta(seconds=4.5)

#: A job's id and the task's number.
TaskKey = tuple[str, int]


def parse_task_key(task: str) -> TaskKey | None:
    """Splits ``<job>/<number>``; returns None if the text has another form."""
    job_id, _, number = task.rpartition("/")
    return (job_id, int(number)) if job_id and number.isdigit() and len(number) < 10 else None


class Machine(msgspec.Struct, eq=False):
    """What a machine's newest report says, and what was sent to the machine.

    ``fencing_token`` is the lowest token that a trusted report may carry, ``token`` the one sent with commands.
    """

    id: str
    owner_since: timedelta
    fencing_token: int
    token: int
    #: The highest token of a message with a START; -1 if this owner has sent none.
    start_token: int = -1
    report: Report | None = None
    observed: dict[TaskKey, TaskReport] = {}
    #: Further attempts of observed tasks: a rejected start is reported beside the attempt that blocked it.
    extra_attempts: dict[TaskKey, list[TaskReport]] = {}
    #: When the owner last replied to a report, and when a report last arrived, also one in the response to a direct
    #: command.
    last_reply_at: timedelta | None = None
    last_report_at: timedelta | None = None
    #: Session of the report that the owner last replied to. No direct command is sent in a session before the first
    #: reply in it: the session began with a lease that may end later than ``last_reply_at`` suggests.
    last_reply_session: int = 0
    #: Whether a direct command has no response yet, and whether the reply to the newest report contains a START, which
    #: may arrive up to 4 s later. In both cases the absence of a task in a report proves nothing.
    push_pending: bool = False
    start_pending: bool = False
    #: When each command was last sent, by command key.
    command_sent_at: dict[tuple[str, int, int, CommandOp], timedelta] = {}
    #: Failures on this machine, by job id, since a task last completed on it.
    failures_by_job: dict[str, int] = {}
    #: Images that recently ran on the machine, oldest first.
    cached_images: dict[str, None] = {}
    #: ``lost``: the lease has ended. ``suspect``: it may not receive replies; nothing more is placed on it.
    lost: bool = False
    suspect: bool = False
    #: When the machine last acknowledged a reply, the token that it is asked to return (None: not asked), and the
    #: number of reports since the request that acknowledged nothing.
    acked_at: timedelta | None = None
    ack_token: int | None = None
    unacked_reports: int = 0
    #: Whether the machine was announced to the other controllers.
    announced: bool = False

    def has_trusted_report(self) -> bool:
        """Whether the absence of a task in the newest report proves that it does not run."""
        in_flight = self.push_pending or self.start_pending
        return self.report is not None and not in_flight and self.report.token >= self.fencing_token

    def token_for(self, commands: Sequence[Command]) -> int:
        """Returns the token to send the commands with, raised if a FORGET requires a higher one."""
        operations = {command.op for command in commands}
        if CommandOp.FORGET in operations and self.token <= self.start_token:
            self.token = self.start_token + 1
        if CommandOp.START in operations:
            self.start_token = self.token
        return self.token

    def acknowledges(self, report: Report, now: timedelta, is_response: bool = False) -> bool:
        """Whether a new report proves that the machine receives the owner's replies.

        ``is_response`` marks a report that is the response to a direct command.
        """
        if report.token < self.fencing_token:
            return False
        if is_response or self.acked_at is None or self.ack_token is not None and report.token >= self.ack_token:
            return True
        return self.last_report_at is not None and now - self.last_report_at < NO_REPLY_RETRY_MIN

    def ack_overdue(self, now: timedelta, lease: timedelta) -> bool:
        """Whether the machine has acknowledged nothing for a whole lease although it was asked to."""
        return self.unacked_reports > 0 and now - (self.acked_at or self.owner_since) > lease
