"""Orders pending jobs by their team's guarantee, their age and the objectives that they can still meet."""

from __future__ import annotations

import math

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.context import ControllerContext
from gladecroft.protocol.wire import JobKind

#: Target time of jobs whose class has no objective; also the time margin that a job needs in order to wait.
DEFAULT_OBJECTIVE_S = 60.0
#: A job is starved once its age exceeds this many times the latest age at which it could still meet an objective (at
#: least ``DEFAULT_OBJECTIVE_S``), or ``MAX_STARVATION_S`` if that is shorter. It is then ordered as if it had missed no
#: objective, so that the largest jobs are served too.
STARVATION_FACTOR = 3.0
MAX_STARVATION_S = 240.0
#: A job of which too few tasks have been placed at this age is overdue: it may place some tasks before all other jobs,
#: the oldest overdue job first. All jobs are required to start within four minutes; if they were ordered by work alone,
#: the largest would always be last.
START_DEADLINE_S = 120.0
#: An overdue array starts with this fraction of its tasks, and ``MAX_START_TASKS`` at most, so that others need not
#: wait for all of it. Admission control enforces the floors of teams and classes.
START_FRACTION = 0.125
MAX_START_TASKS = 16
#: Precedence of an overdue job.
OVERDUE = -2
#: Precedence of a job that has met its objective of kind "wait" and has time left until it must finish.
CAN_WAIT = 100


