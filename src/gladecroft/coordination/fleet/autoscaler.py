"""Autoscaler: the leader adapts the fleet to the load by renting machines from the cloud and returning them to it."""

from __future__ import annotations

import logging
import math
from collections import Counter
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.cluster_state import NO_RANK
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineLifecycle, MachineRecord
from gladecroft.coordination.admission.drf import ResourceVector
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.fleet.cloud_client import CloudClient
from gladecroft.coordination.fleet.packing import Bin, BinIndex, PackingConstraints, RentalPlan, empty_bin
from gladecroft.coordination.fleet.reconciler import MachineReconciler
from gladecroft.coordination.fleet.sizing import (
    IdleMachine,
    expensive_cpu_budget,
    fits_elsewhere,
    select_idle_to_return,
)
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling import MOVED_NOTE_PREFIX, Scheduler
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.policies.interface import CapacityReservation
from gladecroft.protocol.wire import JobKind

log = logging.getLogger(__name__)

PLAN_INTERVAL = timedelta(seconds=1)
#: Expensive machines are rented if the queued tasks of a class could not be completed otherwise within this fraction of
#: the target wait of the class.
EXPENSIVE_WAIT_FRACTION = 1.0
#: Machines are drained to consolidate the fleet only after the load has been negligible for this long. A machine with
#: services is drained only if at most this fraction of its cores is used.
CONSOLIDATION_DELAY = timedelta(seconds=4)
MAX_CONSOLIDATION_UTILIZATION = 0.5
#: For each this many machines in the fleet, one booting machine and queued tasks with the cores of one machine are
#: negligible.
NEGLIGIBLE_LOAD_DIVISOR = 50
#: Machines that are examined for consolidation in each planning round.
MAX_CONSOLIDATION_CANDIDATES = 6


