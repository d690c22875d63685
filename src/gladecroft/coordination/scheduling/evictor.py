"""Stops tasks: for preemption, on machines that are reclaimed, faulty or drained, and of incomplete gangs.

A team's home controller, which alone places the team's tasks, is also the one that stops them. The controller that owns
the machine does not, so that the task records of a team's jobs have one writer.
"""

from __future__ import annotations

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineLifecycle, TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.placement import Offer
from gladecroft.coordination.scheduling.selection import MachineSelector, task_request, zone_counts_and_cap
from gladecroft.policies import PolicyEngine
from gladecroft.protocol.wire import JobKind

#: Start of the note of a service task that is being migrated; the id of the machine that it leaves follows.
MOVED_NOTE_PREFIX = "moved from"
#: Time before a machine is reclaimed at which the tasks still running there are stopped, so that their exits are known.
FINAL_STOP_LEAD_S = 3.0
#: This many service tasks of a home controller may be migrated at the same time, or one for every
#: ``MACHINES_PER_MIGRATION`` machines of the fleet if that is more.
MIN_CONCURRENT_MIGRATIONS = 2
MACHINES_PER_MIGRATION = 20


class Evictor:
    """Marks tasks as stopping.

    Services on draining machines are stopped only if they can start on another machine, unless the deadline of a
    policy's drain is near.
    """

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
        self.high_priority_placer = selector.high_priority_placer
        self.low_priority_placer = selector.low_priority_placer

    def drain(self, txn: TransactionBuilder) -> None:
        """Stop this controller's tasks on machines that are being reclaimed, are faulty or are drained by a policy."""
        for machine_id, lifecycle in self.cluster_state.evacuating_machines.items():
            if lifecycle is MachineLifecycle.DRAINING:
                continue
            # Fixed words of the stored notes: "notice" means a reclaim notice, "bad machine" a faulty machine.
            reason = "notice" if lifecycle is MachineLifecycle.RECLAIMING else "bad machine"
            until_s = self.cluster_state.machines[machine_id].until_s if lifecycle is MachineLifecycle.RECLAIMING else 0
            for (job_id, task_number), task in list(self.cluster_state.tasks_by_machine.get(machine_id, {}).items()):
                job = self.cluster_state.jobs[job_id]
                if task.state is not TaskState.ACTIVE or job.cancelled or self._finishes_in_time(job, task, until_s):
                    continue
                if self.membership.job_home(job.spec) == self.context.name:
                    self.stop_task(txn, job, task_number, f"{reason} {machine_id}")

        if self.context.policy_engine is not None and self.context.policy_engine.has_drains():
            self._drain_by_policy(txn, self.context.policy_engine)

    def _drain_by_policy(self, txn: TransactionBuilder, policy_engine: PolicyEngine) -> None:
        """Stop tasks that do not end in time once the checkpoint grace before the deadline of a drain has begun."""
        for machine_id, pool in self._machines_with_tasks():
            drain = policy_engine.drain(machine_id, pool)
            if drain is None or policy_engine.wall_now < drain.deadline - drain.checkpoint_grace:
                continue
            for (job_id, task_number), task in list(self.cluster_state.tasks_by_machine.get(machine_id, {}).items()):
                job = self.cluster_state.jobs[job_id]
                if task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self._finishes_in_time(job, task, int(drain.deadline.timestamp())):
                    continue
                if self.membership.job_home(job.spec) == self.context.name:
                    self.stop_task_or_gang(txn, job, task_number, f"drained {machine_id}")

    def _machines_with_tasks(self) -> list[tuple[str, CapacityPool]]:
        """Return the machines with placed tasks, and the capacity pool of each."""
        return [
            (machine_id, record.pool)
            for machine_id in self.cluster_state.tasks_by_machine
            if (record := self.cluster_state.machines.get(machine_id)) is not None
        ]

    def _draining_machines(self) -> list[str]:
        """Return the machines that are draining or that a policy drains; their services are to be migrated."""
        machines = [
            machine_id
            for machine_id, lifecycle in self.cluster_state.evacuating_machines.items()
            if lifecycle is MachineLifecycle.DRAINING
        ]
        policy_engine = self.context.policy_engine
        if policy_engine is not None and policy_engine.has_drains():
            machines += [
                machine_id
                for machine_id, pool in self._machines_with_tasks()
                if policy_engine.drain(machine_id, pool) and machine_id not in machines
            ]
        return machines

    def _finishes_in_time(self, job: Job, task: TaskRecord, until_s: int) -> bool:
        """Whether an array task without checkpoints may run on, since it is estimated to end by ``until_s``.

        ``until_s`` is the wall-clock time at which the machine is reclaimed or must be empty. A stopped task without
        checkpoints has to start over.
        """
        now_wall_s = self.context.wall_time.timestamp()
        if job.spec.checkpoint_s > 0 or job.spec.kind is not JobKind.ARRAY or until_s - now_wall_s <= FINAL_STOP_LEAD_S:
            return False
        return job.spec.estimate_s - (now_wall_s - task.placed_s) <= until_s - now_wall_s

    def migrate_services(self, txn: TransactionBuilder) -> None:
        """Migrate service tasks off draining machines, a few at a time and only if they fit elsewhere.

        Nothing is migrated while services of teams that this controller places have queued tasks.
        """
        own_name = self.context.name
        machines = self._draining_machines()
        if not machines:
            return
        if any(
            demand.service_jobs and self.membership.home(team) == own_name
            for team, demand in self.cluster_state.workload.teams.items()
        ):
            return
        max_migrating = max(MIN_CONCURRENT_MIGRATIONS, len(self.cluster_state.machines) // MACHINES_PER_MIGRATION)
        migrating = sum(
            task.state is TaskState.STOPPING and task.note.startswith(MOVED_NOTE_PREFIX)
            for job in self.cluster_state.jobs.values()
            if job.counts[TaskState.STOPPING]
            and job.spec.kind is JobKind.SERVICE
            and self.membership.job_home(job.spec) == own_name
            for _, task in job.placed_tasks()
        )
        guaranteed_job_ids = self.cluster_state.guaranteed_job_ids()
        self.candidate_cache.refresh(guaranteed_job_ids)
        for machine_id in machines:
            for (job_id, task_number), task in list(self.cluster_state.tasks_by_machine.get(machine_id, {}).items()):
                if migrating >= max_migrating or not txn.has_room(1, 0):
                    return
                job = self.cluster_state.jobs[job_id]
                if job.spec.kind is not JobKind.SERVICE or task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self.membership.job_home(job.spec) != own_name:
                    continue
                offer = self._find_destination(
                    job, job_id in guaranteed_job_ids, self.cluster_state.machines[machine_id].zone
                )
                if offer is not None and self.stop_task(txn, job, task_number, f"{MOVED_NOTE_PREFIX} {machine_id}"):
                    self.candidate_cache.invalidate(offer.candidate)
                    offer.candidate.allocate(
                        task_request(job, job_id in guaranteed_job_ids, own_name),
                        self.candidate_cache.max_high_priority_rank,
                    )
                    migrating += 1

    def _find_destination(self, job: Job, uses_guarantee: bool, zone: str) -> Offer | None:
        """Return a machine to which a service task now in ``zone`` can be migrated without evictions."""
        tasks_by_zone, max_per_zone = zone_counts_and_cap(self.cluster_state, job)
        tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) - 1
        request = task_request(job, uses_guarantee, self.context.name)
        usable = [
            candidate
            for candidate in self.candidate_cache.usable(job)
            if candidate.fits(request)
            and tasks_by_zone.get(candidate.zone, 0) < max_per_zone
            and (not job.spec.one_zone or candidate.zone == zone)
        ]
        return self.low_priority_placer.choose_offer(request, self.high_priority_placer.rank_offers(request, usable))

    def stop_task(self, txn: TransactionBuilder, job: Job, task_number: int, note: str) -> bool:
        """Mark an active task as stopping; False if it is not active, has ended or the transaction is full."""
        task = txn.task(job, task_number)
        if (
            task.state is not TaskState.ACTIVE
            or self.cluster_state.unrecorded_exits.get((job.id, task_number)) == task.attempt
        ):
            return False
        if not txn.has_room(0 if txn.edits_chunk(job, task_number) else 1, 0):
            return False
        stopping = TaskRecord(TaskState.STOPPING, task.attempt, task.machine, task.failures, note[:24], task.placed_s)
        txn.set_task(job, task_number, stopping)
        txn.log_messages.append(f"{job.id}/{task_number}#{task.attempt} on {task.machine} is to stop: {note}")
        return True

    def stop_incomplete_gangs(self, txn: TransactionBuilder) -> None:
        """Stop the remaining tasks of gangs that have lost some, so that all tasks of the gang are queued together."""
        for job in self.cluster_state.gang_jobs.values():
            if job.cancelled or not job.queued_count or not job.placed_count:
                continue
            if self.membership.job_home(job.spec) == self.context.name:
                for task_number, task in list(job.placed_tasks()):
                    if task.state is TaskState.ACTIVE:
                        self.stop_task(txn, job, task_number, "gang incomplete")

    def stop_task_or_gang(self, txn: TransactionBuilder, job: Job, task_number: int, note: str) -> bool:
        """Stop a task, or all placed tasks of its gang; False if none was stopped."""
        if job.spec.kind is not JobKind.GANG:
            return self.stop_task(txn, job, task_number, note)
        stopped = False
        for other_number, _ in list(job.placed_tasks()):
            stopped |= self.stop_task(txn, job, other_number, note)
        return stopped
