"""The enabled policies, queried as one: their results are combined, and failing policies are suspended.

The latest hold, the largest capacity reservation and the earliest drain win. Scores are added, and a machine must pass
every filter. A policy that raises, returns an invalid value or exceeds its time budget is suspended until the next
round, so that a faulty policy cannot stop a controller. While it is suspended, its filter rejects nothing: no invariant
depends on a policy.
"""

from __future__ import annotations

import logging
import math
import time
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import TypeVar

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool
from gladecroft.policies.interface import CapacityReservation, Drain, Hold, MachineAttributes, Policy
from gladecroft.protocol.operators import format_utc

log = logging.getLogger(__name__)

T = TypeVar("T")

#: Time that one policy may use per round. There are at most ten rounds a second.
ROUND_BUDGET = timedelta(milliseconds=10)
#: Longer holds are cut to this length; the policy is queried again then.
MAX_HOLD = timedelta(hours=24)


class PolicyEngine:
    """Queries the enabled policies and combines their results.

    ``timer`` returns the seconds of a monotonic clock and measures the time that policies use.
    """

    def __init__(
        self,
        policies: Sequence[Policy],
        timer: Callable[[], float] = time.perf_counter,
        round_budget: timedelta = ROUND_BUDGET,
    ) -> None:
        self.policies = {policy.subject: policy for policy in policies}
        if len(self.policies) != len(policies):
            raise ValueError("duplicate policy subject")
        self.wall_now = datetime.fromtimestamp(0, UTC)
        #: Number of queries to each policy, and of its suspensions, by subject.
        self.query_counts: Counter[str] = Counter()
        self.suspension_counts: Counter[str] = Counter()
        self._timer = timer
        self._budget_s = round_budget.total_seconds()
        self._suspended: set[str] = set()
        self._used_s: dict[str, float] = {}
        self._exclusions: dict[MachineAttributes, str] = {}
        # Each method is called only on policies that override it.
        self._hold_policies = _implementing(policies, "hold")
        self._filter_policies = _implementing(policies, "filter")
        self._score_policies = _implementing(policies, "score")
        self._reservation_policies = _implementing(policies, "capacity_reservations")
        self._drain_policies = _implementing(policies, "drain")
        self._drain_cache: dict[MachineAttributes, Drain | None] = {}

    def begin_round(self, wall_now: datetime) -> None:
        """Starts a round: ends all suspensions and clears the results cached in the last round.

        ``wall_now`` is the wall-clock time that is passed to policies during the round.
        """
        self.wall_now = wall_now
        self._suspended.clear()
        self._used_s.clear()
        self._exclusions.clear()
        self._drain_cache.clear()

    def _query(self, policy: Policy, call: Callable[[], T], default: T, is_valid: Callable[[object], bool]) -> T:
        """Calls a policy and returns its result, or ``default`` if the policy is suspended or fails."""
        subject = policy.subject
        if subject in self._suspended:
            return default
        self.query_counts[subject] += 1
        started_s = self._timer()
        try:
            result = call()
        except Exception as error:
            self._suspend(subject, f"{type(error).__name__}: {error}")
            return default
        if not is_valid(result):
            self._suspend(subject, f"invalid result {result!r:.80}")
            return default
        used_s = self._used_s[subject] = self._used_s.get(subject, 0.0) + self._timer() - started_s
        if used_s > self._budget_s:
            self._suspend(subject, f"used {used_s * 1000:.0f} ms in the round")
        return result

    def _suspend(self, subject: str, reason: str) -> None:
        """Suspends a policy: it is not queried until the next round."""
        self._suspended.add(subject)
        self.suspension_counts[subject] += 1
        # Logs only counts that are powers of two, so that a policy failing in every round does not fill the log.
        count = self.suspension_counts[subject]
        if count & (count - 1) == 0:
            log.error("policy %s is suspended for the rest of the round (%d times so far): %s", subject, count, reason)

    # Queries -------------------------------------------------------------------------------------------------

    def hold_reason(self, job: Job) -> str | None:
        """Returns why the job's tasks may not start yet, or None if they may."""
        latest: Hold | None = None
        subject = ""
        for policy in self._hold_policies:
            result = self._query(policy, partial(policy.hold, job, self.wall_now), None, _is_hold)
            if result is not None and result.until > self.wall_now and (latest is None or result.until > latest.until):
                latest, subject = result, policy.subject
        if latest is None:
            return None
        until = min(latest.until, self.wall_now + MAX_HOLD)
        return f"{subject}: {latest.reason}; at the latest {format_utc(until)}"

    def exclusion_reason(self, machine_id: str, pool: CapacityPool) -> str | None:
        """Returns why a machine accepts no new task of any job, or None if it may accept some."""
        if not self._filter_policies:
            return None
        machine = MachineAttributes.from_pool(machine_id, pool)
        cached = self._exclusions.get(machine)
        if cached is None:
            cached = self._exclusions[machine] = self._rejection(None, machine, job_specific=False) or ""
        return cached or None

    def rejection_reason(self, job: Job, machine_id: str, pool: CapacityPool) -> str | None:
        """Returns why a machine may not run a job's tasks, or None if all policies allow it."""
        if not self._filter_policies:
            return None
        return self.exclusion_reason(machine_id, pool) or self._rejection(
            job, MachineAttributes.from_pool(machine_id, pool), job_specific=True
        )

    def _rejection(self, job: Job | None, machine: MachineAttributes, job_specific: bool) -> str | None:
        for policy in self._filter_policies:
            if policy.job_specific is job_specific:
                result = self._query(policy, partial(policy.filter, job, machine, self.wall_now), None, _is_reason)
                if result is not None:
                    return f"{policy.subject}: {result}"
        return None

    def score(self, job: Job, machine_id: str, pool: CapacityPool) -> float:
        """Returns the sum of all scores of a machine for a job; the lowest is the best."""
        if not self._score_policies:
            return 0.0
        machine = MachineAttributes.from_pool(machine_id, pool)
        return sum(
            self._query(policy, partial(policy.score, job, machine, self.wall_now), 0.0, _is_score)
            for policy in self._score_policies
        )

    def is_job_specific(self) -> bool:
        """Whether policies may exclude a machine for one job and allow it for another."""
        return bool(self._drain_policies) or any(policy.job_specific for policy in self._filter_policies)

    def has_holds(self) -> bool:
        """Whether any policy can delay the start of jobs."""
        return bool(self._hold_policies)

    def has_drains(self) -> bool:
        """Whether any policy can drain machines."""
        return bool(self._drain_policies)

    def capacity_reservations(self) -> list[CapacityReservation]:
        """Returns the largest reservation of any policy for each pair of machine type and zone."""
        largest: dict[tuple[str, str], CapacityReservation] = {}
        for policy in self._reservation_policies:
            default: list[CapacityReservation] = []
            for reservation in self._query(
                policy, partial(policy.capacity_reservations, self.wall_now), default, _are_reservations
            ):
                other = largest.get((reservation.type, reservation.zone))
                if other is None or reservation.cpus > other.cpus:
                    largest[(reservation.type, reservation.zone)] = reservation
        return list(largest.values())

    def drain(self, machine_id: str, pool: CapacityPool) -> Drain | None:
        """Returns the drain with the earliest deadline that any policy requests for a machine, or None."""
        if not self._drain_policies:
            return None
        machine = MachineAttributes.from_pool(machine_id, pool)
        if machine in self._drain_cache:
            return self._drain_cache[machine]
        earliest: Drain | None = None
        for policy in self._drain_policies:
            result = self._query(policy, partial(policy.drain, machine, self.wall_now), None, _is_drain)
            if result is not None and (earliest is None or result.deadline < earliest.deadline):
                earliest = Drain(result.deadline, result.checkpoint_grace, f"{policy.subject}: {result.reason}")
        self._drain_cache[machine] = earliest
        return earliest

    # Records -------------------------------------------------------------------------------------------------

    def update_record(self, subject: str, name: str, value: bytes | None) -> None:
        """Passes a changed record to its policy, or None for a deleted one; ignores records of disabled policies."""
        policy = self.policies.get(subject)
        if policy is None:
            return
        try:
            policy.update_record(name, value)
        except Exception as error:
            # Raising here would lose the other records of the same update.
            self._suspend(subject, f"cannot apply its record {name}: {type(error).__name__}: {error}")

    def clear_records(self) -> None:
        """Clears the records of all policies before they are read again."""
        for policy in self.policies.values():
            policy.clear_records()


def _is_aware(value: object) -> bool:
    return isinstance(value, datetime) and value.tzinfo is not None


def _is_hold(result: object) -> bool:
    return result is None or isinstance(result, Hold) and _is_aware(result.until)


def _is_reason(result: object) -> bool:
    return result is None or isinstance(result, str)


def _is_score(result: object) -> bool:
    return isinstance(result, int | float) and math.isfinite(result)


def _are_reservations(result: object) -> bool:
    return isinstance(result, list) and all(
        isinstance(reservation, CapacityReservation)
        and 0 <= reservation.cpus < math.inf
        and _is_aware(reservation.needed_at)
        for reservation in result
    )


def _is_drain(result: object) -> bool:
    return (
        result is None
        or isinstance(result, Drain)
        and _is_aware(result.deadline)
        and isinstance(result.checkpoint_grace, timedelta)
    )


def _implementing(policies: Sequence[Policy], method: str) -> list[Policy]:
    """Returns the policies that override a method of ``Policy``."""
    return [policy for policy in policies if getattr(type(policy), method) is not getattr(Policy, method)]
