"""A machine as its owner knows it."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.protocol.wire import Op, Report, TaskReport

#: A job's name and the task's number.
TaskKey = tuple[str, int]


def task_key(task: str) -> TaskKey | None:
    job, _, number = task.rpartition("/")
    return (job, int(number)) if job and number.isdigit() and len(number) < 10 else None


class Machine(msgspec.Struct, eq=False):
    """What its newest report says, and what was said to it. ``fence``: the token that a trusted report must carry."""

    id: str
    owner_since: timedelta
    fence: int
    token: int
    report: Report | None = None
    present: dict[TaskKey, TaskReport] = {}
    #: Further attempts of tasks in ``present``: a refused start stays beside the attempt that it ran into.
    beside: dict[TaskKey, list[TaskReport]] = {}
    answered_at: timedelta | None = None
    heard_at: timedelta | None = None
    direct: bool = False
    sent: dict[tuple[str, int, int, Op], timedelta] = {}
    errors: dict[str, int] = {}
    images: dict[str, None] = {}
    lost: bool = False
    suspect: bool = False
    empty_since: timedelta | None = None

    def trusted(self) -> bool:
        return self.report is not None and not self.direct and self.report.token >= self.fence
