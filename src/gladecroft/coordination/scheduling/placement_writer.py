"""Writes placements into transactions, conditional on the records that they depend on."""

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
    """Adds placements to transactions."""

    def __init__(self, context: ControllerContext, candidate_cache: CandidateCache) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.candidate_cache = candidate_cache

    def write(
        self,
        txn: TransactionBuilder,
        job: Job,
        number: int,
        previous: TaskRecord,
        candidate: Candidate,
        write_machine_record: bool = True,
    ) -> bool:
        """Add a placement to the transaction; False if it does not fit into it.

        Every placement is conditional on the machine's record. A gang's placement also writes the record of a machine
        that this controller does not own, so that a concurrent one fails. For single tasks a write per machine would
        exceed the request budget of the state service in a large fleet; if two home controllers use the same capacity,
        the worker refuses the second task.
        """
        key = rec.machine_key(candidate.machine)
        gang = job.spec.kind is JobKind.GANG
        updates_machine = write_machine_record and gang and not candidate.owned and key not in txn.writes
        if not txn.has_room((0 if txn.edits_chunk(job, number) else 1) + updates_machine, 1, 1):
            return False
        if not txn.task_fits(job, number, candidate.machine):
            return False  # with names this long, one record can't hold the placements of all tasks of the chunk
        txn.require(key)
        if updates_machine:
            txn.put(key, self.cluster_state.machines[candidate.machine])
        attempt = previous.attempt + 1
        now_s = int(self.context.wall_time.timestamp())
        txn.set_task(
            job, number, TaskRecord(TaskState.ACTIVE, attempt, candidate.machine, previous.failures, "", now_s)
        )
        txn.log_messages.append(f"{job.id}/{number}#{attempt} goes to {candidate.machine}")
        self.candidate_cache.record_image(candidate.machine, job.spec.image)
        return True
