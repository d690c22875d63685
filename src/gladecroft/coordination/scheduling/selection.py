"""The choice of a machine for one task: by zones, then by what the two placers make of the slots."""

from __future__ import annotations

from collections.abc import Container

from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord
from gladecroft.coordination.scheduling.placement import (
    TINY,
    Candidate,
    HighPriorityPlacer,
    LowPriorityPlacer,
    Offer,
    Ranking,
    TaskRequest,
)

#: Stands for the zone of a machine that is not known.
UNKNOWN = "?"


def need_of(
    job: Job, inside: bool, home: str, gentle: bool = False, spared: Container[tuple[str, str]] = ()
) -> TaskRequest:
    spec = job.spec
    return TaskRequest(
        spec.cpus, spec.gpus, spec.memory_gb, spec.image, job.priority_rank, spec.team, inside, home, gentle, spared
    )


def zone_room(cluster_state: ClusterState, job: Job) -> tuple[dict[str, int], int]:
    """How many of the job's tasks are in each zone, and how many may be.

    A task on a machine that this controller does not know (any more, or yet) may be in any zone. Counted in none,
    it let more than half of a service into one zone after all controllers had been started again.
    """
    zones = zones_used(cluster_state, job)
    return zones, job.spec.max_tasks_per_zone() - zones.pop(UNKNOWN, 0)


def zones_used(cluster_state: ClusterState, job: Job) -> dict[str, int]:
    zones: dict[str, int] = {}
    for _, task in job.placed_tasks():
        machine = cluster_state.machines.get(task.machine)
        if task.machine:
            zone = machine.zone if machine is not None else UNKNOWN
            zones[zone] = zones.get(zone, 0) + 1
    return zones


def one_zone(slots: list[Candidate], zones: dict[str, int]) -> list[Candidate]:
    """All tasks go to one zone: where some are already, else where most fit."""
    if zones:
        zone = next(iter(zones))
        return [slot for slot in slots if slot.zone == zone]
    room: dict[str, float] = {}
    for slot in slots:
        room[slot.zone] = room.get(slot.zone, 0.0) + max(0.0, slot.free_cpus)
    if not room:
        return []
    best = max(sorted(room), key=lambda zone: room[zone])
    return [slot for slot in slots if slot.zone == best]


def claim(slot: Candidate, need: TaskRequest) -> None:
    """Set room that is being freed aside, so that it is not counted on twice in this round."""
    slot.coming_cpus -= max(0.0, need.cpus - max(0.0, slot.free_cpus))
    slot.coming_gpus -= max(0.0, need.gpus - max(0.0, slot.free_gpus))
    slot.coming_memory -= max(0.0, need.memory_gb - max(0.0, slot.free_memory))
    slot.free_cpus = max(0.0, slot.free_cpus - need.cpus)
    slot.free_gpus = max(0.0, slot.free_gpus - need.gpus)
    slot.free_memory = max(0.0, slot.free_memory - need.memory_gb)


class MachineSelector:
    """The two placers, and how they come to one offer. ``line``: the lowest priority of the high side."""

    def __init__(self, high: HighPriorityPlacer, low: LowPriorityPlacer, line: int) -> None:
        self.high = high
        self.low = low
        self._line = line

    def choose(
        self, need: TaskRequest, ranking: Ranking, usable: list[Candidate], before: TaskRecord | None = None
    ) -> Offer | None:
        """The two placers' choice for one task: where it fits, else where room comes up or can be made."""
        shunned = before.note if before is not None and before.failures else ""
        if need.rank <= self._line:
            fitting = self._top(ranking, shunned)
            if fitting and self.high.avoid_evictions:
                return self.low.choose(need, [Offer(slot, []) for slot in fitting])
            if not fitting:
                for slot in usable:
                    if slot.coming_cpus > 0 and slot.will_fit(need):
                        return Offer(slot, [])
            enough = [
                slot for slot in usable if need.cpus <= slot.free_cpus + slot.coming_cpus + slot.borrowed_cpus + TINY
            ]
            return self.low.choose(need, self.high.offers(need, enough))
        best = self._top(ranking, shunned)
        if best:
            return Offer(best[0], [])
        if need.guaranteed:
            for slot in usable:
                if slot.coming_cpus > 0 and slot.will_fit(need):
                    return Offer(slot, [])
        return self.low.push(need, usable)

    def _top(self, ranking: Ranking, shunned: str) -> list[Candidate]:
        """The first N of a ranking; a machine on which the task has just failed only if there is no other."""
        top: list[Candidate] = []
        for slot in ranking:
            if not shunned or not shunned.endswith(slot.machine):
                top.append(slot)
                if len(top) >= self.high.top:
                    break
        return top or list(ranking)[:1]
