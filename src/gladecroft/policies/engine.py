"""The policies that are switched on, asked as one: what they say is combined, and what fails is not heard.

Holds combine by the latest end, filters by "all agree", scores by their sum, demand by the largest, drains by the
earliest. A policy that raises, or takes more than its time in a round, is dropped until the next round: an advisor
ends no controller. Its filter then says nothing; that no rule is broken does not rest on any policy.
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
from gladecroft.policies.interface import CapacityDemand, Drain, Hold, MachineAttributes, Policy
from gladecroft.protocol.operators import format_utc

log = logging.getLogger(__name__)

T = TypeVar("T")

#: What a policy may take of the processor in one round. Rounds come ten times a second at the most.
ROUND_TIME = timedelta(milliseconds=10)
#: A hold for longer than this is taken as one of this length, and asked for again then.
LONGEST_HOLD = timedelta(hours=24)


class PolicyEngine:
    """``watch`` gives the seconds of a clock that only goes forward, for the time that policies take."""

    def __init__(
        self,
        policies: Sequence[Policy],
        watch: Callable[[], float] = time.perf_counter,
        round_time: timedelta = ROUND_TIME,
    ) -> None:
        self.policies = {policy.subject: policy for policy in policies}
        if len(self.policies) != len(policies):
            raise ValueError("a policy stands twice")
        self.now = datetime.fromtimestamp(0, UTC)
        #: Questions asked of each policy, and rounds in which it was dropped.
        self.query_counts: Counter[str] = Counter()
        self.suspension_counts: Counter[str] = Counter()
        self._watch = watch
        self._most = round_time.total_seconds()
        self._out: set[str] = set()
        self._spent: dict[str, float] = {}
        self._shut: dict[MachineAttributes, str] = {}
        # Only those are asked that have something to say at all.
        self._holds = _with_a_say(policies, "hold")
        self._filters = _with_a_say(policies, "filter")
        self._scores = _with_a_say(policies, "score")
        self._demands = _with_a_say(policies, "demand")
        self._drains = _with_a_say(policies, "drain")
        self._drained: dict[MachineAttributes, Drain | None] = {}

    def begin_round(self, now: datetime) -> None:
        """A new round: all are heard again."""
        self.now = now
        self._out.clear()
        self._spent.clear()
        self._shut.clear()
        self._drained.clear()

    def _ask(self, policy: Policy, question: Callable[[], T], nothing: T, sound: Callable[[object], bool]) -> T:
        subject = policy.subject
        if subject in self._out:
            return nothing
        self.query_counts[subject] += 1
        began = self._watch()
        try:
            answer = question()
        except Exception as error:
            self._drop(subject, f"{type(error).__name__}: {error}")
            return nothing
        if not sound(answer):
            self._drop(subject, f"answers {answer!r:.80}")
            return nothing
        spent = self._spent[subject] = self._spent.get(subject, 0.0) + self._watch() - began
        if spent > self._most:
            self._drop(subject, f"took {spent * 1000:.0f} ms of the round")
        return answer

    def _drop(self, subject: str, why: str) -> None:
        self._out.add(subject)
        self.suspension_counts[subject] += 1
        # Powers of two: a policy that fails each round must not fill the log.
        count = self.suspension_counts[subject]
        if count & (count - 1) == 0:
            log.error("policy %s is not heard in this round (%d so far): %s", subject, count, why)

    # Questions -----------------------------------------------------------------------------------------------

    def hold_reason(self, job: Job) -> str | None:
        """Why the job's tasks may not start yet, or None."""
        latest: Hold | None = None
        whose = ""
        for policy in self._holds:
            said = self._ask(policy, partial(policy.hold, job, self.now), None, _is_hold)
            if said is not None and said.until > self.now and (latest is None or said.until > latest.until):
                latest, whose = said, policy.subject
        if latest is None:
            return None
        until = min(latest.until, self.now + LONGEST_HOLD)
        return f"{whose}: {latest.why}; at the latest {format_utc(until)}"

    def exclusion_reason(self, name: str, pool: CapacityPool) -> str | None:
        """Why a machine takes nothing new, whatever the job; None if it does."""
        if not self._filters:
            return None
        place = MachineAttributes.from_pool(name, pool)
        known = self._shut.get(place)
        if known is None:
            known = self._shut[place] = self._refusal(None, place, by_job=False) or ""
        return known or None

    def rejection_reason(self, job: Job, name: str, pool: CapacityPool) -> str | None:
        """Why a machine may not take a job; None if all agree that it may."""
        if not self._filters:
            return None
        return self.exclusion_reason(name, pool) or self._refusal(
            job, MachineAttributes.from_pool(name, pool), by_job=True
        )

    def _refusal(self, job: Job | None, place: MachineAttributes, by_job: bool) -> str | None:
        for policy in self._filters:
            if policy.by_job is by_job:
                said = self._ask(policy, partial(policy.filter, job, place, self.now), None, _is_reason)
                if said is not None:
                    return f"{policy.subject}: {said}"
        return None

    def score(self, job: Job, name: str, pool: CapacityPool) -> float:
        if not self._scores:
            return 0.0
        place = MachineAttributes.from_pool(name, pool)
        return sum(
            self._ask(policy, partial(policy.score, job, place, self.now), 0.0, _is_score) for policy in self._scores
        )

    def is_job_specific(self) -> bool:
        """Whether a machine may be shut to one job and open to another."""
        return bool(self._drains) or any(policy.by_job for policy in self._filters)

    def has_holds(self) -> bool:
        """Whether any policy has a say in when jobs start."""
        return bool(self._holds)

    def has_drains(self) -> bool:
        """Whether any policy has machines emptied."""
        return bool(self._drains)

    def capacity_demands(self) -> list[CapacityDemand]:
        """For each type and zone the largest room that any policy asks for."""
        largest: dict[tuple[str, str], CapacityDemand] = {}
        for policy in self._demands:
            nothing: list[CapacityDemand] = []
            for each in self._ask(policy, partial(policy.demand, self.now), nothing, _are_demands):
                known = largest.get((each.type, each.zone))
                if known is None or each.cpus > known.cpus:
                    largest[(each.type, each.zone)] = each
        return list(largest.values())

    def drain(self, name: str, pool: CapacityPool) -> Drain | None:
        """By when, at the earliest that any policy says, a machine is to be empty."""
        if not self._drains:
            return None
        place = MachineAttributes.from_pool(name, pool)
        if place in self._drained:
            return self._drained[place]
        earliest: Drain | None = None
        for policy in self._drains:
            said = self._ask(policy, partial(policy.drain, place, self.now), None, _is_drain)
            if said is not None and (earliest is None or said.deadline < earliest.deadline):
                earliest = Drain(said.deadline, said.checkpoint_grace, f"{policy.subject}: {said.reason}")
        self._drained[place] = earliest
        return earliest

    # Records -------------------------------------------------------------------------------------------------

    def update_record(self, subject: str, name: str, value: bytes | None) -> None:
        """A record of a policy has changed. Of policies that are not switched on nothing is kept."""
        policy = self.policies.get(subject)
        if policy is None:
            return
        try:
            policy.take(name, value)
        except Exception as error:
            # Raised on, it would lose what else came with the same news.
            self._drop(subject, f"can't take its record {name}: {type(error).__name__}: {error}")

    def clear_records(self) -> None:
        for policy in self.policies.values():
            policy.forget()


def _aware(at: object) -> bool:
    return isinstance(at, datetime) and at.tzinfo is not None


def _is_hold(said: object) -> bool:
    return said is None or isinstance(said, Hold) and _aware(said.until)


def _is_reason(said: object) -> bool:
    return said is None or isinstance(said, str)


def _is_score(said: object) -> bool:
    return isinstance(said, int | float) and math.isfinite(said)


def _are_demands(said: object) -> bool:
    return isinstance(said, list) and all(
        isinstance(each, CapacityDemand) and 0 <= each.cpus < math.inf and _aware(each.needed_at) for each in said
    )


def _is_drain(said: object) -> bool:
    return (
        said is None
        or isinstance(said, Drain)
        and _aware(said.deadline)
        and isinstance(said.checkpoint_grace, timedelta)
    )


def _with_a_say(policies: Sequence[Policy], question: str) -> list[Policy]:
    return [policy for policy in policies if getattr(type(policy), question) is not getattr(Policy, question)]
