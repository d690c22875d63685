"""Adds exits, final records and deletions of orphaned chunks to a transaction, with few operations.

An *exit* ends an attempt of a task, which is then queued again or done. A job is *finished* once all of its tasks are
done, or once it is cancelled and its last attempt has exited. Its *final record* then replaces its record and chunks. A
chunk is a record with the states of some of a job's tasks; an orphaned chunk is one whose job no longer exists.

The *home controller* of a team schedules the team's jobs and is the only one that writes their task and final records.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer.exits import ExitBatch, ExitTracker

#: While the write budget is low, completions that nothing waits for are deferred for this long, so that one write
#: covers many. The maximum applies while there is no spare budget.
BATCH_DELAY = timedelta(seconds=4)
MAX_BATCH_DELAY = timedelta(seconds=12)
#: A team's limit is taken to hold up its queued jobs once less is left than they request and either less than this
#: fraction of the limit or less than the largest of their tasks requests.
NEAR_LIMIT_SHARE = 0.1

#: A job's id and the index of the chunk.
ChunkKey = tuple[str, int]


def teams_held_by_limit(cluster_state: ClusterState) -> set[str]:
    """Returns the teams whose limit holds up their queued jobs; exits of their tasks are recorded without delay.

    A team with queued jobs and a GPU limit is always included. Another team is not included if its limit leaves enough
    for the placements of the next rounds: in an overload its jobs wait for machines, not for the limit. When the exits
    of all teams were recorded without delay, in an overload, they took three of four writes with three tasks each, and
    capacity stayed unused because no writes were left to place tasks.
    """
    held_by_limit: set[str] = set()
    for team, demand in cluster_state.workload.teams.items():
        if not demand.queued_jobs:
            continue
        team_settings = cluster_state.team_settings[team]
        remaining = team_settings.cpu_limit - cluster_state.used_by_team(team)[0]
        if team_settings.gpus_max or remaining < min(
            demand.queued_cpus, max(NEAR_LIMIT_SHARE * team_settings.cpu_limit, demand.task_cpus[-1])
        ):
            held_by_limit.add(team)
    return held_by_limit


class CompletionComposer:
    """Composes the changes that follow from exits: task records, final records and deletions of chunks.

    There are four steps, so that others can come between them: the exits that something waits for
    (``compose_awaited_exits``), the final records of finished jobs (``compose_final_records``), the completions that
    nothing waits for (``compose_deferred_completions``), and the deletions of orphaned chunks
    (``compose_orphan_deletes``).
    """

    def __init__(self, context: ControllerContext, membership: Membership, exit_tracker: ExitTracker) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exit_tracker = exit_tracker

    def compose_awaited_exits(self, txn: TransactionBuilder, batches: dict[ChunkKey, ExitBatch], reserve: int) -> None:
        """Adds the exits that something waits for, with all known exits of a chunk in one write.

        Something waits for the exits of failed and stopped attempts, for the last exits of a job, and for exits of
        teams that are held up by their limit or on machines that are not up. Task records leave ``reserve`` operations
        free: after an outage there are many exits to record, and queued production jobs must not wait for all of them.
        """
        completed: dict[str, int] = {}
        exits_by_job: dict[str, int] = {}
        for (job_id, _), batch in batches.items():
            completed[job_id] = completed.get(job_id, 0) + batch.completed
            exits_by_job[job_id] = exits_by_job.get(job_id, 0) + len(batch.exits)
        finishing: set[str] = set()
        for job_id, completed_count in completed.items():
            job = self.cluster_state.jobs[job_id]
            if (
                self._cancellation_settled(job)
                and exits_by_job[job_id] >= job.placed_count
                or job.done_count + completed_count >= job.spec.tasks
            ):
                finishing.add(job_id)
                self._finish_job(txn, job, job.done_count + completed_count)
        held_by_limit = teams_held_by_limit(self.cluster_state)
        for chunk_key, batch in batches.items():
            job = self.cluster_state.jobs[chunk_key[0]]
            if job.id not in txn.finished_job_ids and (
                job.id in finishing
                or job.spec.team in held_by_limit
                or batch.completed < len(batch.exits)
                or not self.cluster_state.restricted_machines.keys().isdisjoint(batch.machines)
            ):
                self._compose_chunk(txn, chunk_key, batch, reserve)

    def _finish_job(self, txn: TransactionBuilder, job: Job, done_count: int) -> None:
        """Adds the final record of a job whose last attempts have exited, without writing its chunks first."""
        if self.membership.job_home(job.spec) != self.context.name or not txn.has_room(2, 0, len(job.chunks)):
            return
        for index, version in job.chunk_versions.items():
            txn.require(rec.chunk_key(job.id, index), version)
        self._compose_final_record(txn, job, done_count)
        self._delete_chunks(txn, job)

    def _delete_chunks(self, txn: TransactionBuilder, job: Job) -> None:
        """Deletes the chunks of a finished job.

        Chunks that do not fit, or all while the write budget is low, are deleted later as orphans.
        """
        budget_low = self.context.state_writes.tokens < 0.75 * self.context.state_writes.burst
        for index in job.chunks:
            if budget_low or not txn.has_room(1, 0):
                return
            txn.delete_chunk(job, index)

    def compose_deferred_completions(self, txn: TransactionBuilder, batches: dict[ChunkKey, ExitBatch]) -> None:
        """Adds the completions of tasks that nothing waits for; the capacity of these tasks already counts as free.

        While the write budget is low, completions are deferred to fill a batch, unless their chunk is written anyway.
        """
        context = self.context
        budget_low = context.state_writes.tokens < 0.75 * context.state_writes.burst
        spare = context.state_writes.tokens - len(txn.writes) >= 0.5 * context.state_writes.burst
        for chunk_key, batch in batches.items():
            job = self.cluster_state.jobs[chunk_key[0]]
            if job.id in txn.finished_job_ids:
                continue
            age = context.now - batch.since
            due = not budget_low or age >= (BATCH_DELAY if spare else MAX_BATCH_DELAY)
            if due or txn.edits_chunk(job, batch.exits[0][0]):
                self._compose_chunk(txn, chunk_key, batch, 0)

    def _compose_chunk(self, txn: TransactionBuilder, chunk_key: ChunkKey, batch: ExitBatch, reserve: int) -> None:
        job = self.cluster_state.jobs[chunk_key[0]]
        new_chunks = 0 if txn.edits_chunk(job, batch.exits[0][0]) else 1
        if new_chunks and not txn.has_room(new_chunks + reserve, 0):
            return
        for task_number, attempt, outcome in batch.exits:
            task = txn.task(job, task_number)
            if task.attempt != attempt or not task.machine:
                continue
            if outcome.done:
                new_record = TaskRecord(TaskState.DONE, attempt, "", task.failures)
            else:
                failures = task.failures + 1 if outcome.failed else task.failures
                new_record = TaskRecord(TaskState.QUEUED, attempt, "", min(failures, 999), outcome.note[:24])
            txn.set_task(job, task_number, new_record)
            txn.log_messages.append(
                f"{job.id}/{task_number}#{attempt} on {task.machine} ended: {outcome.note or 'done'}"
            )

    def compose_final_records(self, txn: TransactionBuilder) -> None:
        """Adds the final records of finished jobs if this controller is their home controller."""
        own_name = self.context.name
        # The user of a completed job waits for its final record, that of a cancelled job does not.
        for job in sorted(self.cluster_state.finished_jobs.values(), key=lambda job: job.cancelled):
            if self.membership.job_home(job.spec) != own_name:
                continue
            if any(txn.edits_chunk(job, index * job.chunk_size) for index in job.chunks):
                continue
            if job.id in txn.finished_job_ids or job.cancelled and not self._cancellation_settled(job):
                continue
            if not txn.has_room(2, 0):
                return
            self._compose_final_record(txn, job, job.done_count)
            self._delete_chunks(txn, job)

    def _cancellation_settled(self, job: Job) -> bool:
        """Whether the job is cancelled and all of its placements are known.

        Nothing is placed after the cancellation. But this controller may know the cancellation from its own commit
        before it knows of an earlier placement whose commit got no response. When the job was finished without that
        placement, the placed task kept running, and the records showed the capacity that it used as free.
        """
        return job.cancelled and job.version <= self.cluster_state.revision

    def _compose_final_record(self, txn: TransactionBuilder, job: Job, done_count: int) -> None:
        txn.finished_job_ids.add(job.id)
        txn.require(rec.job_key(job.id), job.version)
        done = not job.cancelled
        txn.writes[rec.final_key(job.id)] = msgspec.json.encode(
            rec.FinalRecord(done, done_count, "" if done else "cancelled by its user")
        )
        txn.require(rec.final_key(job.id), 0)
        txn.writes[rec.job_key(job.id)] = None
        txn.log_messages.append(f"{job.id} is over: {'done' if done else 'cancelled'}")

    def compose_orphan_deletes(self, txn: TransactionBuilder) -> None:
        """Deletes orphaned chunks, if this controller is the leader and has write budget to spare."""
        if not self.membership.is_leader() or self.context.state_writes.tokens < 0.75 * self.context.state_writes.burst:
            return
        for key, version in self.cluster_state.orphaned_chunks():
            if not txn.has_room(1, 0):
                return
            txn.require(key, version)
            txn.writes[key] = None
