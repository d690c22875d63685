"""What ends: tasks, jobs, left-over chunks, worked into a transaction with as few changes as may be."""

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

#: While writes are short, ends of a job's tasks for which nobody waits are gathered this long, so that one write holds
#: many.
GATHER = timedelta(seconds=4)
GATHER_MOST = timedelta(seconds=12)
#: A limit holds work up once less than this part of it is left.
NEAR_LIMIT = 0.1

#: A job's chunk.
ChunkKey = tuple[str, int]


def teams_held_by_limit(cluster_state: ClusterState) -> set[str]:
    """Teams whose waiting work is held up by their limit: what ends of theirs is noted soon.

    Not those that have room under their limit for what a round or two may place: in an overload they wait for
    machines, not for the limit. When all their ends were noted at once these took three of four changes, three
    tasks to a write, and room stood empty for want of changes to place on it.
    """
    bound: set[str] = set()
    for team, waits in cluster_state.workload.teams.items():
        if not waits.queued_jobs:
            continue
        limit = cluster_state.limits[team]
        left = limit.cpu_limit - cluster_state.used_by_team(team)[0]
        if limit.gpus_max or left < min(waits.queued_cpus, max(NEAR_LIMIT * limit.cpu_limit, waits.task_cpus[-1])):
            bound.add(team)
    return bound


class CompletionComposer:
    def __init__(self, context: ControllerContext, membership: Membership, exit_tracker: ExitTracker) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.exit_tracker = exit_tracker

    def exits(self, txn: TransactionBuilder, ends: dict[ChunkKey, ExitBatch], reserve: int) -> None:
        """Work ends into the transaction for which somebody waits, as many of a chunk's as are known in one write.

        After a stand-still many ends are to be noted: work that must start at once is not to wait for all of them,
        so some operations are held in reserve for it.
        """
        done: dict[str, int] = {}
        ended_of: dict[str, int] = {}
        for (name, _), ended in ends.items():
            done[name] = done.get(name, 0) + ended.completed
            ended_of[name] = ended_of.get(name, 0) + len(ended.exits)
        ending: set[str] = set()
        for name, count in done.items():
            job = self.cluster_state.jobs[name]
            if (
                self._cancellation_settled(job)
                and ended_of[name] >= job.placed_count
                or job.done_count + count >= job.spec.tasks
            ):
                ending.add(name)
                self._end(txn, job, job.done_count + count)
        bound = teams_held_by_limit(self.cluster_state)
        for group, ended in ends.items():
            job = self.cluster_state.jobs[group[0]]
            if job.id not in txn.finished_jobs and (
                job.id in ending
                or job.spec.team in bound
                or ended.completed < len(ended.exits)
                or not self.cluster_state.restricted_machines.keys().isdisjoint(ended.machines)
            ):
                self._group(txn, group, ended, reserve)

    def _end(self, txn: TransactionBuilder, job: Job, done: int) -> None:
        """With these ends the job is over: its final state is written at once, with no write of its chunks before."""
        if self.membership.job_home(job.spec) != self.context.name or not txn.has_room(2, 0, len(job.chunks)):
            return
        for index, version in job.versions.items():
            txn.require(rec.chunk_key(job.id, index), version)
        self._compose_final_record(txn, job, done)
        self._drop_chunks(txn, job)

    def _drop_chunks(self, txn: TransactionBuilder, job: Job) -> None:
        """Drop the chunks of a job that is over. What does not fit, or has time while writes are short, is dropped
        later as an orphan."""
        short = self.context.state_writes.tokens < 0.75 * self.context.state_writes.burst
        for index in job.chunks:
            if short or not txn.has_room(1, 0):
                return
            txn.delete_chunk(job, index)

    def done(self, txn: TransactionBuilder, ends: dict[ChunkKey, ExitBatch]) -> None:
        """Note completed tasks for which nobody waits: their room counts as free already. While writes are short they
        are gathered, and come after all else, unless their chunk is written anyway."""
        context = self.context
        short = context.state_writes.tokens < 0.75 * context.state_writes.burst
        spare = context.state_writes.tokens - len(txn.writes) >= 0.5 * context.state_writes.burst
        for group, ended in ends.items():
            job = self.cluster_state.jobs[group[0]]
            if job.id in txn.finished_jobs:
                continue
            age = context.now - ended.since
            due = not short or age >= (GATHER if spare else GATHER_MOST)
            if due or txn.edits_chunk(job, ended.exits[0][0]):
                self._group(txn, group, ended, 0)

    def _group(self, txn: TransactionBuilder, group: ChunkKey, ended: ExitBatch, reserve: int) -> None:
        job = self.cluster_state.jobs[group[0]]
        chunks = 0 if txn.edits_chunk(job, ended.exits[0][0]) else 1
        if chunks and not txn.has_room(chunks + reserve, 0):
            return
        for number, attempt, outcome in ended.exits:
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

    def finals(self, txn: TransactionBuilder) -> None:
        me = self.context.name
        # A finished job's user waits for this; a cancelled one's does not.
        for job in sorted(self.cluster_state.finished_jobs.values(), key=lambda job: job.cancelled):
            if self.membership.job_home(job.spec) != me:
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
        """Whether the job is cancelled and all that was ever placed of it is known.

        Nothing is placed after the cancellation, but its record may be known here, by this controller's own commit,
        before what was placed just before it: such a placement had got no answer. Called over without it the job left
        a task behind that took its team's room while the records called that free.
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

    def orphans(self, txn: TransactionBuilder) -> None:
        if not self.membership.is_leader() or self.context.state_writes.tokens < 0.75 * self.context.state_writes.burst:
            return
        for key, version in self.cluster_state.orphaned_chunks():
            if not txn.has_room(1, 0):
                return
            txn.require(key, version)
            txn.writes[key] = None
