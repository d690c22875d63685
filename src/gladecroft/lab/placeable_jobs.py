"""Which waiting jobs a machine has room for: what the oracle holds against a scheduler that leaves them waiting."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from gladecroft.lab.oracle import Oracle
from gladecroft.lab.worker import Worker

Json = dict[str, Any]


class Free(msgspec.Struct):
    """What is free on a machine."""

    worker: Worker
    cpus: float
    memory: float

    def takes(self, spec: Json) -> bool:
        flavors, zone = spec["flavors"], spec["district"]
        return (
            self.cpus >= spec["cores"] - 1e-9
            and self.memory >= spec["memoryGb"] - 1e-9
            and (flavors is None or self.worker.kind.name in flavors)
            and (zone is None or self.worker.zone == zone)
            and (spec["leftovers"] or not self.worker.spot)
        )


def usable(worker: Worker) -> bool:
    return worker.up and not worker.hung and not worker.sick and worker.notice is None


def waiting_with_room(workers: Iterable[Worker], jobs: Mapping[str, Json], oracle: Oracle) -> set[str]:
    """The accepted jobs of which a task is neither done nor on any machine, though one that fits has room for it (for
    a gang: some have room for all of them) and the team is under its limit.

    Jobs that fail wherever they start are left out, and so are machines that fail what they start, hang or go.
    """
    held: dict[tuple[str, int], str] = {}
    free: list[Free] = []
    for worker in workers:
        here = {key: task for key, task in worker.tasks.items() if task.state != "exited"}
        for key in worker.tasks:
            held[key] = worker.zone
        if usable(worker):
            specs = [jobs[key[0]] for key in here]
            free.append(
                Free(
                    worker,
                    worker.kind.cpus - sum(spec["cores"] for spec in specs),
                    worker.kind.memory - sum(spec["memoryGb"] for spec in specs),
                )
            )
    used: dict[str, float] = {}
    for job, _ in held:
        used[jobs[job]["owner"]] = used.get(jobs[job]["owner"], 0.0) + jobs[job]["cores"]
    return {
        job
        for job in oracle.accepted
        if job in jobs
        and not jobs[job]["broken"]
        and _fits(job, jobs[job], held, free, oracle, used.get(jobs[job]["owner"], 0.0))
    }


def _fits(
    job: str, spec: Json, held: Mapping[tuple[str, int], str], free: list[Free], oracle: Oracle, used: float
) -> bool:
    done = oracle.done.get(job, set())
    waiting = [number for number in range(spec["portions"]) if number not in done and (job, number) not in held]
    count = len(waiting) if spec["shape"] == "group" else 1
    if not waiting or used + count * spec["cores"] > oracle.limits[spec["owner"]] + 1e-6:
        return False
    zones = [zone for (name, _), zone in held.items() if name == job]
    most = (spec["portions"] + 1) // 2
    for only in sorted({each.worker.zone for each in free}) if spec["oneZone"] else [None]:
        if only is not None and zones and only not in zones:
            continue
        room: dict[str, int] = {}
        for each in free:
            zone = each.worker.zone
            if (only is None or zone == only) and each.takes(spec):
                fit = min(each.cpus // max(spec["cores"], 1e-9), each.memory // max(spec["memoryGb"], 1e-9))
                room[zone] = room.get(zone, 0) + int(min(fit, count))
        if spec["apart"]:
            room = {zone: min(fit, most - zones.count(zone)) for zone, fit in room.items()}
        if sum(max(0, fit) for fit in room.values()) >= count:
            return True
    return False
