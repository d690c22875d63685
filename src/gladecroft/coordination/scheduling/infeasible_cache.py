"""What a round has found to be lacking, so that nobody looks for it again in the same round."""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import TINY, Candidate, TaskRequest
from gladecroft.coordination.scheduling.selection import need_of

#: What kind of room is looked for: the machines that a job allows, and in which way they may be used.
Where = tuple[object, ...]


class InfeasibleCache:
    """Room only dwindles in a round: what was lacking for one need is lacking for all that are no smaller."""

    def __init__(self, candidate_cache: CandidateCache, line: int) -> None:
        self.candidate_cache = candidate_cache
        self._line = line
        #: Needs for which no room was found, by what kind of room they looked for.
        self._lacking: dict[Where, list[tuple[float, float, float]]] = {}
        #: What a policy refused when no room was found.
        self._why: dict[Where, str] = {}
        #: Machines on which something comes up or is held by work outside its guarantee, by what kind of room it is.
        self._pushable: dict[Where, list[Candidate]] = {}

    def clear(self) -> None:
        self._lacking.clear()
        self._why.clear()
        self._pushable.clear()

    def of(self, where: Where, need: TaskRequest) -> bool:
        """Whether no room was found for a need that is no bigger."""
        return any(
            need.cpus >= cpus and need.gpus >= gpus and need.memory_gb >= memory
            for cpus, gpus, memory in self._lacking.get(where, ())
        )

    def note(self, where: Where, need: TaskRequest) -> None:
        self._lacking.setdefault(where, []).append((need.cpus, need.gpus, need.memory_gb))

    def note_why(self, where: Where, job: Job) -> None:
        """If a policy has refused machines to the job, keep what it said for others that look for the same."""
        if job.id in self.candidate_cache.refusals:
            self._why[where] = self.candidate_cache.refusals[job.id]

    def tell_why(self, where: Where, job: Job) -> None:
        if where in self._why:
            self.candidate_cache.refusals.setdefault(job.id, self._why[where])

    def to_push(self, where: Where, push: Where, job: Job, need: TaskRequest, closed: list[str]) -> list[Candidate]:
        """The machines on which room for a need comes up or may be made, where none is free. In a flood most needs find
        none, one team after the other: so the machines that come into question are picked out once a round."""
        if need.rank > self._line and not need.guaranteed or self.of(push, need):
            return []
        known = self._pushable.get(where)
        if known is None:
            known = self._pushable[where] = [
                slot
                for slot in self.candidate_cache.usable(job, closed)
                if slot.coming_cpus > 0 or slot.borrowed_cpus > 0
            ]
        slots = [
            slot
            for slot in known
            if need.cpus <= slot.free_cpus + slot.coming_cpus + slot.borrowed_cpus + TINY
            and (slot.coming_cpus > 0 or not need.gentle and (need.guaranteed or slot.weakest > need.rank))
        ]
        if not slots:
            self.note(push, need)
        return slots

    def set_aside(self, job: Job, smallest: float) -> None:
        """Keep the emptiest machine that could hold a task of a job that comes first and fits nowhere.

        Else smaller tasks (``smallest``: cores of the smallest that waits) would take each bit of room that comes up,
        and one as big as a machine would never start. What nobody takes from grows emptier with each round, so it stays
        the same machine; all homes set the same one aside.
        """
        need = need_of(job, False, "")
        if need.cpus <= smallest:
            return  # nobody smaller could take the room from under it
        large = [
            slot
            for slot in self.candidate_cache.usable(job)
            if need.cpus <= slot.cpus + TINY
            and need.gpus <= slot.gpus + TINY
            and need.memory_gb <= slot.memory_gb + TINY
        ]
        if large:
            best = max(large, key=lambda slot: (slot.free_cpus + slot.coming_cpus, slot.machine))
            self.candidate_cache.plan_on(best)
            best.free_cpus = best.free_gpus = best.free_memory = 0.0
            best.coming_cpus = best.coming_gpus = best.coming_memory = 0.0