class Autoscaler:
    """Plans once per PLAN_INTERVAL, while this controller leads, which machines to rent, drain and return."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        state_writer: StateWriter,
        scheduler: Scheduler,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        self.scheduler = scheduler
        self.cloud_client = CloudClient(context, membership, machine_manager, scheduler.candidate_cache)
        self.reconciler = MachineReconciler(context, membership, machine_manager, state_writer, self.cloud_client)
        self._idle_since: dict[str, timedelta] = {}
        self._planned_at = timedelta(days=-1)
        self._busy_at = timedelta()

    def epoch_changed(self) -> None:
        """Discard the leader's state if this controller no longer leads."""
        if (
            not self.membership.is_member()
            or self.cluster_state.epoch is None
            or self.cluster_state.epoch.leader != self.context.name
        ):
            self.cloud_client.reset()
            self.reconciler.reset()
            self._idle_since.clear()

    def tick(self) -> None:
        """Refresh the machine types; on the leader, also plan and send the rental requests."""
        now = self.context.now
        self.cloud_client.refresh_types()
        if not self.membership.is_leader() or not self.scheduler.types:
            return
        self.cloud_client.refresh_list()
        if self.cloud_client.list_complete and now - self._planned_at >= PLAN_INTERVAL:
            self._planned_at = now
            self.reconciler.reconcile()
            if not self.reconciler.reports_outstanding():
                self._plan()
        self.cloud_client.send_rentals()

    def _plan(self) -> None:
        """Pack the queued tasks into the fleet, rent missing machines, and return or drain machines not needed."""
        now, scheduler = self.context.now, self.scheduler
        workload = self.cluster_state.workload
        bins = self._bins()
        for rental in self.cloud_client.rentals.values():
            machine_type = scheduler.types.get(rental.pool[0])
            if machine_type is not None:
                bins += [empty_bin(rental.pool, machine_type) for _ in range(rental.count)]
        expensive_cpus = self._expensive_cpu_budget(bins)
        scheduler.pending.refresh(self.context.wall_time.timestamp())
        scheduler.candidate_cache.refresh(self.cluster_state.guaranteed_job_ids())
        # The index keeps only bins that are large enough for the smallest queued task.
        bin_index = BinIndex(bins, workload.smallest_task_cpus())
        plan = RentalPlan(
            self._constraints(), bin_index, expensive_cpus, scheduler.low_priority_headroom(), self._machines_per_zone()
        )
        tiers, pending_jobs = scheduler.start_round()
        for job, subqueue in pending_jobs:
            if scheduler.is_held(job):
                continue
            max_starts = scheduler.start_limit(job, subqueue)
            if max_starts == 0:
                continue
            if tiers is not None:
                tiers.add_tentative_cpus(subqueue.group, job.queued_count * job.spec.cpus)
            placed = plan.place(
                job, job.priority_rank <= scheduler.max_high_priority_rank or subqueue.uses_guarantee, max_starts
            )
            if not placed and max_starts is None and pending_jobs.mark_unschedulable(subqueue, job):
                pending_jobs.skip(subqueue)
        if self.context.policy_engine is not None:
            for reservation in self.context.policy_engine.capacity_reservations():
                if self._is_due(reservation):
                    plan.reserve(
                        reservation, bins, lambda machine_id, pool: self._exclusion_reason(machine_id, pool) is not None
                    )
        self.cloud_client.rent(plan.to_rent)
        # Machines on which this round has tentatively placed queued tasks or reserved capacity are not idle.
        self._return_idle(now, {bin.machine_id for bin in bins if bin.machine_id and bin.used})
        self._consolidate(
            now,
            bool(plan.to_rent) or not self._load_is_negligible(workload.queued_cpus),
            bool(self.cluster_state.queued_jobs),
        )
        for machine_id in [
            machine_id for machine_id in self._idle_since if machine_id not in self.cluster_state.machines
        ]:
            del self._idle_since[machine_id]

    def capacity(self) -> ResourceVector:
        """Return the cores, GPUs and GB of memory of the machines that are up or pending (rented, not reported yet)."""
        total = [0.0, 0.0, 0.0]
        type_names = [
            record.type for record in self.cluster_state.machines.values() if record.lifecycle is MachineLifecycle.UP
        ]
        type_names += [machine.pool[0] for machine in self.cloud_client.pending.values()]
        for type_name, count in Counter(type_names).items():
            machine_type = self.scheduler.types.get(type_name)
            if machine_type is not None:
                for index, amount in enumerate((machine_type.cpus, machine_type.gpus, machine_type.memory_gb)):
                    total[index] += count * amount
        return tuple(total)

    def _constraints(self) -> PackingConstraints:
        return PackingConstraints(
            self.scheduler.types,
            self.scheduler.machine_allowed,
            self.scheduler.zone_counts_and_cap,
            self._remaining_limit,
            self.cloud_client.unavailable(),
            self.cloud_client.rental_caps,
            None if self.context.policy_engine is None else self._policy_allows,
        )

    def _policy_allows(self, job: Job, machine_id: str, pool: CapacityPool) -> bool:
        policy_engine = self.context.policy_engine
        return policy_engine is None or policy_engine.rejection_reason(job, machine_id, pool) is None

    def _exclusion_reason(self, machine_id: str, pool: CapacityPool) -> str | None:
        """Return why a policy excludes the machine from all new placements; None if no policy does."""
        return (
            None
            if self.context.policy_engine is None
            else self.context.policy_engine.exclusion_reason(machine_id, pool)
        )

    def _is_due(self, reservation: CapacityReservation) -> bool:
        """Return whether capacity that is needed later must be reserved now, since machines take time to boot."""
        boot_times = [
            machine_type.boot_s
            for machine_type in self.scheduler.types.values()
            if any(reservation.matches(machine_type.name, zone) for zone in machine_type.zones)
        ]
        lead_time = (
            timedelta(seconds=1.5 * max(boot_times, default=0.0)) + 2 * self.context.report_interval + PLAN_INTERVAL
        )
        return reservation.needed_at - self.context.wall_time <= lead_time

    # Inputs of the decisions ---------------------------------------------------------------------------------

    def _bins(self) -> list[Bin]:
        """Return the free capacity of each machine that is up, or pending and not long overdue."""
        bins: list[Bin] = []
        for machine_id, record in self.cluster_state.machines.items():
            machine_type = self.scheduler.types.get(record.type)
            if machine_type is None or record.lifecycle is not MachineLifecycle.UP:
                continue
            cpus, gpus, memory = self.cluster_state.used_on(machine_id)
            bins.append(
                Bin(
                    record.pool,
                    machine_type.cpus - cpus,
                    machine_type.gpus - gpus,
                    machine_type.memory_gb - memory,
                    machine_id,
                    self.cluster_state.top_rank_on(machine_id) <= self.scheduler.max_high_priority_rank,
                )
            )
        for machine in self.cloud_client.pending.values():
            machine_type = self.scheduler.types.get(machine.pool[0])
            # A machine that takes much longer to boot than its type's boot time is ignored: it may never report.
            if machine_type is not None and self.context.now - machine.rented_at < timedelta(
                seconds=2 * machine_type.boot_s + 5
            ):
                bins.append(empty_bin(machine.pool, machine_type))
        return bins

    def _machines_per_zone(self) -> dict[str, int]:
        """Return the number of machines in each zone, including pending machines."""
        counts: dict[str, int] = {}
        for record in self.cluster_state.machines.values():
            if record.lifecycle not in (MachineLifecycle.RETURNED, MachineLifecycle.RETURNING):
                counts[record.zone] = counts.get(record.zone, 0) + 1
        for machine in self.cloud_client.pending.values():
            counts[machine.pool[1]] = counts.get(machine.pool[1], 0) + 1
        return counts

    def _remaining_limit(self, team: str) -> float:
        """Return how many more cores the team's limit allows its tasks to use."""
        max_cpus = self.cluster_state.team_settings[team].cpus_max
        return max_cpus - self.cluster_state.used_by_team(team)[0] if max_cpus else math.inf

    def _expensive_cpu_budget(self, bins: list[Bin]) -> float:
        """Return how many cores may be rented on expensive machines in this round."""

        def service_cpus(machine_id: str) -> float:
            return sum(
                self.cluster_state.jobs[job_id].spec.cpus
                for job_id, _ in self.cluster_state.tasks_by_machine.get(machine_id, {})
                if self.cluster_state.jobs[job_id].spec.kind is JobKind.SERVICE
            )

        cpus_by_type = {machine_type.name: machine_type.cpus for machine_type in self.scheduler.types.values()}
        target_wait = self.scheduler.ordering.target_wait
        return expensive_cpu_budget(
            self.cluster_state.workload.spot_work,
            bins,
            cpus_by_type,
            service_cpus,
            self._remaining_limit,
            target_wait,
            EXPENSIVE_WAIT_FRACTION,
        )

    def _used_cpus(self) -> float:
        return sum(self.cluster_state.used_on(machine_id)[0] for machine_id in self.cluster_state.machines)

    def _hourly_price(self, record: MachineRecord) -> float:
        machine_type = self.scheduler.types[record.type]
        return machine_type.spot_price if record.spot else machine_type.price

    def _load_is_negligible(self, queued_cpus: float) -> bool:
        """Return whether the queued tasks, booting machines and rental requests are few for a fleet of this size.

        In a fleet of fewer than ``NEGLIGIBLE_LOAD_DIVISOR`` machines, any queued task, booting machine or rental
        request counts.
        """
        tolerated = len(self.cluster_state.machines) // NEGLIGIBLE_LOAD_DIVISOR
        if len(self.cloud_client.pending) > tolerated or len(self.cloud_client.rentals) > tolerated:
            return False
        largest_cpus = max((machine_type.cpus for machine_type in self.scheduler.types.values()), default=0.0)
        return queued_cpus <= tolerated * largest_cpus + 1e-6

    # Returning idle machines ---------------------------------------------------------------------------------

    def _return_idle(self, now: timedelta, reserved_machine_ids: set[str]) -> None:
        """Return idle machines to the cloud, except reserved ones and those that ``select_idle_to_return`` keeps."""
        idle: list[IdleMachine] = []
        total_used = total_free = 0.0
        for machine_id, record in self.cluster_state.machines.items():
            machine_type = self.scheduler.types.get(record.type)
            if machine_type is None or record.lifecycle is not MachineLifecycle.UP:
                continue
            used_cpus = self.cluster_state.used_on(machine_id)[0]
            total_used += used_cpus
            # A machine that is excluded from new placements does not count as reserve for future tasks.
            usable_cpus = 0.0 if self._exclusion_reason(machine_id, record.pool) else machine_type.cpus
            total_free += usable_cpus - used_cpus if usable_cpus else 0.0
            if self.cluster_state.top_rank_on(machine_id) != NO_RANK or machine_id in reserved_machine_ids:
                self._idle_since.pop(machine_id, None)
                continue
            since = self._idle_since.setdefault(machine_id, now)
            idle.append(IdleMachine(self._hourly_price(record), machine_id, now - since, usable_cpus))
        operator_settings = self.context.operator_settings
        chosen = select_idle_to_return(
            idle,
            len(self.cluster_state.machines),
            total_free,
            operator_settings.machine_reserve * total_used,
            timedelta(seconds=operator_settings.machine_idle),
        )
        is_only_scheduler, return_now = self._is_only_scheduler(), list[str]()
        for machine_id in chosen:
            log.info("machine %s is idle: returning it to the cloud", machine_id)
            if is_only_scheduler and machine_id in self.cluster_state.reported_machines:
                return_now.append(machine_id)
            else:
                # The record is changed first, so that no controller places tasks on the machine. The reconciler then
                # returns the machine.
                self._set_lifecycle(machine_id, MachineLifecycle.RETURNING)
        if return_now:
            self.cloud_client.return_machines(return_now)

    def _is_only_scheduler(self) -> bool:
        """Return whether this controller alone places tasks and has no commit in flight.

        That is the case if it is the home controller of all teams (the only one that schedules their jobs). An empty
        machine can then be returned without marking its record first.
        """
        return not self.state_writer.commit_pending and all(
            self.membership.home(team) == self.context.name and self.state_writer.holds_claim(team)
            for team in self.cluster_state.team_settings
        )

    def _set_lifecycle(self, machine_id: str, lifecycle: MachineLifecycle) -> None:
        self.state_writer.put_machine(
            machine_id, msgspec.structs.replace(self.cluster_state.machines[machine_id], lifecycle=lifecycle)
        )

    # Consolidation -------------------------------------------------------------------------------------------

    def _consolidate(self, now: timedelta, busy: bool, has_queued_jobs: bool) -> None:
        """Drain a machine whose tasks fit elsewhere, or stop draining if new tasks need capacity.

        ``busy``: the load is not negligible, or machines are to be rented.
        """
        draining = [
            machine_id
            for machine_id, lifecycle in self.cluster_state.evacuating_machines.items()
            if lifecycle is MachineLifecycle.DRAINING
        ]
        if busy:
            self._busy_at = now
            # Services that are being moved are queued for a moment too. Only other queued jobs end the draining.
            if (
                has_queued_jobs
                and draining
                and any(self._is_unplaced(job) for job in self.cluster_state.queued_jobs.values())
            ):
                for machine_id in draining:
                    self._set_lifecycle(machine_id, MachineLifecycle.UP)
            return
        if not self.context.operator_settings.machine_consolidate or now - self._busy_at < CONSOLIDATION_DELAY:
            return
        if len(draining) > len(self.cluster_state.machines) // 12:
            return
        for machine_id, placed_jobs in self._consolidation_candidates():
            record = self.cluster_state.machines[machine_id]
            bins = [
                bin
                for bin in self._bins()
                if bin.machine_id
                and bin.machine_id != machine_id
                and not self._exclusion_reason(bin.machine_id, bin.pool)
            ]
            reserve = self.context.operator_settings.machine_reserve * self._used_cpus()
            if fits_elsewhere(
                record.zone,
                placed_jobs,
                bins,
                reserve,
                self.scheduler.machine_allowed,
                self.scheduler.zone_counts_and_cap,
            ):
                log.info("draining machine %s: other machines have capacity for its tasks", machine_id)
                self._set_lifecycle(machine_id, MachineLifecycle.DRAINING)
                return

    def _consolidation_candidates(self) -> list[tuple[str, list[Job]]]:
        """Return the machines to consolidate first, with the job of each of their tasks.

        They have the highest price per service task on them, counting one more task. Machines with services and a high
        utilization are left out.
        """
        candidates: list[tuple[float, str, list[Job]]] = []
        for machine_id in self.cluster_state.tasks_by_machine:
            record = self.cluster_state.machines.get(machine_id)
            machine_type = None if record is None else self.scheduler.types.get(record.type)
            if record is None or machine_type is None or record.lifecycle is not MachineLifecycle.UP:
                continue
            placed_jobs = [
                self.cluster_state.jobs[job_id] for job_id, _ in self.cluster_state.tasks_by_machine[machine_id]
            ]
            services = sum(job.spec.kind is JobKind.SERVICE for job in placed_jobs)
            if (
                services
                and self.cluster_state.used_on(machine_id)[0] > MAX_CONSOLIDATION_UTILIZATION * machine_type.cpus
            ):
                continue
            candidates.append((self._hourly_price(record) / (1 + services), machine_id, placed_jobs))
        candidates.sort(key=lambda candidate: candidate[:2], reverse=True)
        return [(machine_id, placed_jobs) for _, machine_id, placed_jobs in candidates[:MAX_CONSOLIDATION_CANDIDATES]]

    def _is_unplaced(self, job: Job) -> bool:
        """Return whether the job has queued tasks and none of its tasks is being moved to another machine."""
        return job.queued_count > 0 and not any(
            task.note.startswith(MOVED_NOTE_PREFIX) for chunk in job.chunks.values() for task in chunk
        )
