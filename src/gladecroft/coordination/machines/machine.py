"""A machine as its owner knows it, and whether it hears its owner.

That reports arrive is no sign that answers do. A machine *shows* that it hears by what it does: it carries a token that
it can only have from an answer, or it comes again sooner than one that got no answer can (PROTOCOL: it waits 4 s for
one, and comes to the next controller 1 s later). Copies of old reports show nothing: their token is older than this
owner's first answer. Whoever has shown nothing since its owner's last few answers is *deaf*: nothing is placed on it,
and its reports are answered no more, so that its lease ends as that of a silent machine does.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.protocol.wire import CommandOp, Report, TaskReport

#: One that got no answer comes again after 5 s at the earliest.
PROMPT = timedelta(seconds=4.5)

#: A job's name and the task's number.
TaskKey = tuple[str, int]


def task_key(task: str) -> TaskKey | None:
    job, _, number = task.rpartition("/")
    return (job, int(number)) if job and number.isdigit() and len(number) < 10 else None


class Machine(msgspec.Struct, eq=False):
    """What its newest report says, and what was said to it. ``fence``: the token that a trusted report must carry."""

    id: str
    owner_since: timedelta
    fencing_token: int
    token: int
    report: Report | None = None
    observed: dict[TaskKey, TaskReport] = {}
    #: Further attempts of tasks in ``present``: a refused start stays beside the attempt that it ran into.
    beside: dict[TaskKey, list[TaskReport]] = {}
    answered_at: timedelta | None = None
    heard_at: timedelta | None = None
    #: The session in which that was. Nothing is started straight in one that was never answered: its lease began
    #: before, and ends later than ``answered_at`` tells.
    answered_session: int = 0
    #: Whether a direct command has no answer yet, and whether the answer to the newest report, which may come up to 4 s
    #: after it was sent, starts something: then no report that is made meanwhile proves what is absent.
    direct: bool = False
    starting: bool = False
    sent: dict[tuple[str, int, int, CommandOp], timedelta] = {}
    errors: dict[str, int] = {}
    cached_images: dict[str, None] = {}
    lost: bool = False
    suspect: bool = False
    #: When it last showed that it hears; the token that it is asked to show, and how many reports came without that.
    acked_at: timedelta | None = None
    ack_token: int | None = None
    unshown: int = 0
    #: Whether the other controllers have been told of it.
    told: bool = False

    def has_trusted_report(self) -> bool:
        on_its_way = self.direct or self.starting
        return self.report is not None and not on_its_way and self.report.token >= self.fencing_token

    def acknowledges(self, report: Report, now: timedelta, answer: bool = False) -> bool:
        """Whether a new report shows that the machine hears its owner. ``answer``: it is the answer to a command."""
        if report.token < self.fencing_token:
            return False
        if answer or self.acked_at is None or self.ack_token is not None and report.token >= self.ack_token:
            return True
        return self.heard_at is not None and now - self.heard_at < PROMPT

    def ack_overdue(self, now: timedelta, lease: timedelta) -> bool:
        """Whether it has shown nothing for a lease, though it was asked to."""
        return self.unshown > 0 and now - (self.acked_at or self.owner_since) > lease
