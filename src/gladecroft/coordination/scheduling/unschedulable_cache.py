"""Caches, for one scheduling round, which requests found no capacity, so that similar ones are not tried again."""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import EPSILON, Candidate, TaskRequest
from gladecroft.coordination.scheduling.selection import task_request

#: Identifies which machines a job may use, and whether it may use only free capacity there or also preempt tasks. Jobs
#: with equal keys compete for the same capacity.
ConstraintKey = tuple[object, ...]


class UnschedulableCache:
    """Requests that found no capacity in the current round; they may find some in the next.

    Capacity only shrinks during a round, so a request no smaller than one that found none finds none either.
    """

    def __init__(self, candidate_cache: CandidateCache, max_high_priority_rank: int) -> None:
        self.candidate_cache = candidate_cache
        self._max_high_priority_rank = max_high_priority_rank
        #: Cores, GPUs and GB of memory of requests that found no capacity.
        self._unschedulable: dict[ConstraintKey, list[tuple[float, float, float]]] = {}
        #: Why a policy rejected machines for a request that found no capacity.
        self._policy_rejections: dict[ConstraintKey, str] = {}
        #: Machines with releasing capacity (of stopping tasks) or borrowed capacity (of tasks outside their guarantee).
        self._preemptible: dict[ConstraintKey, list[Candidate]] = {}

    def clear(self) -> None:
        """Clear the cache for a new round."""
        self._unschedulable.clear()
        self._policy_rejections.clear()
        self._preemptible.clear()

    def is_unschedulable(self, key: ConstraintKey, request: TaskRequest) -> bool:
        """Whether a request that is no larger in any resource has found no capacity."""
        return any(
            request.cpus >= cpus and request.gpus >= gpus and request.memory_gb >= memory
            for cpus, gpus, memory in self._unschedulable.get(key, ())
        )

    def mark_unschedulable(self, key: ConstraintKey, request: TaskRequest) -> None:
        """Record that a request found no capacity."""
        self._unschedulable.setdefault(key, []).append((request.cpus, request.gpus, request.memory_gb))

    def record_policy_rejection(self, constraints: ConstraintKey, job: Job) -> None:
        """If a policy has rejected machines for the job, keep the reason for jobs with the same constraints."""
        if job.id in self.candidate_cache.policy_rejections:
            self._policy_rejections[constraints] = self.candidate_cache.policy_rejections[job.id]

    def copy_policy_rejection(self, constraints: ConstraintKey, job: Job) -> None:
        """Give the job the reason recorded for its constraints, unless it has one of its own."""
        if constraints in self._policy_rejections:
            self.candidate_cache.policy_rejections.setdefault(job.id, self._policy_rejections[constraints])

    def preemption_candidates(
        self,
        constraints: ConstraintKey,
        preemption_key: ConstraintKey,
        job: Job,
        request: TaskRequest,
        full_zones: list[str],
    ) -> list[Candidate]:
        """Return the machines that may have capacity once tasks stop, for a request that fits into no free capacity.

        Only cores and the right to evict are checked. ``preemption_key`` extends ``constraints`` by the properties that
        decide which tasks a request may evict. Under a large backlog most requests find no such machine, so machines
        with releasing or borrowed cores are collected once per round.
        """
        if (
            request.rank > self._max_high_priority_rank
            and not request.uses_guarantee
            or self.is_unschedulable(preemption_key, request)
        ):
            return []
        preemptible = self._preemptible.get(constraints)
        if preemptible is None:
            preemptible = self._preemptible[constraints] = [
                candidate
                for candidate in self.candidate_cache.usable(job, full_zones)
                if candidate.releasing_cpus > 0 or candidate.borrowed_cpus > 0
            ]
        candidates = [
            candidate
            for candidate in preemptible
            if request.cpus <= candidate.free_cpus + candidate.releasing_cpus + candidate.borrowed_cpus + EPSILON
            and (
                candidate.releasing_cpus > 0
                or not request.non_preempting
                and (request.uses_guarantee or candidate.max_borrowed_rank > request.rank)
            )
        ]
        if not candidates:
            self.mark_unschedulable(preemption_key, request)
        return candidates

    def reserve_machine(self, job: Job, smallest_cpus: float) -> None:
        """Reserve a machine for a job that comes before others but has found no capacity.

        Otherwise smaller tasks would take all capacity that becomes free, and a task as large as a machine would never
        start. Of the machines that are large enough, the one with the most free and releasing cores is reserved. As
        nothing is placed on it, the same one is chosen in the next round, and by every home controller (which places
        the tasks of its teams). ``smallest_cpus`` is the number of cores of the smallest pending task.
        """
        request = task_request(job, False, "")
        if request.cpus <= smallest_cpus:
            return  # no smaller task competes for the capacity
        large_enough = [
            candidate
            for candidate in self.candidate_cache.usable(job)
            if request.cpus <= candidate.cpus + EPSILON
            and request.gpus <= candidate.gpus + EPSILON
            and request.memory_gb <= candidate.memory_gb + EPSILON
        ]
        if large_enough:
            best = max(
                large_enough,
                key=lambda candidate: (candidate.free_cpus + candidate.releasing_cpus, candidate.machine_id),
            )
            self.candidate_cache.invalidate(best)
            best.free_cpus = best.free_gpus = best.free_memory_gb = 0.0
            best.releasing_cpus = best.releasing_gpus = best.releasing_memory_gb = 0.0