class JobOrdering:
    """Computes the precedence of pending jobs and the times at which it changes."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self._target_times_by_class: dict[tuple[str, str], list[float]] = {}
        self._shortest_target_times: dict[str, float] = {}

    def uses_guarantee(self, job: Job, guaranteed_job_ids: set[str]) -> bool:
        """Whether a pending job is scheduled on its team's guarantee: it comes before others and may evict their tasks.

        ``guaranteed_job_ids`` holds the jobs that fit into their team's guarantee. If a team's unfinished jobs exceed
        its guarantee, arrays that have missed all their objectives lose this right. Otherwise large late arrays would
        occupy, and evict others from, capacity with which many jobs could still meet their objectives.
        """
        return job.id in guaranteed_job_ids and not (
            job.spec.team in self.cluster_state.teams_over_guarantee and self._missed_all_objectives(job)
        )

    def _missed_all_objectives(self, job: Job) -> bool:
        """Whether a job is an array that can no longer meet any of its objectives and is not starved either.

        Unlike in ``precedence``, ``MAX_STARVATION_S`` does not limit the age from which it is starved. False for
        services and gangs: a late service is needed as much as one in time.
        """
        if job.spec.kind is not JobKind.ARRAY:
            return False
        latest_ages_s = self._latest_ages_s(job)
        return bool(latest_ages_s) and max(latest_ages_s) <= self._age_s(job) <= STARVATION_FACTOR * max(
            *latest_ages_s, DEFAULT_OBJECTIVE_S
        )

    def is_overdue(self, job: Job) -> bool:
        """Whether a job is overdue: at an age of ``START_DEADLINE_S`` or more, too few of its tasks have been placed.

        The result depends only on the records and the wall clock, so that all home controllers agree, each of which
        places the tasks of its teams.
        """
        return self.tasks_to_start(job) > 0 and self._age_s(job) >= START_DEADLINE_S

    def tasks_to_start(self, job: Job) -> int:
        """Return how many more of a job's tasks must be placed before the job can't be overdue any more."""
        tasks = job.spec.tasks
        to_start = min(MAX_START_TASKS, math.ceil(START_FRACTION * tasks)) if job.spec.kind is JobKind.ARRAY else tasks
        return to_start - job.ever_placed_count

    def _age_s(self, job: Job) -> float:
        return self.context.wall_time.timestamp() - job.record.accepted_ms / 1000

    def _latest_ages_s(self, job: Job) -> list[float]:
        """Return, for each objective, the age in seconds up to which the job can still meet it.

        For an objective of kind "finished", the job's last tasks must start by that age. One of kind "wait" is left out
        once the job has met it.
        """
        latest_ages_s = [target_time_s - job.spec.estimate_s for target_time_s in self._target_times_s(job, "finished")]
        return latest_ages_s if self._met_start_objective(job) else latest_ages_s + self._target_times_s(job, "wait")

    def precedence(self, job: Job) -> tuple[int, float, float]:
        """Return a pending job's precedence, its sort value within that precedence, and when they may change next.

        Lower values come first. The precedence is ``OVERDUE``, ``CAN_WAIT``, 0 for a starved job, or else the number of
        objectives that the job has missed. The sort value is the work of its queued tasks in core-seconds; for an
        overdue job it is the time of acceptance. The third value is a wall-clock time in seconds, infinite for an
        overdue job; it covers the changes of ``uses_guarantee`` with time as well.

        In an overload not all jobs can meet their objectives. The number that do is highest if jobs that still can come
        before jobs that can't, and small jobs before large ones.
        """
        spec = job.spec
        age_s = self._age_s(job)
        if self.is_overdue(job):
            return OVERDUE, job.record.accepted_ms / 1000, math.inf
        work_core_s = spec.cpus * job.queued_count * max(1.0, spec.estimate_s)
        latest_ages_s = self._latest_ages_s(job)
        # Ages at which the result changes. The 1 ms added below makes sure that the age is exceeded at that time.
        change_ages_s: list[float] = []
        precedence = -1
        if self._met_start_objective(job):
            # The job can wait as long as it is certain to finish in time.
            max_cpus = max(spec.cpus, self.cluster_state.team_settings[spec.team].cpu_limit)
            change_ages_s += [latest - work_core_s / max_cpus - DEFAULT_OBJECTIVE_S for latest in latest_ages_s]
            if all(latest - age_s - work_core_s / max_cpus > DEFAULT_OBJECTIVE_S for latest in latest_ages_s):
                precedence = CAN_WAIT
        latest_ages_s = latest_ages_s or [DEFAULT_OBJECTIVE_S]
        starvation_age_s = min(STARVATION_FACTOR * max(*latest_ages_s, DEFAULT_OBJECTIVE_S), MAX_STARVATION_S)
        change_ages_s += [*latest_ages_s, starvation_age_s]
        if self.tasks_to_start(job) > 0:
            change_ages_s.append(START_DEADLINE_S)
        if precedence < 0:
            precedence = 0 if age_s > starvation_age_s else sum(age_s >= latest for latest in latest_ages_s)
        next_change_age_s = min((change for change in change_ages_s if change >= age_s), default=math.inf)
        return precedence, work_core_s, job.record.accepted_ms / 1000 + next_change_age_s + 1e-3

    def _target_times_s(self, job: Job, kind: str) -> list[float]:
        """Return the target times, in seconds, of a job's class for one kind of objective ("wait" or "finished")."""
        target_times_s = self._target_times_by_class.get((job.spec.job_class, kind))
        if target_times_s is None:
            target_times_s = self._target_times_by_class[(job.spec.job_class, kind)] = [
                objective.within_s
                for objective in self.context.cluster.objectives
                if objective.job_class == job.spec.job_class and objective.kind == kind and objective.within_s > 0
            ]
            if len(self._target_times_by_class) > 1000:
                self._target_times_by_class.clear()
        return target_times_s

    def _met_start_objective(self, job: Job) -> bool:
        """Whether a job has met its objective of kind "wait": as many tasks have been placed as may run at once."""
        if job.spec.kind is not JobKind.ARRAY or not self._target_times_s(job, "wait") or not job.chunks:
            return False
        max_running = job.spec.tasks
        team_settings = self.cluster_state.team_settings.get(job.spec.team)
        if team_settings is not None and team_settings.cpus_max > 0 and job.spec.cpus > 0:
            max_running = min(max_running, int((team_settings.cpus_max + 1e-6) / job.spec.cpus))
        return job.ever_placed_count >= max_running

    def target_wait(self, job_class: str) -> float:
        """Return the shortest target time of a class's objectives, in seconds."""
        shortest_s = self._shortest_target_times.get(job_class)
        if shortest_s is None:
            target_times_s = [
                objective.within_s for objective in self.context.cluster.objectives if objective.job_class == job_class
            ]
            shortest_s = self._shortest_target_times[job_class] = min(
                (target_time_s for target_time_s in target_times_s if target_time_s > 0), default=DEFAULT_OBJECTIVE_S
            )
            if len(self._shortest_target_times) > 1000:
                self._shortest_target_times = {job_class: shortest_s}
        return shortest_s
