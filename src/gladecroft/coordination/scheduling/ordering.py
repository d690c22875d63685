"""The order in which waiting work is planned: guarantees, priorities, and what can still be on time."""

from __future__ import annotations

import math

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.context import ControllerContext
from gladecroft.protocol.wire import JobKind

#: Seconds that a class without aims is given.
PATIENCE = 60.0
#: A job that has waited so many times its aims comes first, and so does one that has waited this many seconds: whole
#: jobs are to be served, the largest too.
STARVED = 3.0
STARVED_S = 240.0
#: A job none of whose tasks has started by this age, in seconds, comes first with a part of them, the oldest before the
#: others. By the rules the largest too begin within four minutes; least work first, they stood last for good.
BEGIN_BY_S = 120.0
#: The part of its tasks, and how many at the most, that an array begins with which has waited for so long: others are
#: not to wait for all of it. That a team or class has its floor is seen to by the agreed shares.
BEGIN_WITH = 0.125
BEGIN_MOST = 16
#: The turn of a job that has waited too long for its start.
OVERDUE = -2
#: The turn of a job whose start is behind it and whose end is not in danger.
CAN_WAIT = 100


class JobOrdering:
    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self._aim_spans: dict[tuple[str, str], list[float]] = {}
        self._patiences: dict[str, float] = {}

    def is_pressing(self, job: Job, guaranteed: set[str]) -> bool:
        """Whether a waiting job comes first, and may evict, for its team's guarantee.

        A team whose unfinished work all fits into its guarantee need not wait for others at all. One that has more
        waits for itself: of its jobs those arrays do without the privilege that have missed every aim already. Large
        ones that were past helping took, and evicted, what would have brought many others home in time.
        """
        return job.id in guaranteed and not (
            job.spec.team in self.cluster_state.teams_over_guarantee and self._past_helping(job)
        )

    def _past_helping(self, job: Job) -> bool:
        """Whether nothing more can be won by an array's end. A late service is as much missed as ever."""
        if job.spec.kind is not JobKind.ARRAY:
            return False
        limits = self._limits(job)
        return bool(limits) and max(limits) <= self._age(job) <= STARVED * max(*limits, PATIENCE)

    def overdue(self, job: Job) -> bool:
        """Whether a job has waited too long to begin. By the records and the time of day: all homes agree."""
        return self.to_begin(job) > 0 and self._age(job) >= BEGIN_BY_S

    def to_begin(self, job: Job) -> int:
        """How many of a job's tasks are to start before it counts as begun."""
        tasks = job.spec.tasks
        first = min(BEGIN_MOST, math.ceil(BEGIN_WITH * tasks)) if job.spec.kind is JobKind.ARRAY else tasks
        return first - job.ever_placed_count

    def _age(self, job: Job) -> float:
        return self.context.wall_time.timestamp() - job.record.accepted_ms / 1000

    def _limits(self, job: Job) -> list[float]:
        """By what age the job must have started (or, for its end, its tasks must have) to meet each of its aims."""
        limits = [span - job.spec.estimate_s for span in self._aims(job, "finished")]
        return limits if self._has_started(job) else limits + self._aims(job, "wait")

    def turn(self, job: Job) -> tuple[int, float, float]:
        """A waiting job's turn among others of its privilege and priority, its work in core-seconds, and until when, by
        the time of day, this and whether it is past helping hold if nothing else changes.

        In an overload not all jobs can meet their aims. The most are on time if those that still can come before
        those that can't any more, and small ones before big ones. A job that has waited for long comes first.
        """
        spec = job.spec
        age = self._age(job)
        if self.overdue(job):
            return OVERDUE, job.record.accepted_ms / 1000, math.inf
        work = spec.cpus * job.queued_count * max(1.0, spec.estimate_s)
        limits = self._limits(job)
        # The ages at which something changes; what holds at such an age itself is told a moment later.
        steps: list[float] = []
        turn = -1
        if self._has_started(job):
            # Its start is behind it; it can wait as long as its end is not in danger.
            most = max(spec.cpus, self.cluster_state.limits[spec.team].cpu_limit)
            steps += [limit - work / most - PATIENCE for limit in limits]
            if all(limit - age - work / most > PATIENCE for limit in limits):
                turn = CAN_WAIT
        limits = limits or [PATIENCE]
        starved = min(STARVED * max(*limits, PATIENCE), STARVED_S)
        steps += [*limits, starved]
        if self.to_begin(job) > 0:
            steps.append(BEGIN_BY_S)
        if turn < 0:
            turn = 0 if age > starved else sum(age >= limit for limit in limits)
        due = min((step for step in steps if step >= age), default=math.inf)
        return turn, work, job.record.accepted_ms / 1000 + due + 1e-3

    def _aims(self, job: Job, kind: str) -> list[float]:
        spans = self._aim_spans.get((job.spec.job_class, kind))
        if spans is None:
            spans = self._aim_spans[(job.spec.job_class, kind)] = [
                aim.within_s
                for aim in self.context.cluster.objectives
                if aim.job_class == job.spec.job_class and aim.kind == kind and aim.within_s > 0
            ]
            if len(self._aim_spans) > 1000:
                self._aim_spans.clear()
        return spans

    def _has_started(self, job: Job) -> bool:
        """Whether the aim for this job's start is behind it: as many tasks have started as may run at once."""
        if job.spec.kind is not JobKind.ARRAY or not self._aims(job, "wait") or not job.chunks:
            return False
        most = job.spec.tasks
        limit = self.cluster_state.limits.get(job.spec.team)
        if limit is not None and limit.cpus_max > 0 and job.spec.cpus > 0:
            most = min(most, int((limit.cpus_max + 1e-6) / job.spec.cpus))
        return job.ever_placed_count >= most

    def target_wait(self, job_class: str) -> float:
        """The shortest time that the aims give a job of this class."""
        known = self._patiences.get(job_class)
        if known is None:
            spans = [aim.within_s for aim in self.context.cluster.objectives if aim.job_class == job_class]
            known = self._patiences[job_class] = min((span for span in spans if span > 0), default=PATIENCE)
            if len(self._patiences) > 1000:
                self._patiences = {job_class: known}
        return known
