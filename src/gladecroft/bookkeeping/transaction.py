"""Builds a transaction for the state service from edits to tasks and other records."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import NEW_TASK, Job


def _without_note(task: rec.TaskRecord) -> rec.TaskRecord:
    return msgspec.structs.replace(task, note="") if task.note else task


class TransactionBuilder:
    """Collects the conditions and writes of one transaction, based on a cluster state that it does not modify."""

    def __init__(self, cluster_state: ClusterState, max_ops: int, max_bytes: int) -> None:
        self.cluster_state = cluster_state
        self.max_ops = max_ops
        self.max_conditions = 4 * max_ops
        self.max_bytes = max_bytes
        self.conditions: dict[str, int] = {}
        self.writes: dict[str, bytes | None] = {}
        self._edited_chunks: dict[tuple[str, int], list[rec.TaskRecord]] = {}
        self._max_value_bytes = cluster_state.max_value_bytes
        #: Cores and GPUs that each team whose placed tasks change would use with this transaction committed.
        self._team_usage: dict[str, list[float]] = {}
        #: Teams for which this transaction places tasks.
        self.placed_teams: set[str] = set()
        #: Ids of the jobs that this transaction finishes; ``set_task`` ignores their tasks.
        self.finished_job_ids: set[str] = set()
        #: Teams that this transaction claims.
        self.claimed_teams: set[str] = set()
        #: Messages to log once the transaction is committed.
        self.log_messages: list[str] = []
        #: Approximate size of the writes as JSON, updated with each put and task edit so that ``has_room`` takes
        #: constant time.
        self._writes_bytes = 200
        self.require(rec.EPOCH, cluster_state.epoch_version)

    def require(self, key: str, version: int | None = None) -> None:
        """Make the commit conditional on the key's version; by default the one known to the cluster state."""
        self.conditions.setdefault(key, self.cluster_state.version(key) if version is None else version)

    def has_room(self, jobs: int = 1, teams: int = 1, machines: int = 0) -> bool:
        """Whether edits to ``jobs`` more chunks of different jobs, and conditions on team and machine records, fit.

        Of the size only that of the earlier edits is checked, against ``max_bytes``.
        """
        ops = len(self.writes) + len(self._edited_chunks) + jobs
        conditions = len(self.conditions) + 2 * jobs + teams + machines
        return ops <= self.max_ops and conditions <= self.max_conditions and self._estimated_bytes() < self.max_bytes

    def _estimated_bytes(self) -> int:
        return self._writes_bytes + 160 * len(self.conditions)

    def edits_chunk(self, job: Job, task_number: int) -> bool:
        """Whether the chunk of the task is already being edited."""
        return (job.id, task_number // job.chunk_size) in self._edited_chunks

    def put(self, key: str, value: Any) -> None:
        """Write a record, on the condition that its key has not changed."""
        self.require(key)
        self.writes[key] = msgspec.json.encode(value)
        self._writes_bytes += 100 + len(self.writes[key] or b"")

    def delete_chunk(self, job: Job, index: int) -> None:
        """Delete a chunk of a finished job and discard the edits to it."""
        self._edited_chunks.pop((job.id, index), None)
        self.require(rec.chunk_key(job.id, index), job.chunk_versions[index])
        self.writes[rec.chunk_key(job.id, index)] = None

    def delete(self, key: str) -> None:
        """Delete a record, on the condition that its key has not changed."""
        self.require(key)
        self.writes[key] = None

    def task(self, job: Job, task_number: int) -> rec.TaskRecord:
        """The task's record with the edits of this transaction."""
        chunk = self._edited_chunks.get((job.id, task_number // job.chunk_size))
        return job.task(task_number) if chunk is None else chunk[task_number % job.chunk_size]

    def task_fits(self, job: Job, task_number: int, machine_id: str) -> bool:
        """Whether the task's chunk without notes stays within the value size limit with the task on the machine."""
        index, offset = divmod(task_number, job.chunk_size)
        chunk = self._edited_chunks.get((job.id, index)) or job.chunks.get(index)
        if chunk is None or len(chunk) * (rec.MAX_BARE_TASK_BYTES + len(machine_id)) <= self._max_value_bytes:
            return True
        others = sum(rec.MAX_BARE_TASK_BYTES + len(task.machine) for task in chunk if task.machine)
        return others + rec.MAX_BARE_TASK_BYTES + len(machine_id) + 16 * len(chunk) <= self._max_value_bytes

    def set_task(self, job: Job, task_number: int, record: rec.TaskRecord) -> None:
        """Replace a task's record and update the usage of its team."""
        index, offset = divmod(task_number, job.chunk_size)
        if job.id in self.finished_job_ids:
            return
        chunk = self._edited_chunks.get((job.id, index))
        if chunk is None:
            known = job.chunks.get(index)
            chunk = list(known) if known is not None else [NEW_TASK] * job.chunk_length(index)
            self._edited_chunks[(job.id, index)] = chunk
            self._writes_bytes += 100 + sum(16 + len(task.machine) + len(task.note) for task in chunk)
            self.require(rec.job_key(job.id), job.version)
            self.require(rec.chunk_key(job.id, index), job.chunk_versions.get(index, 0))
        before = chunk[offset]
        chunk[offset] = record
        self._writes_bytes += 16 + len(record.machine) + len(record.note)
        delta = bool(record.machine) - bool(before.machine)
        if delta:
            used = self._usage_of_team(job.spec.team)
            used[0] += delta * job.spec.cpus
            used[1] += delta * job.spec.gpus
        if delta > 0:
            self.placed_teams.add(job.spec.team)
            self.require(rec.team_key(job.spec.team))

    def _usage_of_team(self, team: str) -> list[float]:
        used = self._team_usage.get(team)
        if used is None:
            used = self._team_usage[team] = [*self.cluster_state.used_by_team(team)]
        return used

    def remaining_team_tasks(self, job: Job) -> int:
        """How many more tasks of the job its team's limit allows."""
        team = self.cluster_state.team_settings[job.spec.team]
        used = self._team_usage.get(job.spec.team) or self.cluster_state.used_by_team(job.spec.team)
        remaining = job.spec.tasks
        for per_task, limit, current in (
            (job.spec.cpus, team.cpu_limit, used[0]),
            (job.spec.gpus, team.gpu_limit, used[1]),
        ):
            if per_task > 0 and limit < math.inf:
                remaining = min(remaining, int((limit - current + 1e-6) / per_task))
        return max(0, remaining)

    def finish(self) -> bool:
        """Add the edited chunks to the writes; False if there is nothing to write."""
        for (job_id, index), chunk in self._edited_chunks.items():
            value = msgspec.json.encode(rec.ChunkRecord(chunk))
            if len(value) > self._max_value_bytes:
                # Notes are only informational, and without them the value fits (see ``task_fits``).
                value = msgspec.json.encode(rec.ChunkRecord([_without_note(task) for task in chunk]))
            self.writes[rec.chunk_key(job_id, index)] = value
        self._edited_chunks.clear()
        self._team_usage.clear()
        return bool(self.writes)
