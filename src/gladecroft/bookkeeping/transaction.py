"""One transaction in the making, on top of a picture."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import EMPTY, Job


def _bare(task: rec.TaskRecord) -> rec.TaskRecord:
    return msgspec.structs.replace(task, note="") if task.note else task


class TransactionBuilder:
    """One transaction in the making, on top of a picture."""

    def __init__(self, cluster_state: ClusterState, max_ops: int, max_bytes: int) -> None:
        self.cluster_state = cluster_state
        self.max_ops = max_ops
        self.max_conditions = 4 * max_ops
        self.max_bytes = max_bytes
        self.conditions: dict[str, int] = {}
        self.writes: dict[str, bytes | None] = {}
        self._chunks: dict[tuple[str, int], list[rec.TaskRecord]] = {}
        self._most_value = cluster_state.max_value_bytes
        #: What the teams use with this change made, and the teams for which it places something.
        self._teams: dict[str, list[float]] = {}
        self.placed_teams: set[str] = set()
        #: Jobs that end with this change: their tasks are not touched any more.
        self.finished_jobs: set[str] = set()
        self.claimed_teams: set[str] = set()
        self.log_messages: list[str] = []
        #: About what the changes take as JSON, counted as they come: asking for room must not cost a look at all.
        self._size = 200
        self.require(rec.EPOCH, cluster_state.epoch_version)

    def require(self, key: str, version: int | None = None) -> None:
        self.conditions.setdefault(key, self.cluster_state.version(key) if version is None else version)

    def has_room(self, jobs: int = 1, teams: int = 1, machines: int = 0) -> bool:
        """Whether that many more chunks, and conditions on team and machine records, surely fit."""
        ops = len(self.writes) + len(self._chunks) + jobs
        conditions = len(self.conditions) + 2 * jobs + teams + machines
        return ops <= self.max_ops and conditions <= self.max_conditions and self._bytes() < self.max_bytes

    def _bytes(self) -> int:
        return self._size + 160 * len(self.conditions)

    def edits_chunk(self, job: Job, number: int) -> bool:
        return (job.id, number // job.chunk_size) in self._chunks

    def put(self, key: str, value: Any) -> None:
        self.require(key)
        self.writes[key] = msgspec.json.encode(value)
        self._size += 100 + len(self.writes[key] or b"")

    def delete_chunk(self, job: Job, index: int) -> None:
        """The job is over: its chunk goes, with whatever it held."""
        self._chunks.pop((job.id, index), None)
        self.require(rec.chunk_key(job.id, index), job.versions[index])
        self.writes[rec.chunk_key(job.id, index)] = None

    def delete(self, key: str) -> None:
        self.require(key)
        self.writes[key] = None

    def task(self, job: Job, number: int) -> rec.TaskRecord:
        chunk = self._chunks.get((job.id, number // job.chunk_size))
        return job.task(number) if chunk is None else chunk[number % job.chunk_size]

    def task_fits(self, job: Job, number: int, machine: str) -> bool:
        """Whether the task's chunk, without its notes, still fits a value with this task on such a machine."""
        index, offset = divmod(number, job.chunk_size)
        chunk = self._chunks.get((job.id, index)) or job.chunks.get(index)
        if chunk is None or len(chunk) * (rec.BARE_TASK_BYTES + len(machine)) <= self._most_value:
            return True
        others = sum(rec.BARE_TASK_BYTES + len(task.machine) for task in chunk if task.machine)
        return others + rec.BARE_TASK_BYTES + len(machine) + 16 * len(chunk) <= self._most_value

    def set_task(self, job: Job, number: int, record: rec.TaskRecord) -> None:
        """Change a task and, with it, what its team uses."""
        index, offset = divmod(number, job.chunk_size)
        if job.id in self.finished_jobs:
            return
        chunk = self._chunks.get((job.id, index))
        if chunk is None:
            known = job.chunks.get(index)
            chunk = list(known) if known is not None else [EMPTY] * job.chunk_length(index)
            self._chunks[(job.id, index)] = chunk
            self._size += 100 + sum(16 + len(task.machine) + len(task.note) for task in chunk)
            self.require(rec.job_key(job.id), job.version)
            self.require(rec.chunk_key(job.id, index), job.versions.get(index, 0))
        before = chunk[offset]
        chunk[offset] = record
        self._size += 16 + len(record.machine) + len(record.note)
        step = bool(record.machine) - bool(before.machine)
        if step:
            used = self._used(job.spec.team)
            used[0] += step * job.spec.cpus
            used[1] += step * job.spec.gpus
        if step > 0:
            self.placed_teams.add(job.spec.team)
            self.require(rec.team_key(job.spec.team))

    def _used(self, team: str) -> list[float]:
        used = self._teams.get(team)
        if used is None:
            used = self._teams[team] = [*self.cluster_state.used_by_team(team)]
        return used

    def remaining_team_tasks(self, job: Job) -> int:
        """How many more tasks of the job its team's limit allows."""
        limit = self.cluster_state.limits[job.spec.team]
        used = self._teams.get(job.spec.team) or self.cluster_state.used_by_team(job.spec.team)
        room = job.spec.tasks
        for need, most, now in ((job.spec.cpus, limit.cpu_limit, used[0]), (job.spec.gpus, limit.gpu_limit, used[1])):
            if need > 0 and most < math.inf:
                room = min(room, int((most - now + 1e-6) / need))
        return max(0, room)

    def finish(self) -> bool:
        """Turn the edited chunks into puts; False if nothing is to be changed."""
        for (job, index), chunk in self._chunks.items():
            value = msgspec.json.encode(rec.ChunkRecord(chunk))
            if len(value) > self._most_value:
                # Notes are for people to read; without them it fits.
                value = msgspec.json.encode(rec.ChunkRecord([_bare(task) for task in chunk]))
            self.writes[rec.chunk_key(job, index)] = value
        self._chunks.clear()
        self._teams.clear()
        return bool(self.writes)
