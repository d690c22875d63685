"""Fleet size: which idle or little-used machines to give up, and how many expensive cores may be rented."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.workload import JobGroup, SpotWork
from gladecroft.coordination.fleet.packing import Bin
from gladecroft.protocol.wire import JobKind, JobSpec

#: So many idle machines plus this fraction of the fleet are kept for the idle time that the operators set; any above
#: that number are kept only for the minimum idle time.
SPARE_IDLE_MACHINES = 5
SPARE_IDLE_FRACTION = 0.02
MIN_IDLE_TIME = timedelta(seconds=4)


class IdleMachine(msgspec.Struct, frozen=True):
    """An empty machine, its price per hour, how long it has been idle, and the cores that new tasks may use there."""

    price: float
    name: str
    idle_for: timedelta
    cpus: float


def select_idle_to_return(
    idle: Iterable[IdleMachine], machine_count: int, free_cpus: float, reserve_cpus: float, min_idle: timedelta
) -> list[str]:
    """The idle machines to return, the most expensive first, such that the reserve stays free.

    ``free_cpus`` and ``reserve_cpus`` are totals of the fleet. A few idle machines are kept for a while because they
    may soon be needed again. If there are many, the excess is returned almost at once: the needs of a large fleet vary
    less, in proportion, than those of a small one.
    """
    candidates = sorted(idle, key=lambda machine: (-machine.price, machine.name))
    spare_machines = SPARE_IDLE_MACHINES + int(SPARE_IDLE_FRACTION * machine_count)
    idle_count = len(candidates)
    has_excess = idle_count > spare_machines
    chosen: list[str] = []
    for machine in candidates:
        if machine.idle_for < min_idle and not (has_excess and machine.idle_for >= MIN_IDLE_TIME):
            continue
        if free_cpus - machine.cpus < reserve_cpus:
            continue
        free_cpus -= machine.cpus
        idle_count -= 1
        has_excess = idle_count > spare_machines
        chosen.append(machine.name)
    return chosen


def fits_elsewhere(
    zone: str,
    placed_jobs: Sequence[Job],
    bins: Sequence[Bin],
    reserve_cpus: float,
    allowed: Callable[[JobSpec, str, str, bool], bool],
    zone_usage: Callable[[Job], tuple[dict[str, int], int]],
) -> bool:
    """Whether a machine's work fits into the bins of the other machines and leaves the reserve for new work free.

    Places the machine's services in the bins.
    """
    services = [job for job in placed_jobs if job.spec.kind is JobKind.SERVICE]
    moved_cpus = sum(job.spec.cpus for job in placed_jobs)
    if sum(max(0.0, bin.cpus) for bin in bins) - moved_cpus < 2 * reserve_cpus:
        return False
    if services and sum(max(0.0, bin.cpus) for bin in bins if not bin.pool[2]) - moved_cpus < reserve_cpus:
        return False
    for job in services:
        zones, zone_cap = zone_usage(job)
        zones[zone] = zones.get(zone, 0) - 1
        for bin in bins:
            if allowed(job.spec, *bin.pool) and bin.capacity_for(job) > 0 and zones.get(bin.pool[1], 0) < zone_cap:
                bin.place(job, 1)
                break
        else:
            return False
    return True


def expensive_cpu_budget(
    work: Mapping[JobGroup, SpotWork],
    bins: Iterable[Bin],
    cpus_by_type: Mapping[str, float],
    service_cpus: Callable[[str], float],
    remaining_limit: Callable[[str], float],
    target_wait: Callable[[str], float],
    wait_fraction: float,
) -> float:
    """How many cores may be rented on expensive machines for work that cheap ones could do.

    These are the cores that are missing to complete the present work within the time that the objectives allow, not
    those needed to start all of it at once: by the time that a machine is up, much of the running work has ended.
    ``remaining_limit``: how many more cores a team's limit allows. ``wait_fraction``: the fraction of a class's
    ``target_wait`` within which its queued work should complete.
    """
    queued_by_team: dict[str, float] = {}
    for (team, _), group_work in work.items():
        queued_by_team[team] = queued_by_team.get(team, 0.0) + group_work.queued_cpus
    needed = 0.0
    for (team, job_class), group_work in work.items():
        runnable_fraction = (
            min(1.0, max(0.0, remaining_limit(team)) / queued_by_team[team]) if queued_by_team[team] > 0 else 1.0
        )
        needed += (group_work.queued_cpu_s * runnable_fraction + group_work.running_cpu_s / 2) / (
            wait_fraction * target_wait(job_class)
        )
    available_cpus = 0.0
    for bin in bins:
        available_cpus += cpus_by_type[bin.pool[0]] - (service_cpus(bin.machine) if bin.machine else 0.0)
    return needed - available_cpus
