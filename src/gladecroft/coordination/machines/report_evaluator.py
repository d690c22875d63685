"""Derives exits of attempts from reports, and marks machines as faulty if tasks fail on them."""

from __future__ import annotations

import logging

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineLifecycle, TaskState
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.fault_attribution import MAX_FAULTY_SHARE, diagnose_machine
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.coordination.state_writer import Outcome, StateWriter
from gladecroft.protocol.wire import ExitReason, TaskReport
from gladecroft.protocol.wire import ReportedTaskState as ObservedState

log = logging.getLogger(__name__)


class ReportEvaluator:
    """Compares the tasks in a machine's report with the desired tasks, those that the records place on it."""

    def __init__(self, context: ControllerContext, state_writer: StateWriter) -> None:
        self.cluster_state = context.cluster_state
        self.state_writer = state_writer
        #: Ids of jobs of which a task has completed on a machine of this controller. Failures of their other tasks
        #: indicate a faulty machine.
        self._completed_jobs: dict[str, None] = {}
        #: By job id, the machines of this controller on which tasks of the job have failed.
        self._failed_on: dict[str, set[str]] = {}
        #: Machines that this controller has marked faulty because of jobs without a completed task.
        self._marked_faulty: set[str] = set()
        #: Number of machines that this controller owns.
        self.machine_count = 0

    def evaluate(self, machine: Machine) -> None:
        """Records the exits of attempts that a comparison of the observed with the desired tasks confirms."""
        desired = self.cluster_state.tasks_by_machine.get(machine.id, {})
        for key, task in desired.items():
            observed = machine.observed.get(key)
            if observed is not None and observed.attempt == task.attempt:
                if observed.state is ObservedState.EXITED:
                    self._record_exit(machine, key, task, observed)
                elif observed.state is ObservedState.RUNNING:
                    job = self.cluster_state.jobs.get(key[0])
                    if job is not None:
                        machine.cached_images.pop(job.spec.image, None)
                        machine.cached_images[job.spec.image] = None
                        while len(machine.cached_images) > 12:
                            del machine.cached_images[next(iter(machine.cached_images))]
            elif observed is None and task.state == TaskState.STOPPING and machine.has_trusted_report():
                self.state_writer.record_exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
        if machine.failures_by_job:
            self._update_faulty_mark(machine)

    def _record_exit(self, machine: Machine, key: TaskKey, task: rec.TaskRecord, observed: TaskReport) -> None:
        reason = observed.exit_reason or "ended"
        if reason == ExitReason.DONE:
            self._completed_jobs.pop(key[0], None)
            self._completed_jobs[key[0]] = None
            if len(self._completed_jobs) > 500:
                del self._completed_jobs[next(iter(self._completed_jobs))]
            machine.failures_by_job.clear()
            self.state_writer.record_exit(*key, task.attempt, Outcome(True))
        elif reason == ExitReason.ERROR:
            if (*key, task.attempt) not in self.state_writer.exits:
                machine.failures_by_job[key[0]] = machine.failures_by_job.get(key[0], 0) + 1
                self._failed_on.setdefault(key[0], set()).add(machine.id)
                if len(self._failed_on) > 500:
                    del self._failed_on[next(iter(self._failed_on))]
            self.state_writer.record_exit(
                *key, task.attempt, Outcome(False, f"{rec.FAILED_NOTE_PREFIX}{machine.id}", True)
            )
        elif reason == ExitReason.STOPPED:
            self.state_writer.record_exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
        else:
            # Counts as a failure, so that the retry is delayed, unless the machine only lacked the capacity.
            self.state_writer.record_exit(
                *key, task.attempt, Outcome(False, f"{reason} {machine.id}", reason != ExitReason.NO_ROOM)
            )

    def _update_faulty_mark(self, machine: Machine) -> None:
        """Marks a machine as faulty, or clears this controller's mark once its jobs have failed on other machines too.

        Marks that are due to failures of jobs with completed tasks are not cleared here.
        """
        jobs = self.cluster_state.jobs
        completed = [
            job_id
            for job_id in machine.failures_by_job
            if job_id in self._completed_jobs or job_id in jobs and jobs[job_id].done_count
        ]
        failed_on = {
            job_id: self._failed_on.get(job_id, set()) | (jobs[job_id].failed_machines() if job_id in jobs else set())
            for job_id in machine.failures_by_job
        }
        faulty, by_completed = diagnose_machine(machine.failures_by_job, machine.id, completed, failed_on)
        known = self.state_writer.machine_record(machine.id)
        if known is None or faulty is (known.lifecycle is MachineLifecycle.FAULTY):
            return
        if faulty and known.lifecycle in (MachineLifecycle.UP, MachineLifecycle.DRAINING):
            if not by_completed:
                self._marked_faulty = {
                    machine_id
                    for machine_id in self._marked_faulty
                    if self.cluster_state.restricted_machines.get(machine_id) is MachineLifecycle.FAULTY
                }
                if len(self._marked_faulty) >= max(1, int(MAX_FAULTY_SHARE * self.machine_count)):
                    return
                self._marked_faulty.add(machine.id)
            log.info("machine %s marked as faulty: tasks fail on it", machine.id)
            self.state_writer.put_machine(machine.id, msgspec.structs.replace(known, lifecycle=MachineLifecycle.FAULTY))
        elif not faulty and machine.id in self._marked_faulty:
            self._marked_faulty.discard(machine.id)
            log.info("machine %s no longer marked as faulty: its jobs fail on other machines too", machine.id)
            self.state_writer.put_machine(machine.id, msgspec.structs.replace(known, lifecycle=MachineLifecycle.UP))
