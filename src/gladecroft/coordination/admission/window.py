"""Whose submissions are taken while too many jobs are unfinished: pure functions of the agreed record and the job's id.

Job ids lie on a circle, in an order that only the controllers know. Of a group that has more unfinished jobs than its
part of what all may have, submissions are taken whose ids lie in a *window*, which moves on with each generation. So
every controller gives the same answer to the same job, without a word to the others and without a record of whom it
refused; who was refused is told when the window will have come round, and those who are refused together do not come
back together. Nobody who is new takes the place of one who has waited: the window does not count who comes.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from hashlib import blake2b
from typing import TypeVar

import msgspec

from gladecroft.bookkeeping.records import GroupShare
from gladecroft.bookkeeping.workload import JobGroup

K = TypeVar("K", bound=Hashable)

#: Seconds for which users try in all, and the longest that they wait from one try to the next (PROTOCOL).
TRIES_FOR = 60.0
LONGEST_WAIT = 30.0
#: The window is so many generations wide: who comes when told meets it, though a generation may be late.
GENERATIONS_WIDE = 2.0
#: At the least so much of a group's jobs is taken, however long its queue.
LEAST = 0.05
#: By how much at most the part that is taken changes from one generation to the next.
FASTEST = 1.5


class JobFlow(msgspec.Struct, frozen=True):
    """Of a group: unfinished jobs, its part of all that may be, and jobs a second that came and that ended lately."""

    jobs: int
    part: float
    came: float
    ended: float


def position(salt: str, job: str) -> float:
    """Where on the circle (0 to 1) a job's id lies."""
    return int.from_bytes(blake2b(job.encode(), key=salt.encode(), digest_size=7).digest(), "big") / float(1 << 56)


def wait_of(share: GroupShare, salt: str, job: str) -> int | None:
    """None if the job's submission is taken under this generation, else after how many seconds (1 to 30) to try
    again."""
    if share.width >= 1.0:
        return None
    ahead = (position(salt, job) - share.begin) % 1.0
    if ahead < share.width:
        return None
    # When the window's front reaches the job; a moment later it is well inside.
    seconds = (ahead - share.width) / share.sweep if share.sweep > 0 else LONGEST_WAIT
    return int(max(1.0, min(LONGEST_WAIT, math.ceil(seconds) + 1)))


def next_gate(before: GroupShare | None, flow: JobFlow, every: float) -> tuple[float, float, float]:
    """Begin, width and sweep of the next generation, which comes after ``every`` seconds.

    Of those who come, and try for a minute, the window takes the part of the circle that it covers in that minute.
    This part goes by how many jobs a second end for each that was taken: what a group has unfinished settles at its
    part of all that may be unfinished, whatever comes.
    """
    open_ = before is None or before.width >= 1.0
    if open_ and flow.jobs <= flow.part:
        return 0.0, 1.0, 0.0
    covered = 1.0 if open_ or before is None else before.sweep * TRIES_FOR
    # Below its part a group is let in faster than it ends, above it slower.
    aim = max(flow.ended, 0.2) * max(0.5, min(1.5, 2.0 - flow.jobs / max(flow.part, 1.0)))
    ratio = aim / flow.came if flow.came > 0 else FASTEST
    covered = min(1.0, max(LEAST, covered * max(1 / FASTEST, min(FASTEST, ratio))))
    if covered >= 1.0 and flow.jobs <= flow.part:
        return 0.0, 1.0, 0.0
    sweep = covered / TRIES_FOR
    begin = 0.0 if open_ or before is None else (before.begin + before.sweep * every) % 1.0
    return round(begin, 6), round(min(0.999, GENERATIONS_WIDE * sweep * every), 6), round(sweep, 6)


def parts_of_all(jobs: Mapping[JobGroup, int], most: int) -> dict[JobGroup, float]:
    """How many unfinished jobs each group may have if there may be ``most`` in all: max-min by count, teams first. What
    one team or class leaves goes to the others, and one that asks for little is never refused."""
    teams: dict[str, dict[JobGroup, int]] = {}
    for group, count in jobs.items():
        teams.setdefault(group[0], {})[group] = count
    parts: dict[JobGroup, float] = {}
    of_team = levels({team: float(sum(counts.values())) for team, counts in teams.items()}, float(most))
    for team, counts in teams.items():
        parts.update(levels({group: float(count) for group, count in counts.items()}, of_team[team]))
    return parts


def levels(wants: Mapping[K, float], there: float) -> dict[K, float]:
    """What each may have of ``there``: all alike, and who wants less than that leaves it to the others."""
    may: dict[K, float] = {}
    left = there
    order = sorted(wants, key=lambda key: wants[key])
    for index, key in enumerate(order):
        even = left / (len(order) - index)
        if wants[key] > even:
            may.update({each: even for each in order[index:]})
            return may
        left -= wants[key]
        may[key] = wants[key]
    # There is enough for all: nobody is held to what it has.
    return {key: want + left / max(1, len(order)) for key, want in may.items()}
