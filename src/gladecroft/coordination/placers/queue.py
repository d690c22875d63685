"""The order in which waiting work is planned: guarantees, priorities, and what can still be on time."""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.node import Node
from gladecroft.protocol.wire import Kind

#: Seconds that a class without aims is given.
PATIENCE = 60.0
#: A job that has waited so many times its aims comes first.
STARVED = 3.0
#: The turn of a job whose start is behind it and whose end is not in danger.
CAN_WAIT = 100


class Queue:
    def __init__(self, node: Node) -> None:
        self.node = node
        self.picture = node.picture
        self._aim_spans: dict[tuple[str, str], list[float]] = {}
        self._patiences: dict[str, float] = {}

    def order(self, jobs: list[Job], guaranteed: set[str]) -> list[Job]:
        """Work within a guarantee first, then by priority, then by what can still be on time, little work first.

        In an overload not all jobs can meet their aims. The most are on time if those that still can come before
        those that can't any more, and small ones before big ones. A job that has waited for long comes first.
        """
        return sorted(jobs, key=lambda job: (job.id not in guaranteed, job.rank, *self._turn(job), job.id))

    def pressing(self, guaranteed: set[str]) -> set[str]:
        """The waiting jobs that come first, and may evict, for their team's guarantee.

        A team whose unfinished work all fits into its guarantee need not wait for others at all. One that has more
        waits for itself: of its jobs those arrays do without the privilege that have missed every aim already. Large
        ones that were past helping took, and evicted, what would have brought many others home in time.
        """
        crowded = self.picture.crowded
        return {
            job.id
            for job in self.picture.queued.values()
            if job.id in guaranteed and not (job.spec.team in crowded and self._past_helping(job))
        }

    def _past_helping(self, job: Job) -> bool:
        """Whether nothing more can be won by an array's end. A late service is as much missed as ever."""
        if job.spec.kind is not Kind.ARRAY:
            return False
        limits = self._limits(job)
        return bool(limits) and max(limits) <= self._age(job) <= STARVED * max(*limits, PATIENCE)

    def _age(self, job: Job) -> float:
        return self.node.wall.timestamp() - job.record.accepted_ms / 1000

    def _limits(self, job: Job) -> list[float]:
        """By what age the job must have started (or, for its end, its tasks must have) to meet each of its aims."""
        limits = [span - job.spec.estimate_s for span in self._aims(job, "finished")]
        return limits if self._has_started(job) else limits + self._aims(job, "wait")

    def _turn(self, job: Job) -> tuple[int, float]:
        spec = job.spec
        age = self._age(job)
        work = spec.cpus * job.queued_count * max(1.0, spec.estimate_s)
        limits = self._limits(job)
        if self._has_started(job):
            # Its start is behind it; it can wait as long as its end is not in danger.
            most = max(spec.cpus, self.picture.limits[spec.team].most_cpus)
            if all(limit - age - work / most > PATIENCE for limit in limits):
                return CAN_WAIT, work
        limits = limits or [PATIENCE]
        if age > STARVED * max(*limits, PATIENCE):
            return 0, work
        return sum(age >= limit for limit in limits), work

    def _aims(self, job: Job, kind: str) -> list[float]:
        spans = self._aim_spans.get((job.spec.job_class, kind))
        if spans is None:
            spans = self._aim_spans[(job.spec.job_class, kind)] = [
                aim.within_s
                for aim in self.node.cluster.objectives
                if aim.job_class == job.spec.job_class and aim.kind == kind and aim.within_s > 0
            ]
            if len(self._aim_spans) > 1000:
                self._aim_spans.clear()
        return spans

    def _has_started(self, job: Job) -> bool:
        """Whether the aim for this job's start is behind it: as many tasks have started as may run at once."""
        if job.spec.kind is not Kind.ARRAY or not self._aims(job, "wait") or not job.chunks:
            return False
        most = job.spec.tasks
        limit = self.picture.limits.get(job.spec.team)
        if limit is not None and limit.cpus_max > 0 and job.spec.cpus > 0:
            most = min(most, int((limit.cpus_max + 1e-6) / job.spec.cpus))
        return job.begun >= most

    def patience(self, job: Job) -> float:
        """The shortest time that the aims give a job of this class."""
        known = self._patiences.get(job.spec.job_class)
        if known is None:
            spans = [aim.within_s for aim in self.node.cluster.objectives if aim.job_class == job.spec.job_class]
            known = self._patiences[job.spec.job_class] = min((span for span in spans if span > 0), default=PATIENCE)
        return known
