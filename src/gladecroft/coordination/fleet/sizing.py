"""Which machines the fleet can do without: idle ones, and little-used ones whose work fits elsewhere."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.workload import JobGroup, SpotWork
from gladecroft.coordination.fleet.packing import Bin
from gladecroft.protocol.wire import JobKind, JobSpec

#: So many idle machines, and this share of the fleet, are kept for as long as the operators say; more of them only for
#: a moment.
IDLE_FEW = 5
IDLE_SHARE = 0.02
IDLE_AT_LEAST = timedelta(seconds=4)


class IdleMachine(msgspec.Struct, frozen=True):
    """A machine on which there is nothing, and for how long. ``price`` is its own, by the hour."""

    price: float
    name: str
    span: timedelta
    cpus: float


def to_give_back(
    idle: Iterable[IdleMachine], machines: int, free: float, reserve: float, idle_for: timedelta
) -> list[str]:
    """The idle machines to return, the dearest first; ``free`` and ``reserve`` are cores of the whole fleet.

    One machine may soon be wanted again. Of many, all but a few go at once: what a large fleet needs next moves less
    than what a small one does.
    """
    ordered = sorted(idle, key=lambda each: (-each.price, each.name))
    spare = IDLE_FEW + int(IDLE_SHARE * machines)
    left = len(ordered)
    many = left > spare
    chosen: list[str] = []
    for each in ordered:
        if each.span < idle_for and not (many and each.span >= IDLE_AT_LEAST):
            continue
        if free - each.cpus < reserve:
            continue
        free -= each.cpus
        left -= 1
        many = left > spare
        chosen.append(each.name)
    return chosen


def fits_elsewhere(
    zone: str,
    residents: Sequence[Job],
    bins: Sequence[Bin],
    reserve: float,
    allowed: Callable[[JobSpec, str, str, bool], bool],
    zone_room: Callable[[Job], tuple[dict[str, int], int]],
) -> bool:
    """Whether a machine's work fits into the other machines' bins, which it fills, with room for what comes."""
    services = [job for job in residents if job.spec.kind is JobKind.SERVICE]
    held = sum(job.spec.cpus for job in residents)
    if sum(max(0.0, bin.cpus) for bin in bins) - held < 2 * reserve:
        return False
    if services and sum(max(0.0, bin.cpus) for bin in bins if not bin.sort[2]) - held < reserve:
        return False
    for job in services:
        zones, cap = zone_room(job)
        zones[zone] = zones.get(zone, 0) - 1
        for bin in bins:
            if allowed(job.spec, *bin.sort) and bin.holds(job) > 0 and zones.get(bin.sort[1], 0) < cap:
                bin.take(job, 1)
                break
        else:
            return False
    return True


def dear_room(
    work: Mapping[JobGroup, SpotWork],
    bins: Iterable[Bin],
    cpus_of: Mapping[str, float],
    held_by_services: Callable[[str], float],
    runnable: Callable[[str], float],
    patience: Callable[[str], float],
    share: float,
) -> float:
    """How many cores may be rented dear for work that cheap machines could do.

    That is what is missing to get through the work at hand within the time the aims allow, not what it would take to
    start everything at once: by the time a machine is up, much of the running work is over. ``runnable``: how many
    more cores a team's limit allows; ``share``: the part of a class's patience within which its waiting work should be
    through.
    """
    asked: dict[str, float] = {}
    for (team, _), each in work.items():
        asked[team] = asked.get(team, 0.0) + each.queued_cpus
    needed = 0.0
    for (team, job_class), each in work.items():
        may_run = min(1.0, max(0.0, runnable(team)) / asked[team]) if asked[team] > 0 else 1.0
        needed += (each.queued_cpu_s * may_run + each.running_cpu_s / 2) / (share * patience(job_class))
    room = 0.0
    for bin in bins:
        room += cpus_of[bin.sort[0]] - (held_by_services(bin.machine) if bin.machine else 0.0)
    return needed - room
