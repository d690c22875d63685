"""Which submissions are accepted while too many jobs are unfinished, as pure functions of admission record and job id.

Job ids are mapped to positions on a circle of length 1 by a keyed hash, whose salt only the controllers know. If a
group (team and job class) has more unfinished jobs than its quota, and until it accepts all submissions again, a
submission is accepted only if its position is in the group's *admission window*. The window moves around the circle
from one generation of the admission record to the next. All controllers thus decide alike on a job without exchanging
messages or recording rejections. The reply to a rejected submission says when the window will reach the job, or after
at most 30 s, so users who are rejected at the same time retry at different times. New submissions cannot take the place
of one that waits for its retry, because the window accepts every submission whose position it contains.
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

#: Defined by the protocol: how long users retry a submission in total, and the longest delay between two attempts.
USER_RETRY_SECONDS = 60.0
MAX_RETRY_DELAY_SECONDS = 30.0
#: Width of the window, as a multiple of the distance that it moves per generation. A user who retries on time is thus
#: inside the window even if the next generation is late.
WINDOW_GENERATIONS = 2.0
#: Smallest fraction of a group's submissions that the window accepts, however many jobs are unfinished.
MIN_ADMITTED_FRACTION = 0.05
#: Largest factor by which the accepted fraction changes from one generation to the next.
MAX_CHANGE_FACTOR = 1.5


class JobFlow(msgspec.Struct, frozen=True):
    """The number of a group's unfinished jobs, its quota, and the jobs recently accepted and finished per second.

    Cancelled jobs count as finished.
    """

    unfinished: int
    quota: float
    arrival_rate: float
    completion_rate: float


def hash_position(salt: str, job_id: str) -> float:
    """Return the position of a job id on the circle, in [0, 1)."""
    return int.from_bytes(blake2b(job_id.encode(), key=salt.encode(), digest_size=7).digest(), "big") / float(1 << 56)


def retry_delay(group_share: GroupShare, salt: str, job_id: str) -> int | None:
    """Return None if the window accepts the submission now, else the seconds (1 to 30) until the next retry."""
    if group_share.width >= 1.0:
        return None
    distance = (hash_position(salt, job_id) - group_share.begin) % 1.0
    if distance < group_share.width:
        return None
    # The time until the front of the window reaches the job, plus a second so that the job is then inside the window.
    delay_s = (distance - group_share.width) / group_share.sweep if group_share.sweep > 0 else MAX_RETRY_DELAY_SECONDS
    return int(max(1.0, min(MAX_RETRY_DELAY_SECONDS, math.ceil(delay_s) + 1)))


def next_window(previous: GroupShare | None, flow: JobFlow, interval_s: float) -> tuple[float, float, float]:
    """Return begin, width and sweep (movement per second) of the window for the next generation.

    The next generation follows ``interval_s`` seconds after the previous one. Users retry for ``USER_RETRY_SECONDS``:
    the fraction of submissions that is accepted equals the part of the circle that the window sweeps in this time. The
    fraction is adjusted by the ratio of finished to accepted jobs, so that the number of the group's unfinished jobs
    settles near its quota.
    """
    was_open = previous is None or previous.width >= 1.0
    if was_open and flow.unfinished <= flow.quota:
        return 0.0, 1.0, 0.0
    admitted_fraction = 1.0 if was_open or previous is None else previous.sweep * USER_RETRY_SECONDS
    # Below the group's quota, jobs are accepted faster than they finish; above it, more slowly.
    target_rate = max(flow.completion_rate, 0.2) * max(0.5, min(1.5, 2.0 - flow.unfinished / max(flow.quota, 1.0)))
    ratio = target_rate / flow.arrival_rate if flow.arrival_rate > 0 else MAX_CHANGE_FACTOR
    admitted_fraction = min(
        1.0, max(MIN_ADMITTED_FRACTION, admitted_fraction * max(1 / MAX_CHANGE_FACTOR, min(MAX_CHANGE_FACTOR, ratio)))
    )
    if admitted_fraction >= 1.0 and flow.unfinished <= flow.quota:
        return 0.0, 1.0, 0.0
    sweep = admitted_fraction / USER_RETRY_SECONDS
    begin = 0.0 if was_open or previous is None else (previous.begin + previous.sweep * interval_s) % 1.0
    return round(begin, 6), round(min(0.999, WINDOW_GENERATIONS * sweep * interval_s), 6), round(sweep, 6)


def job_quotas(jobs: Mapping[JobGroup, int], max_jobs: int) -> dict[JobGroup, float]:
    """Divide ``max_jobs`` into quotas of unfinished jobs for the groups.

    The division is max-min fair by the number of jobs, first among teams, then among the classes of each team. What a
    team or class leaves unused is divided among the others. Those with less than an equal share are within their quota.
    """
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
    """Return max-min fair shares of ``available``: equal shares, except that demands below an equal share are met in
    full and what they leave is divided among the others."""
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
    # All demands are met. The remainder is divided equally, so that no share is limited to the current demand.
    return {key: demand + remaining / max(1, len(keys)) for key, demand in shares.items()}
