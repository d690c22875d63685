"""Caches, for one scheduling round, which requests fit no machine, so that similar ones are not tried again."""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import EPSILON, Candidate, TaskRequest
from gladecroft.coordination.scheduling.selection import task_request

#: Identifies the machines that a job may use and how it may use them; equal keys compete for the same capacity.
ConstraintKey = tuple[object, ...]


class InfeasibleCache:
    """Requests that fit no machine in the current round.

    Capacity only shrinks during a round, so whatever is no smaller than an infeasible request is infeasible too.
    """

    def __init__(self, candidate_cache: CandidateCache, priority_line: int) -> None:
        self.candidate_cache = candidate_cache
        self._priority_line = priority_line
        #: Cores, GPUs and memory of infeasible requests.
        self._infeasible: dict[ConstraintKey, list[tuple[float, float, float]]] = {}
        #: Why a policy refused machines to a request that fitted nowhere.
        self._refusals: dict[ConstraintKey, str] = {}
        #: Machines with releasing or borrowed capacity.
        self._preemptible: dict[ConstraintKey, list[Candidate]] = {}

    def clear(self) -> None:
        """Forget everything, for a new round."""
        self._infeasible.clear()
        self._refusals.clear()
        self._preemptible.clear()

    def is_infeasible(self, constraints: ConstraintKey, request: TaskRequest) -> bool:
        """Whether a request that is no larger has fitted nowhere."""
        return any(
            request.cpus >= cpus and request.gpus >= gpus and request.memory_gb >= memory
            for cpus, gpus, memory in self._infeasible.get(constraints, ())
        )

    def mark_infeasible(self, constraints: ConstraintKey, request: TaskRequest) -> None:
        """Record that a request fits nowhere."""
        self._infeasible.setdefault(constraints, []).append((request.cpus, request.gpus, request.memory_gb))

    def record_refusal(self, constraints: ConstraintKey, job: Job) -> None:
        """If a policy has refused machines to the job, keep the reason for jobs with the same constraints."""
        if job.id in self.candidate_cache.refusals:
            self._refusals[constraints] = self.candidate_cache.refusals[job.id]

    def copy_refusal(self, constraints: ConstraintKey, job: Job) -> None:
        """Give the job the reason recorded for its constraints, unless it has one of its own."""
        if constraints in self._refusals:
            self.candidate_cache.refusals.setdefault(job.id, self._refusals[constraints])

    def preemption_candidates(
        self,
        constraints: ConstraintKey,
        preemption_key: ConstraintKey,
        job: Job,
        request: TaskRequest,
        full_zones: list[str],
    ) -> list[Candidate]:
        """Return the machines whose releasing or borrowed capacity may hold a request that no free capacity holds.

        Under a large backlog most requests of every team find none, so the machines with such capacity are filtered
        once per round.
        """
        if request.rank > self._priority_line and not request.guaranteed or self.is_infeasible(preemption_key, request):
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
                and (request.guaranteed or candidate.max_borrowed_rank > request.rank)
            )
        ]
        if not candidates:
            self.mark_infeasible(preemption_key, request)
        return candidates

    def reserve_machine(self, job: Job, smallest_cpus: float) -> None:
        """Reserve the emptiest machine that could hold a task of a job that comes first but fits nowhere.

        Otherwise smaller tasks would take all capacity that becomes free, and a task as large as a machine would never
        start. A reserved machine only gets emptier, so the same one is chosen in the next round, and by every home
        controller. ``smallest_cpus`` is the number of cores of the smallest pending task.
        """
        request = task_request(job, False, "")
        if request.cpus <= smallest_cpus:
            return  # no smaller task competes for the capacity
        large = [
            candidate
            for candidate in self.candidate_cache.usable(job)
            if request.cpus <= candidate.cpus + EPSILON
            and request.gpus <= candidate.gpus + EPSILON
            and request.memory_gb <= candidate.memory_gb + EPSILON
        ]
        if large:
            best = max(large, key=lambda candidate: (candidate.free_cpus + candidate.releasing_cpus, candidate.machine))
            self.candidate_cache.mark_planned(best)
            best.free_cpus = best.free_gpus = best.free_memory_gb = 0.0
            best.releasing_cpus = best.releasing_gpus = best.releasing_memory_gb = 0.0
