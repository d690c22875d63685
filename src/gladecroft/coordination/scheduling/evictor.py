"""Stops tasks: for preemption, on machines that are reclaimed, faulty or drained, and of incomplete gangs.

The home controller stops them, not the machine's owner, so that a team's records have one writer.
"""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineUse, TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import Offer
from gladecroft.coordination.scheduling.selection import MachineSelector, task_request, zone_counts_and_cap
from gladecroft.policies import PolicyEngine
from gladecroft.protocol.wire import JobKind

#: Start of the note of a service task that is being migrated; the name of its machine follows.
MOVED_NOTE_PREFIX = "moved from"
#: Time before a machine is reclaimed at which the tasks still running there are stopped, so that their exits are known.
FINAL_STOP_LEAD_S = 3.0
MIN_CONCURRENT_MOVES = 2
#: Large fleets may migrate one service task at a time for this many machines.
MACHINES_PER_MOVE = 20


class Evictor:
    """Tells tasks to stop and, for services, makes sure that they can start elsewhere."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        candidate_cache: CandidateCache,
        selector: MachineSelector,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.candidate_cache = candidate_cache
        self.high_priority = selector.high_priority
        self.low_priority = selector.low_priority

    def drain(self, txn: TransactionBuilder) -> None:
        """Stop this controller's tasks on machines that are being reclaimed, are faulty or are drained by a policy."""
        for name, use in self.cluster_state.evacuating_machines.items():
            if use is MachineUse.DRAINING:
                continue
            reason = "notice" if use is MachineUse.RECLAIMING else "bad machine"
            until_s = self.cluster_state.machines[name].until_s if use is MachineUse.RECLAIMING else 0
            for (job_id, number), task in list(self.cluster_state.tasks_by_machine.get(name, {}).items()):
                job = self.cluster_state.jobs[job_id]
                if task.state is not TaskState.ACTIVE or job.cancelled or self._finishes_in_time(job, task, until_s):
                    continue
                if self.membership.job_home(job.spec) == self.context.name:
                    self.stop_task(txn, job, number, f"{reason} {name}")

        if self.context.policy_engine is not None and self.context.policy_engine.has_drains():
            self._drain_by_policy(txn, self.context.policy_engine)

    def _drain_by_policy(self, txn: TransactionBuilder, policy_engine: PolicyEngine) -> None:
        """Stop the tasks that are still on a machine when they must save and exit for it to be empty in time."""
        for name, pool in self._machines_in_use():
            drain = policy_engine.drain(name, pool)
            if drain is None or policy_engine.now < drain.deadline - drain.checkpoint_grace:
                continue
            for (job_id, number), task in list(self.cluster_state.tasks_by_machine.get(name, {}).items()):
                job = self.cluster_state.jobs[job_id]
                if task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self._finishes_in_time(job, task, int(drain.deadline.timestamp())):
                    continue
                if self.membership.job_home(job.spec) == self.context.name:
                    self.stop_task_or_gang(txn, job, number, f"drained {name}")

    def _machines_in_use(self) -> list[tuple[str, CapacityPool]]:
        """Return the known machines that have tasks."""
        return [
            (name, record.pool)
            for name in self.cluster_state.tasks_by_machine
            if (record := self.cluster_state.machines.get(name)) is not None
        ]

    def _machines_to_empty(self) -> list[str]:
        """Return the machines whose services are to be migrated."""
        machines = [name for name, use in self.cluster_state.evacuating_machines.items() if use is MachineUse.DRAINING]
        policy_engine = self.context.policy_engine
        if policy_engine is not None and policy_engine.has_drains():
            machines += [
                name
                for name, pool in self._machines_in_use()
                if policy_engine.drain(name, pool) and name not in machines
            ]
        return machines

    def _finishes_in_time(self, job: Job, task: TaskRecord, until_s: int) -> bool:
        """Whether a task without checkpoints should run on, as it is estimated to end before its machine is reclaimed.

        If it were stopped it would have to start over.
        """
        now = self.context.wall_time.timestamp()
        if job.spec.checkpoint_s > 0 or job.spec.kind is not JobKind.ARRAY or until_s - now <= FINAL_STOP_LEAD_S:
            return False
        return job.spec.estimate_s - (now - task.placed_s) <= until_s - now

    def migrate_services(self, txn: TransactionBuilder) -> None:
        """Migrate service tasks off draining machines, a few at a time and only if they fit elsewhere."""
        own_name = self.context.name
        machines = self._machines_to_empty()
        if not machines:
            return
        if any(
            demand.service_jobs and self.membership.home(team) == own_name
            for team, demand in self.cluster_state.workload.teams.items()
        ):
            return
        max_moving = max(MIN_CONCURRENT_MOVES, len(self.cluster_state.machines) // MACHINES_PER_MOVE)
        moving = sum(
            task.state is TaskState.STOPPING and task.note.startswith(MOVED_NOTE_PREFIX)
            for job in self.cluster_state.jobs.values()
            if job.counts[TaskState.STOPPING]
            and job.spec.kind is JobKind.SERVICE
            and self.membership.job_home(job.spec) == own_name
            for _, task in job.placed_tasks()
        )
        guaranteed = self.cluster_state.guaranteed_jobs()
        self.candidate_cache.refresh(guaranteed)
        for name in machines:
            for (job_id, number), task in list(self.cluster_state.tasks_by_machine.get(name, {}).items()):
                if moving >= max_moving or not txn.has_room(1, 0):
                    return
                job = self.cluster_state.jobs[job_id]
                if job.spec.kind is not JobKind.SERVICE or task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self.membership.job_home(job.spec) != own_name:
                    continue
                offer = self._find_destination(job, job_id in guaranteed, self.cluster_state.machines[name].zone)
                if offer is not None and self.stop_task(txn, job, number, f"{MOVED_NOTE_PREFIX} {name}"):
                    self.candidate_cache.mark_planned(offer.candidate)
                    offer.candidate.allocate(
                        task_request(job, job_id in guaranteed, own_name), self.candidate_cache.priority_line
                    )
                    moving += 1

    def _find_destination(self, job: Job, guaranteed: bool, zone: str) -> Offer | None:
        """Return a machine that a service task from a zone can move to without evictions."""
        zones, cap = zone_counts_and_cap(self.cluster_state, job)
        zones[zone] = zones.get(zone, 0) - 1
        request = task_request(job, guaranteed, self.context.name)
        usable = [
            candidate
            for candidate in self.candidate_cache.usable(job)
            if candidate.fits(request)
            and zones.get(candidate.zone, 0) < cap
            and (not job.spec.one_zone or candidate.zone == zone)
        ]
        return self.low_priority.choose_offer(request, self.high_priority.rank_offers(request, usable))

    def stop_task(self, txn: TransactionBuilder, job: Job, number: int, note: str) -> bool:
        """Mark an active task as stopping; False if it is not active or the transaction is full."""
        task = txn.task(job, number)
        if (
            task.state is not TaskState.ACTIVE
            or self.cluster_state.unrecorded_exits.get((job.id, number)) == task.attempt
        ):
            return False
        if not txn.has_room(0 if txn.edits_chunk(job, number) else 1, 0):
            return False
        stopping = TaskRecord(TaskState.STOPPING, task.attempt, task.machine, task.failures, note[:24], task.placed_s)
        txn.set_task(job, number, stopping)
        txn.log_messages.append(f"{job.id}/{number}#{task.attempt} on {task.machine} is to stop: {note}")
        return True

    def stop_incomplete_gangs(self, txn: TransactionBuilder) -> None:
        """Stop the rest of gangs that have lost a task, so that they are queued whole."""
        for job in self.cluster_state.gang_jobs.values():
            if job.cancelled or not job.queued_count or not job.placed_count:
                continue
            if self.membership.job_home(job.spec) == self.context.name:
                for number, task in list(job.placed_tasks()):
                    if task.state is TaskState.ACTIVE:
                        self.stop_task(txn, job, number, "gang incomplete")

    def stop_task_or_gang(self, txn: TransactionBuilder, job: Job, number: int, note: str) -> bool:
        """Stop a task, or all placed tasks of its gang; False if none was stopped."""
        if job.spec.kind is not JobKind.GANG:
            return self.stop_task(txn, job, number, note)
        stopped = False
        for other, _ in list(job.placed_tasks()):
            stopped |= self.stop_task(txn, job, other, note)
        return stopped
