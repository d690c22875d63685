"""Fleet size: which idle or underused machines to return to the cloud, and how many expensive cores may be rented."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.workload import JobGroup, SpotWork
from gladecroft.coordination.fleet.packing import Bin
from gladecroft.protocol.wire import JobKind, JobSpec

#: This number of idle machines plus this fraction of the fleet are kept for the idle time that the operators set. Idle
#: machines beyond this number are kept only for ``MIN_IDLE_TIME``.
SPARE_IDLE_MACHINES = 5
SPARE_IDLE_FRACTION = 0.02
MIN_IDLE_TIME = timedelta(seconds=4)


class IdleMachine(msgspec.Struct, frozen=True):
    """An empty machine, its price per hour, how long it has been idle, and the cores that new tasks may use on it."""

    hourly_price: float
    machine_id: str
    idle_for: timedelta
    usable_cpus: float


def select_idle_to_return(
    idle: Iterable[IdleMachine], machine_count: int, free_cpus: float, reserve_cpus: float, min_idle: timedelta
) -> list[str]:
    """Return the ids of the idle machines to return to the cloud, the most expensive first, keeping the reserve free.

    ``free_cpus`` and ``reserve_cpus`` are totals of the fleet. A few idle machines are kept for ``min_idle`` because
    they may soon be needed again. Excess machines are returned after ``MIN_IDLE_TIME``: the load of a large fleet
    varies less, in proportion, than that of a small fleet.
    """
    candidates = sorted(idle, key=lambda machine: (-machine.hourly_price, machine.machine_id))
    spare_machines = SPARE_IDLE_MACHINES + int(SPARE_IDLE_FRACTION * machine_count)
    idle_count = len(candidates)
    has_excess = idle_count > spare_machines
    chosen: list[str] = []
    for machine in candidates:
        if machine.idle_for < min_idle and not (has_excess and machine.idle_for >= MIN_IDLE_TIME):
            continue
        if free_cpus - machine.usable_cpus < reserve_cpus:
            continue
        free_cpus -= machine.usable_cpus
        idle_count -= 1
        has_excess = idle_count > spare_machines
        chosen.append(machine.machine_id)
    return chosen


def fits_elsewhere(
    zone: str,
    placed_jobs: Sequence[Job],
    bins: Sequence[Bin],
    reserve_cpus: float,
    allowed: Callable[[JobSpec, str, str, bool], bool],
    zone_usage: Callable[[Job], tuple[dict[str, int], int]],
) -> bool:
    """Return whether a machine's tasks fit into the bins of other machines and leave the reserve for new tasks free.

    ``placed_jobs`` has the job of each task on the machine, ``zone`` is the machine's zone. The services among these
    tasks are placed in the bins, which are modified. For the tasks together, only the total of free cores is checked:
    twice the reserve must be left, and if there are services, the whole reserve on machines that are not spot machines.
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
    spot_work: Mapping[JobGroup, SpotWork],
    bins: Iterable[Bin],
    cpus_by_type: Mapping[str, float],
    service_cpus: Callable[[str], float],
    remaining_limit: Callable[[str], float],
    target_wait: Callable[[str], float],
    wait_fraction: float,
) -> float:
    """Return how many cores may be rented on expensive machines for tasks that could also run on cheap machines.

    These are the cores that are missing to complete the current tasks within the time that the objectives allow, not
    those needed to start all of them immediately: by the time a rented machine is up, many running tasks have ended.
    ``remaining_limit`` returns how many more cores a team's limit allows. ``wait_fraction`` is the fraction of the
    ``target_wait`` of a class within which its queued tasks should complete.
    """
    queued_by_team: dict[str, float] = {}
    for (team, _), group_work in spot_work.items():
        queued_by_team[team] = queued_by_team.get(team, 0.0) + group_work.queued_cpus
    needed_cpus = 0.0
    for (team, job_class), group_work in spot_work.items():
        runnable_fraction = (
            min(1.0, max(0.0, remaining_limit(team)) / queued_by_team[team]) if queued_by_team[team] > 0 else 1.0
        )
        needed_cpus += (group_work.queued_cpu_s * runnable_fraction + group_work.running_cpu_s / 2) / (
            wait_fraction * target_wait(job_class)
        )
    available_cpus = 0.0
    for bin in bins:
        available_cpus += cpus_by_type[bin.pool[0]] - (service_cpus(bin.machine_id) if bin.machine_id else 0.0)
    return needed_cpus - available_cpus
