"""Adds the ends of tasks and jobs and the removal of orphaned chunks to a transaction, with few operations."""

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

#: While the write budget is low, exits that nothing waits for are delayed this long, so that one write covers many.
#: The maximum applies while there is no spare budget.
BATCH_DELAY = timedelta(seconds=4)
MAX_BATCH_DELAY = timedelta(seconds=12)
#: A limit is taken to hold up queued work once less than this share of it is left.
NEAR_LIMIT_SHARE = 0.1

#: A job's name and the number of its chunk.
ChunkKey = tuple[str, int]


def teams_held_by_limit(cluster_state: ClusterState) -> set[str]:
    """Returns the teams whose limit holds up their queued work; exits of their tasks are recorded without delay.

    A team whose limit leaves capacity for what the next rounds may place is not included: in an overload it waits for
    machines, not for its limit. When exits of all teams were recorded at once, they took three of four writes with
    three tasks each, and capacity stayed unused because no writes were left to place tasks.
    """
    held_by_limit: set[str] = set()
    for team, demand in cluster_state.workload.teams.items():
        if not demand.queued_jobs:
            continue
        limit = cluster_state.limits[team]
        remaining = limit.cpu_limit - cluster_state.used_by_team(team)[0]
        if limit.gpus_max or remaining < min(
            demand.queued_cpus, max(NEAR_LIMIT_SHARE * limit.cpu_limit, demand.task_cpus[-1])
        ):
            held_by_limit.add(team)
    return held_by_limit


class CompletionComposer:
    """Composes the changes that follow from ended tasks: task states, final records and removed chunks."""

    def __init__(self, context: ControllerContext, membership: Membership, exit_tracker: ExitTracker) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exit_tracker = exit_tracker

    def compose_exits(self, txn: TransactionBuilder, batches: dict[ChunkKey, ExitBatch], reserve: int) -> None:
        """Adds the exits that something waits for, with all known exits of a chunk in one write.

        ``reserve`` operations stay free: after an outage there are many exits to record, and urgent work must not wait
        for all of them.
        """
        completed: dict[str, int] = {}
        exits_by_job: dict[str, int] = {}
        for (name, _), batch in batches.items():
            completed[name] = completed.get(name, 0) + batch.completed
            exits_by_job[name] = exits_by_job.get(name, 0) + len(batch.exits)
        finishing: set[str] = set()
        for name, count in completed.items():
            job = self.cluster_state.jobs[name]
            if (
                self._cancellation_settled(job)
                and exits_by_job[name] >= job.placed_count
                or job.done_count + count >= job.spec.tasks
            ):
                finishing.add(name)
                self._finish_job(txn, job, job.done_count + count)
        held_by_limit = teams_held_by_limit(self.cluster_state)
        for chunk_key, batch in batches.items():
            job = self.cluster_state.jobs[chunk_key[0]]
            if job.id not in txn.finished_jobs and (
                job.id in finishing
                or job.spec.team in held_by_limit
                or batch.completed < len(batch.exits)
                or not self.cluster_state.restricted_machines.keys().isdisjoint(batch.machines)
            ):
                self._compose_chunk(txn, chunk_key, batch, reserve)

    def _finish_job(self, txn: TransactionBuilder, job: Job, done: int) -> None:
        """Writes the final record of a job whose last tasks have ended, without writing its chunks first."""
        if self.membership.job_home(job.spec) != self.context.name or not txn.has_room(2, 0, len(job.chunks)):
            return
        for index, version in job.versions.items():
            txn.require(rec.chunk_key(job.id, index), version)
        self._compose_final_record(txn, job, done)
        self._drop_chunks(txn, job)

    def _drop_chunks(self, txn: TransactionBuilder, job: Job) -> None:
        """Drops the chunks of a finished job.

        Chunks that do not fit, or all while the write budget is low, are dropped later as orphans.
        """
        budget_low = self.context.state_writes.tokens < 0.75 * self.context.state_writes.burst
        for index in job.chunks:
            if budget_low or not txn.has_room(1, 0):
                return
            txn.delete_chunk(job, index)

    def compose_completed(self, txn: TransactionBuilder, batches: dict[ChunkKey, ExitBatch]) -> None:
        """Adds completed tasks that nothing waits for; their capacity already counts as free.

        While the write budget is low they are batched and come after everything else, unless their chunk is written
        anyway.
        """
        context = self.context
        budget_low = context.state_writes.tokens < 0.75 * context.state_writes.burst
        spare = context.state_writes.tokens - len(txn.writes) >= 0.5 * context.state_writes.burst
        for chunk_key, batch in batches.items():
            job = self.cluster_state.jobs[chunk_key[0]]
            if job.id in txn.finished_jobs:
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
        for number, attempt, outcome in batch.exits:
            task = txn.task(job, number)
            if task.attempt != attempt or not task.machine:
                continue
            if outcome.done:
                after = TaskRecord(TaskState.DONE, attempt, "", task.failures)
            else:
                failures = task.failures + 1 if outcome.failed else task.failures
                after = TaskRecord(TaskState.QUEUED, attempt, "", min(failures, 999), outcome.note[:24])
            txn.set_task(job, number, after)
            txn.log_messages.append(f"{job.id}/{number}#{attempt} on {task.machine} ended: {outcome.note or 'done'}")

    def compose_final_records(self, txn: TransactionBuilder) -> None:
        """Adds the final records of finished jobs whose home is this controller."""
        own_name = self.context.name
        # The user of a completed job waits for its final record, that of a cancelled job does not.
        for job in sorted(self.cluster_state.finished_jobs.values(), key=lambda job: job.cancelled):
            if self.membership.job_home(job.spec) != own_name:
                continue
            if any(txn.edits_chunk(job, index * job.chunk_size) for index in job.chunks):
                continue
            if job.id in txn.finished_jobs or job.cancelled and not self._cancellation_settled(job):
                continue
            if not txn.has_room(2, 0):
                return
            self._compose_final_record(txn, job, job.done_count)
            self._drop_chunks(txn, job)

    def _cancellation_settled(self, job: Job) -> bool:
        """Whether the job is cancelled and all of its placements are known.

        Nothing is placed after the cancellation. But this controller may know the cancellation from its own commit
        before it knows a placement just before it, whose commit got no response. Ended without that placement, the job
        left a task running that took its team's capacity while the records showed it as free.
        """
        return job.cancelled and job.version <= self.cluster_state.revision

    def _compose_final_record(self, txn: TransactionBuilder, job: Job, count: int) -> None:
        txn.finished_jobs.add(job.id)
        txn.require(rec.job_key(job.id), job.version)
        done = not job.cancelled
        txn.writes[rec.final_key(job.id)] = msgspec.json.encode(
            rec.FinalRecord(done, count, "" if done else "cancelled by its user")
        )
        txn.require(rec.final_key(job.id), 0)
        txn.writes[rec.job_key(job.id)] = None
        txn.log_messages.append(f"{job.id} is over: {'done' if done else 'cancelled'}")

    def compose_orphan_deletes(self, txn: TransactionBuilder) -> None:
        """Removes chunks without a job, if this controller is the leader and has write budget to spare."""
        if not self.membership.is_leader() or self.context.state_writes.tokens < 0.75 * self.context.state_writes.burst:
            return
        for key, version in self.cluster_state.orphaned_chunks():
            if not txn.has_room(1, 0):
                return
            txn.require(key, version)
            txn.writes[key] = None
