"""Selects the machine for one task: applies the zone constraints, then asks the two placers."""

from __future__ import annotations

from collections.abc import Container

from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord
from gladecroft.coordination.scheduling.placement import (
    EPSILON,
    Candidate,
    HighPriorityPlacer,
    LowPriorityPlacer,
    Offer,
    Ranking,
    TaskRequest,
)

#: Key under which tasks are counted whose machine is not in the cluster state.
UNKNOWN_ZONE = "?"


def task_request(
    job: Job, uses_guarantee: bool, home: str, non_preempting: bool = False, protected: Container[tuple[str, str]] = ()
) -> TaskRequest:
    """Return the request for one task of a job."""
    spec = job.spec
    return TaskRequest(
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image,
        job.priority_rank,
        spec.team,
        uses_guarantee,
        home,
        non_preempting,
        protected,
    )


def zone_counts_and_cap(cluster_state: ClusterState, job: Job) -> tuple[dict[str, int], int]:
    """Return the number of the job's tasks in each zone, and the maximum number in any zone (the cap).

    A task on a machine that is not in the cluster state may be in any zone, so it lowers the cap of every zone. When
    such tasks were not counted, more than half of a service's tasks could be placed in one zone after a restart of all
    controllers.
    """
    tasks_by_zone = tasks_per_zone(cluster_state, job)
    return tasks_by_zone, job.spec.max_tasks_per_zone() - tasks_by_zone.pop(UNKNOWN_ZONE, 0)


def tasks_per_zone(cluster_state: ClusterState, job: Job) -> dict[str, int]:
    """Count the job's placed tasks by zone; those on unknown machines count under ``UNKNOWN_ZONE``."""
    tasks_by_zone: dict[str, int] = {}
    for _, task in job.placed_tasks():
        machine = cluster_state.machines.get(task.machine)
        if task.machine:
            zone = machine.zone if machine is not None else UNKNOWN_ZONE
            tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
    return tasks_by_zone


def restrict_to_one_zone(candidates: list[Candidate], tasks_by_zone: dict[str, int]) -> list[Candidate]:
    """Keep the candidates of one zone: the zone of the job's placed tasks, else the one with the most free cores."""
    if tasks_by_zone:
        zone = next(iter(tasks_by_zone))
        return [candidate for candidate in candidates if candidate.zone == zone]
    free_cpus: dict[str, float] = {}
    for candidate in candidates:
        free_cpus[candidate.zone] = free_cpus.get(candidate.zone, 0.0) + max(0.0, candidate.free_cpus)
    if not free_cpus:
        return []
    best = max(sorted(free_cpus), key=lambda zone: free_cpus[zone])
    return [candidate for candidate in candidates if candidate.zone == best]


def reserve(candidate: Candidate, request: TaskRequest) -> None:
    """Deduct a request from free and releasing capacity, so that this round does not use the capacity twice."""
    candidate.releasing_cpus -= max(0.0, request.cpus - max(0.0, candidate.free_cpus))
    candidate.releasing_gpus -= max(0.0, request.gpus - max(0.0, candidate.free_gpus))
    candidate.releasing_memory_gb -= max(0.0, request.memory_gb - max(0.0, candidate.free_memory_gb))
    candidate.free_cpus = max(0.0, candidate.free_cpus - request.cpus)
    candidate.free_gpus = max(0.0, candidate.free_gpus - request.gpus)
    candidate.free_memory_gb = max(0.0, candidate.free_memory_gb - request.memory_gb)


class MachineSelector:
    """Combines the two placers into one decision.

    ``max_high_priority_rank`` is the largest priority rank (the lowest priority) that the high-priority placer handles.
    """

    def __init__(
        self,
        high_priority_placer: HighPriorityPlacer,
        low_priority_placer: LowPriorityPlacer,
        max_high_priority_rank: int,
    ) -> None:
        self.high_priority_placer = high_priority_placer
        self.low_priority_placer = low_priority_placer
        self._max_high_priority_rank = max_high_priority_rank

    def select(
        self, request: TaskRequest, ranking: Ranking, usable: list[Candidate], previous: TaskRecord | None = None
    ) -> Offer | None:
        """Choose a machine for one task.

        A machine with enough free capacity is preferred, then one with enough once its stopping tasks have exited, then
        one where tasks can be evicted. A low-priority task gets one of the latter two only on its team's guarantee.
        ``previous`` is the task's record before this placement.
        """
        failed_on = previous.note if previous is not None and previous.failures else ""
        if request.rank <= self._max_high_priority_rank:
            fitting = self._top_ranked(ranking, failed_on)
            if fitting and self.high_priority_placer.avoid_evictions:
                return self.low_priority_placer.choose_offer(request, [Offer(candidate, []) for candidate in fitting])
            if not fitting:
                for candidate in usable:
                    if candidate.releasing_cpus > 0 and candidate.fits_after_release(request):
                        return Offer(candidate, [])
            large_enough = [
                candidate
                for candidate in usable
                if request.cpus <= candidate.free_cpus + candidate.releasing_cpus + candidate.borrowed_cpus + EPSILON
            ]
            return self.low_priority_placer.choose_offer(
                request, self.high_priority_placer.rank_offers(request, large_enough)
            )
        best = self._top_ranked(ranking, failed_on)
        if best:
            return Offer(best[0], [])
        if request.uses_guarantee:
            for candidate in usable:
                if candidate.releasing_cpus > 0 and candidate.fits_after_release(request):
                    return Offer(candidate, [])
        return self.low_priority_placer.preempt(request, usable)

    def _top_ranked(self, ranking: Ranking, failed_on: str) -> list[Candidate]:
        """Return the first N of a ranking, without the machine on which the task last failed unless it is the only one.

        ``failed_on`` is the task's note after a failure, which ends in the id of that machine; empty without a failure.
        """
        top: list[Candidate] = []
        for candidate in ranking:
            if not failed_on or not failed_on.endswith(candidate.machine_id):
                top.append(candidate)
                if len(top) >= self.high_priority_placer.max_offers:
                    break
        return top or list(ranking)[:1]
