"""Finds the queued jobs that fit into the free capacity.

The oracle reports a violation if the scheduler leaves such a job queued for too long.
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
        """Return whether a task of the job is allowed on the machine and fits into its free capacity."""
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
    """Return the accepted jobs with a queued task that fits on a machine and within the limit of its team.

    All queued tasks of a gang have to fit at once. Jobs whose tasks fail on every machine are left out. Machines that
    are down, hang, fail their tasks or are being reclaimed count as having no capacity.
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
    for job_id, _ in zones_by_task:
        used_cpus[jobs[job_id]["owner"]] = used_cpus.get(jobs[job_id]["owner"], 0.0) + jobs[job_id]["cores"]
    return {
        job_id
        for job_id in oracle.accepted_at
        if job_id in jobs
        and not jobs[job_id]["broken"]
        and _is_placeable(
            job_id, jobs[job_id], zones_by_task, capacities, oracle, used_cpus.get(jobs[job_id]["owner"], 0.0)
        )
    }


def _is_placeable(
    job_id: str,
    spec: Json,
    zones_by_task: Mapping[tuple[str, int], str],
    capacities: list[FreeCapacity],
    oracle: Oracle,
    used_cpus: float,
) -> bool:
    """Return whether a queued task of the job, or all queued tasks of a gang, can be placed now."""
    done = oracle.completed_tasks.get(job_id, set())
    queued = [
        number for number in range(spec["portions"]) if number not in done and (job_id, number) not in zones_by_task
    ]
    count = len(queued) if spec["shape"] == "group" else 1
    if not queued or used_cpus + count * spec["cores"] > oracle.team_limits[spec["owner"]] + 1e-6:
        return False
    zones = [zone for (other_id, _), zone in zones_by_task.items() if other_id == job_id]
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
