"""Works a placement into a transaction, conditional on what it rests on."""

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
    def __init__(self, context: ControllerContext, candidate_cache: CandidateCache) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.candidate_cache = candidate_cache

    def put(
        self, txn: TransactionBuilder, job: Job, number: int, before: TaskRecord, slot: Candidate, bump: bool = True
    ) -> bool:
        """Work a placement into the transaction; False if it has no room."""
        key = rec.machine_key(slot.machine)
        # Another part's room is taken only by a conditional write. A gang's also changes the machine's record; for
        # single tasks a write for each machine would use up the state service's budget in a large fleet. Should two
        # homes take the same room all the same, the worker refuses the second.
        gang = job.spec.kind is JobKind.GANG
        foreign = bump and gang and not slot.mine and key not in txn.writes
        if not txn.has_room((0 if txn.edits_chunk(job, number) else 1) + foreign, 1, 1):
            return False
        if not txn.task_fits(job, number, slot.machine):
            return False  # with names this long not all of a chunk's tasks can be placed at once
        txn.require(key)
        if foreign:
            txn.put(key, self.cluster_state.machines[slot.machine])
        attempt = before.attempt + 1
        now_s = int(self.context.wall_time.timestamp())
        txn.set_task(job, number, TaskRecord(TaskState.ACTIVE, attempt, slot.machine, before.failures, "", now_s))
        txn.log_messages.append(f"{job.id}/{number}#{attempt} goes to {slot.machine}")
        self.candidate_cache.note_image(slot.machine, job.spec.image)
        return True
