"""Orders pending jobs by their team's guarantee, their age and the objectives that they can still meet."""

from __future__ import annotations

import math

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.context import ControllerContext
from gladecroft.protocol.wire import JobKind

#: Target time of jobs whose class has no objective.
DEFAULT_OBJECTIVE_S = 60.0
#: A job is starved, and comes first, once it has waited for this many times its longest objective, or for
#: ``MAX_STARVATION_S`` if that is shorter, so that the largest jobs are served too.
STARVATION_FACTOR = 3.0
MAX_STARVATION_S = 240.0
#: A job of which too few tasks were placed by this age comes first with some of them, the oldest job first. All jobs
#: are required to start within four minutes; ordered by work alone, the largest would be last forever.
START_DEADLINE_S = 120.0
#: An overdue array starts with this fraction of its tasks, and ``MAX_START_TASKS`` at most, so that others need not
#: wait for all of it. The floors of teams and classes are kept by the admission shares.
START_FRACTION = 0.125
MAX_START_TASKS = 16
#: Precedence of a job that has waited too long for its start.
OVERDUE = -2
#: Precedence of a job that has met its start objective and has time left until it must finish.
CAN_WAIT = 100


class JobOrdering:
    """Computes the precedence of pending jobs and the times at which it changes."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self._objective_spans: dict[tuple[str, str], list[float]] = {}
        self._shortest_objectives: dict[str, float] = {}

    def uses_guarantee(self, job: Job, guaranteed: set[str]) -> bool:
        """Whether a pending job is scheduled on its team's guarantee: it comes first and may evict others.

        ``guaranteed`` holds the ids of the jobs within the guarantees. If a team's unfinished jobs exceed its
        guarantee, arrays that have missed all their objectives lose this right; large ones would otherwise take, and
        evict others from, the capacity with which many jobs could still meet theirs.
        """
        return job.id in guaranteed and not (
            job.spec.team in self.cluster_state.teams_over_guarantee and self._missed_all_objectives(job)
        )

    def _missed_all_objectives(self, job: Job) -> bool:
        """Whether an array can't meet any of its objectives any more and is not starved either.

        False for services and gangs: a late service is needed as much as before.
        """
        if job.spec.kind is not JobKind.ARRAY:
            return False
        latest_ages = self._latest_ages(job)
        return bool(latest_ages) and max(latest_ages) <= self._age(job) <= STARVATION_FACTOR * max(
            *latest_ages, DEFAULT_OBJECTIVE_S
        )

    def is_overdue(self, job: Job) -> bool:
        """Whether a job has waited too long for its start.

        Depends only on the records and the wall clock, so that all home controllers agree.
        """
        return self.tasks_to_start(job) > 0 and self._age(job) >= START_DEADLINE_S

    def tasks_to_start(self, job: Job) -> int:
        """Return how many more of a job's tasks must be placed before the job counts as started."""
        tasks = job.spec.tasks
        to_start = min(MAX_START_TASKS, math.ceil(START_FRACTION * tasks)) if job.spec.kind is JobKind.ARRAY else tasks
        return to_start - job.ever_placed_count

    def _age(self, job: Job) -> float:
        return self.context.wall_time.timestamp() - job.record.accepted_ms / 1000

    def _latest_ages(self, job: Job) -> list[float]:
        """Return, for each objective, the age by which the job must have started (or its last tasks) to meet it."""
        latest_ages = [span - job.spec.estimate_s for span in self._objectives_s(job, "finished")]
        return latest_ages if self._is_started(job) else latest_ages + self._objectives_s(job, "wait")

    def precedence(self, job: Job) -> tuple[int, float, float]:
        """Return a pending job's precedence, its remaining work in core-seconds and the time at which these may change.

        Lower values come first. The precedence is the number of missed objectives, or ``CAN_WAIT``, or 0 for a starved
        job; an overdue job gets ``OVERDUE`` and its time of acceptance instead of its work. The time is in wall-clock
        seconds, and covers changes of ``uses_guarantee`` as well.

        In an overload not all jobs can meet their objectives. Most do if jobs that still can come before jobs that
        can't, and small jobs before large ones.
        """
        spec = job.spec
        age = self._age(job)
        if self.is_overdue(job):
            return OVERDUE, job.record.accepted_ms / 1000, math.inf
        work = spec.cpus * job.queued_count * max(1.0, spec.estimate_s)
        latest_ages = self._latest_ages(job)
        # Ages at which the result changes; the 1 ms added below makes sure that the age has been passed by then.
        change_ages: list[float] = []
        precedence = -1
        if self._is_started(job):
            # It can wait as long as it is sure to finish in time.
            max_cpus = max(spec.cpus, self.cluster_state.limits[spec.team].cpu_limit)
            change_ages += [latest - work / max_cpus - DEFAULT_OBJECTIVE_S for latest in latest_ages]
            if all(latest - age - work / max_cpus > DEFAULT_OBJECTIVE_S for latest in latest_ages):
                precedence = CAN_WAIT
        latest_ages = latest_ages or [DEFAULT_OBJECTIVE_S]
        starvation_age = min(STARVATION_FACTOR * max(*latest_ages, DEFAULT_OBJECTIVE_S), MAX_STARVATION_S)
        change_ages += [*latest_ages, starvation_age]
        if self.tasks_to_start(job) > 0:
            change_ages.append(START_DEADLINE_S)
        if precedence < 0:
            precedence = 0 if age > starvation_age else sum(age >= latest for latest in latest_ages)
        next_change = min((change for change in change_ages if change >= age), default=math.inf)
        return precedence, work, job.record.accepted_ms / 1000 + next_change + 1e-3

    def _objectives_s(self, job: Job, kind: str) -> list[float]:
        """Return the target times of a job's class for one kind of objective ("wait" or "finished")."""
        spans = self._objective_spans.get((job.spec.job_class, kind))
        if spans is None:
            spans = self._objective_spans[(job.spec.job_class, kind)] = [
                objective.within_s
                for objective in self.context.cluster.objectives
                if objective.job_class == job.spec.job_class and objective.kind == kind and objective.within_s > 0
            ]
            if len(self._objective_spans) > 1000:
                self._objective_spans.clear()
        return spans

    def _is_started(self, job: Job) -> bool:
        """Whether a job has met its start objective: as many tasks have been placed as may run at once."""
        if job.spec.kind is not JobKind.ARRAY or not self._objectives_s(job, "wait") or not job.chunks:
            return False
        max_running = job.spec.tasks
        limit = self.cluster_state.limits.get(job.spec.team)
        if limit is not None and limit.cpus_max > 0 and job.spec.cpus > 0:
            max_running = min(max_running, int((limit.cpus_max + 1e-6) / job.spec.cpus))
        return job.ever_placed_count >= max_running

    def target_wait(self, job_class: str) -> float:
        """Return the shortest target time of a class's objectives, in seconds."""
        shortest = self._shortest_objectives.get(job_class)
        if shortest is None:
            spans = [
                objective.within_s for objective in self.context.cluster.objectives if objective.job_class == job_class
            ]
            shortest = self._shortest_objectives[job_class] = min(
                (span for span in spans if span > 0), default=DEFAULT_OBJECTIVE_S
            )
            if len(self._shortest_objectives) > 1000:
                self._shortest_objectives = {job_class: shortest}
        return shortest
