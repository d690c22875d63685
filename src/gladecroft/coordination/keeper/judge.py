"""Which attempts a report proves gone, and which machines fail what they start."""

from __future__ import annotations

import logging

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineUse, TaskState
from gladecroft.coordination.keeper.machine import Machine, TaskKey
from gladecroft.coordination.ledger import Ledger, Outcome
from gladecroft.coordination.node import Node
from gladecroft.protocol.wire import TaskReport, Why
from gladecroft.protocol.wire import TaskState as Seen

log = logging.getLogger(__name__)


class Judge:
    def __init__(self, node: Node, ledger: Ledger) -> None:
        self.picture = node.picture
        self.ledger = ledger
        #: Jobs of which an attempt has completed: their failures point at the machine.
        self._sound: dict[str, None] = {}

    def judge(self, machine: Machine) -> None:
        """Compare present with wanted and note the attempts that are proven gone."""
        wanted = self.picture.on_machine.get(machine.id, {})
        for key, task in wanted.items():
            seen = machine.present.get(key)
            if seen is not None and seen.attempt == task.attempt:
                if seen.state is Seen.EXITED:
                    self._exited(machine, key, task, seen)
                elif seen.state is Seen.RUNNING:
                    job = self.picture.jobs.get(key[0])
                    if job is not None:
                        machine.images.pop(job.spec.image, None)
                        machine.images[job.spec.image] = None
                        while len(machine.images) > 12:
                            del machine.images[next(iter(machine.images))]
            elif seen is None and task.state == TaskState.STOPPING and machine.trusted():
                self.ledger.exit(*key, task.attempt, Outcome(False, task.note or "stopped"))

    def _exited(self, machine: Machine, key: TaskKey, task: rec.TaskRecord, seen: TaskReport) -> None:
        why = seen.why or "ended"
        if why == Why.DONE:
            self._sound.pop(key[0], None)
            self._sound[key[0]] = None
            if len(self._sound) > 500:
                del self._sound[next(iter(self._sound))]
            machine.errors.clear()
            self.ledger.exit(*key, task.attempt, Outcome(True))
        elif why == Why.ERROR:
            if (*key, task.attempt) not in self.ledger.exits:
                machine.errors[key[0]] = machine.errors.get(key[0], 0) + 1
                self._suspect(machine)
            self.ledger.exit(*key, task.attempt, Outcome(False, f"error {machine.id}", True))
        elif why == Why.STOPPED:
            self.ledger.exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
        else:
            # Not simply room that another took first: the next try waits a little.
            self.ledger.exit(*key, task.attempt, Outcome(False, f"{why} {machine.id}", why != Why.NO_ROOM))

    def _suspect(self, machine: Machine) -> None:
        """A machine on which several jobs fail, or jobs that complete elsewhere, is taken out of use."""
        sound = sum(count for job, count in machine.errors.items() if job in self._sound)
        if len(machine.errors) >= 3 or sound >= 2:
            known = self.ledger.machine(machine.id)
            if known is not None and known.use is not MachineUse.BAD:
                log.info("%s fails what it starts: no more work for it", machine.id)
                self.ledger.put_machine(machine.id, msgspec.structs.replace(known, use=MachineUse.BAD))
