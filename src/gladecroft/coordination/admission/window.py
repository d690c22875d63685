"""Which submissions are accepted while too many jobs are unfinished, as pure functions of admission record and job id.

Job ids are mapped to positions on a circle by a keyed hash, whose salt only the controllers know. For a group with more
unfinished jobs than its quota, submissions are accepted only if they lie in its *admission window*, which moves around
the circle from generation to generation. All controllers thus give the same answer for a job without exchanging
messages or recording refusals. A refused user is told when the window will reach the job, so users who are refused at
the same time come back at different times. A new submission can't take the place of one that has waited, because the
window doesn't depend on the submissions that arrive.
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

#: By the protocol: seconds for which users retry in all, and the longest delay between two tries.
USER_RETRY_SECONDS = 60.0
MAX_RETRY_DELAY = 30.0
#: Width of the window in generations: a user who comes back on time is inside it even if a generation is late.
WINDOW_GENERATIONS = 2.0
#: Fraction of a group's submissions that is accepted at least, however many jobs are unfinished.
MIN_ADMITTED_FRACTION = 0.05
#: Largest factor by which the accepted fraction changes from one generation to the next.
MAX_CHANGE_FACTOR = 1.5


class JobFlow(msgspec.Struct, frozen=True):
    """A group's unfinished jobs, its quota of them, and its recent rates of arrival and completion, per second."""

    unfinished: int
    quota: float
    arrival_rate: float
    completion_rate: float


def hash_position(salt: str, job: str) -> float:
    """The position of a job's id on the circle, in [0, 1)."""
    return int.from_bytes(blake2b(job.encode(), key=salt.encode(), digest_size=7).digest(), "big") / float(1 << 56)


def retry_delay(share: GroupShare, salt: str, job: str) -> int | None:
    """None if the job's submission is accepted in this generation, else the seconds (1 to 30) until the next try."""
    if share.width >= 1.0:
        return None
    distance = (hash_position(salt, job) - share.begin) % 1.0
    if distance < share.width:
        return None
    # The time until the front of the window reaches the job, and a second more so that the job is well inside.
    seconds = (distance - share.width) / share.sweep if share.sweep > 0 else MAX_RETRY_DELAY
    return int(max(1.0, min(MAX_RETRY_DELAY, math.ceil(seconds) + 1)))


def next_window(previous: GroupShare | None, flow: JobFlow, interval: float) -> tuple[float, float, float]:
    """Begin, width and sweep of the next generation, which comes ``interval`` seconds after the previous one.

    Users retry for a minute, so the fraction of submissions that is accepted equals the part of the circle that the
    window sweeps in a minute. It is adjusted by the ratio of completions to arrivals, so that the group's unfinished
    jobs settle at its quota whatever the rate of submissions.
    """
    was_open = previous is None or previous.width >= 1.0
    if was_open and flow.unfinished <= flow.quota:
        return 0.0, 1.0, 0.0
    admitted = 1.0 if was_open or previous is None else previous.sweep * USER_RETRY_SECONDS
    # Below its quota a group's jobs are accepted faster than they finish, above it more slowly.
    target_rate = max(flow.completion_rate, 0.2) * max(0.5, min(1.5, 2.0 - flow.unfinished / max(flow.quota, 1.0)))
    ratio = target_rate / flow.arrival_rate if flow.arrival_rate > 0 else MAX_CHANGE_FACTOR
    admitted = min(
        1.0, max(MIN_ADMITTED_FRACTION, admitted * max(1 / MAX_CHANGE_FACTOR, min(MAX_CHANGE_FACTOR, ratio)))
    )
    if admitted >= 1.0 and flow.unfinished <= flow.quota:
        return 0.0, 1.0, 0.0
    sweep = admitted / USER_RETRY_SECONDS
    begin = 0.0 if was_open or previous is None else (previous.begin + previous.sweep * interval) % 1.0
    return round(begin, 6), round(min(0.999, WINDOW_GENERATIONS * sweep * interval), 6), round(sweep, 6)


def job_quotas(jobs: Mapping[JobGroup, int], max_jobs: int) -> dict[JobGroup, float]:
    """How many unfinished jobs each group may have of ``max_jobs`` in all: max-min fair by count, first among teams,
    then among a team's classes. What one leaves unused goes to the others; one with few jobs is never refused."""
    counts_by_team: dict[str, dict[JobGroup, int]] = {}
    for group, count in jobs.items():
        counts_by_team.setdefault(group[0], {})[group] = count
    quotas: dict[JobGroup, float] = {}
    team_quotas = max_min_shares(
        {team: float(sum(counts.values())) for team, counts in counts_by_team.items()}, float(max_jobs)
    )
    for team, counts in counts_by_team.items():
        quotas.update(max_min_shares({group: float(count) for group, count in counts.items()}, team_quotas[team]))
    return quotas


def max_min_shares(demands: Mapping[K, float], available: float) -> dict[K, float]:
    """Max-min fair shares of ``available``: equal ones, but a smaller demand leaves its rest to the others."""
    shares: dict[K, float] = {}
    remaining = available
    keys = sorted(demands, key=lambda key: demands[key])
    for index, key in enumerate(keys):
        equal_share = remaining / (len(keys) - index)
        if demands[key] > equal_share:
            shares.update({each: equal_share for each in keys[index:]})
            return shares
        remaining -= demands[key]
        shares[key] = demands[key]
    # All demands are met; the remainder is divided equally, so that no one is limited to its present demand.
    return {key: demand + remaining / max(1, len(keys)) for key, demand in shares.items()}
