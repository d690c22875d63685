"""What is told to stop: work on machines that go, services on machines that are emptied, victims, broken gangs.

The home does it, not the machine's owner, so that a team's records have one writer.
"""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineUse, TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import Offer
from gladecroft.coordination.scheduling.selection import MachineSelector, need_of, zone_room
from gladecroft.policies import Panel
from gladecroft.protocol.wire import JobKind

#: Begins the note of a service that makes way, whose machine follows.
MOVED_NOTE_PREFIX = "moved from"
#: So many seconds before a machine is taken, what still runs there is stopped, so that its end is known at once.
LAST_MOMENT = 3.0
MOVES_AT_ONCE = 2
#: In a large fleet one more service may move at a time for so many machines.
MACHINES_PER_MOVE = 20


class Evictor:
    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        candidate_cache: CandidateCache,
        chooser: MachineSelector,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.candidate_cache = candidate_cache
        self.high = chooser.high
        self.low = chooser.low

    def drain(self, txn: TransactionBuilder) -> None:
        """Stop what of our jobs runs on machines that are about to go or are taken out of use.

        The home does it, not the machine's owner, so that a team's records have one writer.
        """
        for name, use in self.cluster_state.evacuating_machines.items():
            if use is MachineUse.DRAINING:
                continue
            why = "notice" if use is MachineUse.RECLAIMING else "bad machine"
            until_s = self.cluster_state.machines[name].until_s if use is MachineUse.RECLAIMING else 0
            for (job_name, number), task in list(self.cluster_state.tasks_by_machine.get(name, {}).items()):
                job = self.cluster_state.jobs[job_name]
                if task.state is not TaskState.ACTIVE or job.cancelled or self._ends_in_time(job, task, until_s):
                    continue
                if self.membership.job_home(job.spec) == self.context.name:
                    self.stop(txn, job, number, f"{why} {name}")

        if self.context.panel is not None and self.context.panel.drains():
            self._drain_by_policy(txn, self.context.panel)

    def _drain_by_policy(self, txn: TransactionBuilder, panel: Panel) -> None:
        """Stop what is still on a machine when it must begin to save, or to go, to leave it empty in time."""
        for name, sort in self._in_use():
            drain = panel.drain(name, sort)
            if drain is None or panel.now < drain.by - drain.grace:
                continue
            for (job_name, number), task in list(self.cluster_state.tasks_by_machine.get(name, {}).items()):
                job = self.cluster_state.jobs[job_name]
                if task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self._ends_in_time(job, task, int(drain.by.timestamp())):
                    continue
                if self.membership.job_home(job.spec) == self.context.name:
                    self.stop_with_gang(txn, job, number, f"drained {name}")

    def _in_use(self) -> list[tuple[str, CapacityPool]]:
        """The machines with work on them, as far as they are known."""
        return [
            (name, record.pool)
            for name in self.cluster_state.tasks_by_machine
            if (record := self.cluster_state.machines.get(name)) is not None
        ]

    def _being_emptied(self) -> list[str]:
        """The machines whose services are to move elsewhere."""
        emptying = [name for name, use in self.cluster_state.evacuating_machines.items() if use is MachineUse.DRAINING]
        panel = self.context.panel
        if panel is not None and panel.drains():
            emptying += [name for name, sort in self._in_use() if panel.drain(name, sort) and name not in emptying]
        return emptying

    def _ends_in_time(self, job: Job, task: TaskRecord, until_s: int) -> bool:
        """Whether a task that can't save will probably end before its machine is taken. Stopped, it begins anew."""
        now = self.context.wall_time.timestamp()
        if job.spec.checkpoint_s > 0 or job.spec.kind is not JobKind.ARRAY or until_s - now <= LAST_MOMENT:
            return False
        return job.spec.estimate_s - (now - task.placed_s) <= until_s - now

    def move(self, txn: TransactionBuilder) -> None:
        """Move our services off machines that are being emptied, a few at a time and only to where there is room."""
        me = self.context.name
        emptying = self._being_emptied()
        if not emptying:
            return
        if any(
            waits.service_jobs and self.membership.home(team) == me
            for team, waits in self.cluster_state.workload.teams.items()
        ):
            return
        at_once = max(MOVES_AT_ONCE, len(self.cluster_state.machines) // MACHINES_PER_MOVE)
        on_the_way = sum(
            task.state is TaskState.STOPPING and task.note.startswith(MOVED_NOTE_PREFIX)
            for job in self.cluster_state.jobs.values()
            if job.counts[TaskState.STOPPING]
            and job.spec.kind is JobKind.SERVICE
            and self.membership.job_home(job.spec) == me
            for _, task in job.placed_tasks()
        )
        guaranteed = self.cluster_state.guaranteed_jobs()
        self.candidate_cache.refresh(guaranteed)
        for name in emptying:
            for (job_name, number), task in list(self.cluster_state.tasks_by_machine.get(name, {}).items()):
                if on_the_way >= at_once or not txn.has_room(1, 0):
                    return
                job = self.cluster_state.jobs[job_name]
                if job.spec.kind is not JobKind.SERVICE or task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self.membership.job_home(job.spec) != me:
                    continue
                offer = self._where_else(job, job_name in guaranteed, self.cluster_state.machines[name].zone)
                if offer is not None and self.stop(txn, job, number, f"{MOVED_NOTE_PREFIX} {name}"):
                    self.candidate_cache.plan_on(offer.slot)
                    offer.slot.take(need_of(job, job_name in guaranteed, me), self.candidate_cache.line)
                    on_the_way += 1

    def _where_else(self, job: Job, inside: bool, zone: str) -> Offer | None:
        zones, cap = zone_room(self.cluster_state, job)
        zones[zone] = zones.get(zone, 0) - 1
        need = need_of(job, inside, self.context.name)
        usable = [
            slot
            for slot in self.candidate_cache.usable(job)
            if slot.fits(need) and zones.get(slot.zone, 0) < cap and (not job.spec.one_zone or slot.zone == zone)
        ]
        return self.low.choose(need, self.high.offers(need, usable))

    def stop(self, txn: TransactionBuilder, job: Job, number: int, note: str) -> bool:
        task = txn.task(job, number)
        if (
            task.state is not TaskState.ACTIVE
            or self.cluster_state.unrecorded_exits.get((job.id, number)) == task.attempt
        ):
            return False
        if not txn.has_room(0 if txn.edits_chunk(job, number) else 1, 0):
            return False
        after = TaskRecord(TaskState.STOPPING, task.attempt, task.machine, task.failures, note[:24], task.placed_s)
        txn.set_task(job, number, after)
        txn.log_messages.append(f"{job.id}/{number}#{task.attempt} on {task.machine} is to stop: {note}")
        return True

    def mend_gangs(self, txn: TransactionBuilder) -> None:
        """A gang that has lost a task is stopped and queued whole."""
        for job in self.cluster_state.gang_jobs.values():
            if job.cancelled or not job.queued_count or not job.placed_count:
                continue
            if self.membership.job_home(job.spec) == self.context.name:
                for number, task in list(job.placed_tasks()):
                    if task.state is TaskState.ACTIVE:
                        self.stop(txn, job, number, "gang incomplete")

    def stop_with_gang(self, txn: TransactionBuilder, job: Job, number: int, note: str) -> bool:
        """Stop a task, and all of its gang with it."""
        if job.spec.kind is not JobKind.GANG:
            return self.stop(txn, job, number, note)
        stopped = False
        for other, _ in list(job.placed_tasks()):
            stopped |= self.stop(txn, job, other, note)
        return stopped
