"""Adds placements to transactions, with the conditions under which they may be committed."""

from __future__ import annotations

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import Candidate
from gladecroft.protocol.wire import JobKind


class PlacementWriter:
    """Adds placements of tasks on machines to transactions."""

    def __init__(self, context: ControllerContext, candidate_cache: CandidateCache) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.candidate_cache = candidate_cache

    def write(
        self,
        txn: TransactionBuilder,
        job: Job,
        task_number: int,
        previous: TaskRecord,
        candidate: Candidate,
        write_machine_record: bool = True,
    ) -> bool:
        """Add a placement to the transaction; False if the transaction or the chunk's record has no room for it.

        The commit requires that the machine's record is unchanged. For a gang, the record of a machine that this
        controller does not own is also written, so that a concurrent placement by another controller fails. For other
        jobs, a write per machine would exceed the request budget of the state service in a large fleet. If the home
        controllers of two teams, each of which places its team's tasks, use the same capacity, the worker rejects the
        second task.
        """
        key = rec.machine_key(candidate.machine_id)
        is_gang = job.spec.kind is JobKind.GANG
        updates_machine = write_machine_record and is_gang and not candidate.owned and key not in txn.writes
        if not txn.has_room((0 if txn.edits_chunk(job, task_number) else 1) + updates_machine, 1, 1):
            return False
        if not txn.task_fits(job, task_number, candidate.machine_id):
            return False  # with names this long, one record can't hold the placements of all tasks of the chunk
        txn.require(key)
        if updates_machine:
            txn.put(key, self.cluster_state.machines[candidate.machine_id])
        attempt = previous.attempt + 1
        now_wall_s = int(self.context.wall_time.timestamp())
        txn.set_task(
            job,
            task_number,
            TaskRecord(TaskState.ACTIVE, attempt, candidate.machine_id, previous.failures, "", now_wall_s),
        )
        txn.log_messages.append(f"{job.id}/{task_number}#{attempt} goes to {candidate.machine_id}")
        self.candidate_cache.record_image(candidate.machine_id, job.spec.image)
        return True
