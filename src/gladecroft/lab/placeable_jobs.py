"""Finds the pending jobs that fit into the free capacity.

The oracle reports a violation if the scheduler leaves such a job pending for too long.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from gladecroft.lab.oracle import Oracle
from gladecroft.lab.worker import SimulatedWorker

Json = dict[str, Any]


class FreeCapacity(msgspec.Struct):
    """The free capacity of a machine."""

    worker: SimulatedWorker
    free_cpus: float
    free_memory_gb: float

    def fits(self, spec: Json) -> bool:
        """Return whether a task of this job may run on the machine and fits."""
        machine_types, zone = spec["flavors"], spec["district"]
        return (
            self.free_cpus >= spec["cores"] - 1e-9
            and self.free_memory_gb >= spec["memoryGb"] - 1e-9
            and (machine_types is None or self.worker.machine_type.name in machine_types)
            and (zone is None or self.worker.zone == zone)
            and (spec["leftovers"] or not self.worker.spot)
        )


def is_usable(worker: SimulatedWorker) -> bool:
    """Return whether a machine is healthy and has no reclaim notice."""
    return worker.up and not worker.hung and not worker.faulty and worker.reclaim_at is None


def find_placeable_jobs(workers: Iterable[SimulatedWorker], jobs: Mapping[str, Json], oracle: Oracle) -> set[str]:
    """Return the accepted jobs with a pending task that fits on a machine and within the limit of its team.

    All pending tasks of a gang have to fit at once. Jobs whose tasks fail on every machine are left out, and so
    are machines that are down, hang, fail their tasks or are being reclaimed.
    """
    zones_by_task: dict[tuple[str, int], str] = {}
    capacities: list[FreeCapacity] = []
    for worker in workers:
        present = {key: task for key, task in worker.tasks.items() if task.state != "exited"}
        for key in worker.tasks:
            zones_by_task[key] = worker.zone
        if is_usable(worker):
            specs = [jobs[key[0]] for key in present]
            capacities.append(
                FreeCapacity(
                    worker,
                    worker.machine_type.cpus - sum(spec["cores"] for spec in specs),
                    worker.machine_type.memory - sum(spec["memoryGb"] for spec in specs),
                )
            )
    used_cpus: dict[str, float] = {}
    for job, _ in zones_by_task:
        used_cpus[jobs[job]["owner"]] = used_cpus.get(jobs[job]["owner"], 0.0) + jobs[job]["cores"]
    return {
        job
        for job in oracle.accepted_at
        if job in jobs
        and not jobs[job]["broken"]
        and _is_placeable(job, jobs[job], zones_by_task, capacities, oracle, used_cpus.get(jobs[job]["owner"], 0.0))
    }


def _is_placeable(
    job: str,
    spec: Json,
    zones_by_task: Mapping[tuple[str, int], str],
    capacities: list[FreeCapacity],
    oracle: Oracle,
    used_cpus: float,
) -> bool:
    """Return whether a pending task of the job, or all pending tasks of a gang, can be placed now."""
    done = oracle.completed_tasks.get(job, set())
    pending = [
        number for number in range(spec["portions"]) if number not in done and (job, number) not in zones_by_task
    ]
    count = len(pending) if spec["shape"] == "group" else 1
    if not pending or used_cpus + count * spec["cores"] > oracle.limits[spec["owner"]] + 1e-6:
        return False
    zones = [zone for (name, _), zone in zones_by_task.items() if name == job]
    zone_limit = (spec["portions"] + 1) // 2
    for required_zone in sorted({capacity.worker.zone for capacity in capacities}) if spec["oneZone"] else [None]:
        if required_zone is not None and zones and required_zone not in zones:
            continue
        tasks_by_zone: dict[str, int] = {}
        for capacity in capacities:
            zone = capacity.worker.zone
            if (required_zone is None or zone == required_zone) and capacity.fits(spec):
                fitting = min(
                    capacity.free_cpus // max(spec["cores"], 1e-9),
                    capacity.free_memory_gb // max(spec["memoryGb"], 1e-9),
                )
                tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + int(min(fitting, count))
        if spec["apart"]:
            tasks_by_zone = {
                zone: min(task_count, zone_limit - zones.count(zone)) for zone, task_count in tasks_by_zone.items()
            }
        if sum(max(0, task_count) for task_count in tasks_by_zone.values()) >= count:
            return True
    return False
