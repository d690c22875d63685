"""Works a placement into a transaction, conditional on what it rests on."""

from __future__ import annotations

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import Change
from gladecroft.coordination.context import Node
from gladecroft.coordination.scheduling.candidate_cache import Floor
from gladecroft.coordination.scheduling.placement import Slot
from gladecroft.protocol.wire import Kind


class Writer:
    def __init__(self, node: Node, floor: Floor) -> None:
        self.node = node
        self.picture = node.picture
        self.floor = floor

    def put(self, change: Change, job: Job, number: int, before: TaskRecord, slot: Slot, bump: bool = True) -> bool:
        """Work a placement into the transaction; False if it has no room."""
        key = rec.machine_key(slot.machine)
        # Another part's room is taken only by a conditional write. A gang's also changes the machine's record; for
        # single tasks a write for each machine would use up the state service's budget in a large fleet. Should two
        # homes take the same room all the same, the worker refuses the second.
        gang = job.spec.kind is Kind.GANG
        foreign = bump and gang and not slot.mine and key not in change.puts
        if not change.room((0 if change.has_chunk(job, number) else 1) + foreign, 1, 1):
            return False
        if not change.holds(job, number, slot.machine):
            return False  # with names this long not all of a chunk's tasks can be placed at once
        change.require(key)
        if foreign:
            change.put(key, self.picture.machines[slot.machine])
        attempt = before.attempt + 1
        now_s = int(self.node.wall.timestamp())
        change.set_task(job, number, TaskRecord(TaskState.ACTIVE, attempt, slot.machine, before.failures, "", now_s))
        change.notes.append(f"{job.id}/{number}#{attempt} goes to {slot.machine}")
        self.floor.note_image(slot.machine, job.spec.image)
        return True
