"""Which attempts a report proves gone, and which machines are taken out of use for failing what they start."""

from __future__ import annotations

import logging

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineUse, TaskState
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.fault_attribution import OUT_OF_USE, machine_accused
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.coordination.state_writer import Outcome, StateWriter
from gladecroft.protocol.wire import ExitReason, TaskReport
from gladecroft.protocol.wire import ReportedTaskState as Seen

log = logging.getLogger(__name__)


class ReportEvaluator:
    def __init__(self, context: ControllerContext, state_writer: StateWriter) -> None:
        self.cluster_state = context.cluster_state
        self.state_writer = state_writer
        #: Jobs of which an attempt has completed here: their failures point at the machine.
        self._sound: dict[str, None] = {}
        #: On which machines of this controller jobs have failed.
        self._failed_on: dict[str, set[str]] = {}
        #: Machines that were taken out of use here by jobs which have completed nowhere.
        self._out: set[str] = set()
        #: How many machines there are in this controller's part.
        self.held = 0

    def judge(self, machine: Machine) -> None:
        """Compare present with wanted and note the attempts that are proven gone."""
        wanted = self.cluster_state.tasks_by_machine.get(machine.id, {})
        for key, task in wanted.items():
            seen = machine.observed.get(key)
            if seen is not None and seen.attempt == task.attempt:
                if seen.state is Seen.EXITED:
                    self._exited(machine, key, task, seen)
                elif seen.state is Seen.RUNNING:
                    job = self.cluster_state.jobs.get(key[0])
                    if job is not None:
                        machine.cached_images.pop(job.spec.image, None)
                        machine.cached_images[job.spec.image] = None
                        while len(machine.cached_images) > 12:
                            del machine.cached_images[next(iter(machine.cached_images))]
            elif seen is None and task.state == TaskState.STOPPING and machine.has_trusted_report():
                self.state_writer.record_exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
        if machine.errors:
            self._suspect(machine)

    def _exited(self, machine: Machine, key: TaskKey, task: rec.TaskRecord, seen: TaskReport) -> None:
        why = seen.exit_reason or "ended"
        if why == ExitReason.DONE:
            self._sound.pop(key[0], None)
            self._sound[key[0]] = None
            if len(self._sound) > 500:
                del self._sound[next(iter(self._sound))]
            machine.errors.clear()
            self.state_writer.record_exit(*key, task.attempt, Outcome(True))
        elif why == ExitReason.ERROR:
            if (*key, task.attempt) not in self.state_writer.exits:
                machine.errors[key[0]] = machine.errors.get(key[0], 0) + 1
                self._failed_on.setdefault(key[0], set()).add(machine.id)
                if len(self._failed_on) > 500:
                    del self._failed_on[next(iter(self._failed_on))]
            self.state_writer.record_exit(
                *key, task.attempt, Outcome(False, f"{rec.FAILED_NOTE_PREFIX}{machine.id}", True)
            )
        elif why == ExitReason.STOPPED:
            self.state_writer.record_exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
        else:
            # Not simply room that another took first: the next try waits a little.
            self.state_writer.record_exit(
                *key, task.attempt, Outcome(False, f"{why} {machine.id}", why != ExitReason.NO_ROOM)
            )

    def _suspect(self, machine: Machine) -> None:
        """Take a machine out of use that accuses itself, and back into use one that was wrongly accused by jobs which
        have failed elsewhere since."""
        jobs = self.cluster_state.jobs
        sound = [name for name in machine.errors if name in self._sound or name in jobs and jobs[name].done_count]
        failed_on = {
            name: self._failed_on.get(name, set()) | (jobs[name].failed_machines() if name in jobs else set())
            for name in machine.errors
        }
        accused, by_sound = machine_accused(machine.errors, machine.id, sound, failed_on)
        known = self.state_writer.machine(machine.id)
        if known is None or accused is (known.use is MachineUse.FAULTY):
            return
        if accused and known.use in (MachineUse.UP, MachineUse.DRAINING):
            if not by_sound:
                self._out = {
                    name for name in self._out if self.cluster_state.restricted_machines.get(name) is MachineUse.FAULTY
                }
                if len(self._out) >= max(1, int(OUT_OF_USE * self.held)):
                    return
                self._out.add(machine.id)
            log.info("%s fails what it starts: no more work for it", machine.id)
            self.state_writer.put_machine(machine.id, msgspec.structs.replace(known, use=MachineUse.FAULTY))
        elif not accused and machine.id in self._out:
            self._out.discard(machine.id)
            log.info("%s was wrongly accused: back into use", machine.id)
            self.state_writer.put_machine(machine.id, msgspec.structs.replace(known, use=MachineUse.UP))
