"""Autoscaler: the leader fits the fleet to the work by renting and returning machines."""

from __future__ import annotations

import logging
import math
from collections import Counter
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.cluster_state import NO_RANK
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineRecord, MachineUse
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
from gladecroft.policies.interface import CapacityDemand
from gladecroft.protocol.wire import JobKind

log = logging.getLogger(__name__)

PLAN_INTERVAL = timedelta(seconds=1)
#: Expensive machines are rented if a class's queued work cannot complete within this fraction of its target wait
#: otherwise.
EXPENSIVE_WAIT_FRACTION = 1.0
#: Machines are drained only after the load has been negligible for this long, and if at most this fraction of their
#: cores is in use.
CONSOLIDATION_DELAY = timedelta(seconds=4)
MAX_CONSOLIDATION_USE = 0.5
#: One booting machine and one machine's worth of queued work are negligible per so many machines in the fleet.
NEGLIGIBLE_LOAD_DIVISOR = 50
#: Candidates that are examined in each round.
MAX_CONSOLIDATION_CANDIDATES = 6


class Autoscaler:
    """Plans once a second, while this controller leads, which machines to rent, drain and return."""

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
        """Drop the leader's state if this controller no longer leads."""
        if (
            not self.membership.is_member()
            or self.cluster_state.epoch is None
            or self.cluster_state.epoch.leader != self.context.name
        ):
            self.cloud_client.reset()
            self.reconciler.reset()
            self._idle_since.clear()

    def tick(self) -> None:
        """Refresh the machine types; as leader also plan and send the rental requests."""
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
        """Pack the queued work into the fleet, rent what is missing, and return or drain what is not needed."""
        now, scheduler = self.context.now, self.scheduler
        workload = self.cluster_state.workload
        bins = self._bins()
        for rental in self.cloud_client.rentals.values():
            machine_type = scheduler.types.get(rental.pool[0])
            if machine_type is not None:
                bins += [empty_bin(rental.pool, machine_type) for _ in range(rental.count)]
        expensive_cpus = self._expensive_cpu_budget(bins)
        scheduler.pending.refresh(self.context.wall_time.timestamp())
        scheduler.candidate_cache.refresh(self.cluster_state.guaranteed_jobs())
        # The bin pool keeps only bins that can hold at least the smallest queued task.
        bin_pool = BinIndex(bins, workload.smallest_task_cpus())
        plan = RentalPlan(
            self._constraints(), bin_pool, expensive_cpus, scheduler.low_priority_headroom(), self._machines_per_zone()
        )
        tiers, pending_jobs = scheduler.start_round()
        for job, subqueue in pending_jobs:
            if scheduler.is_held(job):
                continue
            max_starts = scheduler.start_limit(job, subqueue)
            if max_starts == 0:
                continue
            if tiers is not None:
                tiers.add_planned(subqueue.group, job.queued_count * job.spec.cpus)
            placed = plan.place(
                job, job.priority_rank <= scheduler.priority_line or subqueue.uses_guarantee, max_starts
            )
            if not placed and max_starts is None and pending_jobs.mark_infeasible(subqueue, job):
                pending_jobs.skip(subqueue)
        if self.context.policy_engine is not None:
            for demand in self.context.policy_engine.capacity_demands():
                if self._is_due(demand):
                    plan.reserve(demand, bins, lambda name, pool: self._closed_by_policy(name, pool) is not None)
        self.cloud_client.rent(plan.to_rent)
        # Machines on which queued work will be placed are not idle.
        self._return_idle(now, {bin.machine for bin in bins if bin.machine and bin.used})
        self._consolidate(
            now,
            bool(plan.to_rent) or not self._load_is_negligible(workload.queued_cpus),
            bool(self.cluster_state.queued_jobs),
        )
        for name in [name for name in self._idle_since if name not in self.cluster_state.machines]:
            del self._idle_since[name]

    def capacity(self) -> ResourceVector:
        """Cores, GPUs and GB of memory of the machines that are up or pending."""
        total = [0.0, 0.0, 0.0]
        type_names = [record.type for record in self.cluster_state.machines.values() if record.use is MachineUse.UP]
        type_names += [machine.pool[0] for machine in self.cloud_client.pending.values()]
        for name, count in Counter(type_names).items():
            machine_type = self.scheduler.types.get(name)
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

    def _policy_allows(self, job: Job, machine: str, pool: CapacityPool) -> bool:
        policy_engine = self.context.policy_engine
        return policy_engine is None or policy_engine.rejection_reason(job, machine, pool) is None

    def _closed_by_policy(self, machine: str, pool: CapacityPool) -> str | None:
        """Why a policy closes the machine to all new tasks; None if none does."""
        return (
            None if self.context.policy_engine is None else self.context.policy_engine.exclusion_reason(machine, pool)
        )

    def _is_due(self, demand: CapacityDemand) -> bool:
        """Whether capacity demanded at a given time must be reserved now, because machines take time to boot."""
        boot_times = [
            machine_type.boot_s
            for machine_type in self.scheduler.types.values()
            if any(demand.matches(machine_type.name, zone) for zone in machine_type.zones)
        ]
        lead_time = (
            timedelta(seconds=1.5 * max(boot_times, default=0.0)) + 2 * self.context.report_interval + PLAN_INTERVAL
        )
        return demand.needed_at - self.context.wall_time <= lead_time

    # Inputs of the decisions ---------------------------------------------------------------------------------

    def _bins(self) -> list[Bin]:
        """The free capacity of each machine that is up or pending."""
        bins: list[Bin] = []
        for name, record in self.cluster_state.machines.items():
            machine_type = self.scheduler.types.get(record.type)
            if machine_type is None or record.use is not MachineUse.UP:
                continue
            cpus, gpus, memory = self.cluster_state.used_on(name)
            bins.append(
                Bin(
                    record.pool,
                    machine_type.cpus - cpus,
                    machine_type.gpus - gpus,
                    machine_type.memory_gb - memory,
                    name,
                    self.cluster_state.top_rank_on(name) <= self.scheduler.priority_line,
                )
            )
        for machine in self.cloud_client.pending.values():
            machine_type = self.scheduler.types.get(machine.pool[0])
            # Machines that take much too long to boot are not counted on.
            if machine_type is not None and self.context.now - machine.rented_at < timedelta(
                seconds=2 * machine_type.boot_s + 5
            ):
                bins.append(empty_bin(machine.pool, machine_type))
        return bins

    def _machines_per_zone(self) -> dict[str, int]:
        """The number of machines in each zone, including pending ones."""
        counts: dict[str, int] = {}
        for record in self.cluster_state.machines.values():
            if record.use not in (MachineUse.RETURNED, MachineUse.RETURNING):
                counts[record.zone] = counts.get(record.zone, 0) + 1
        for machine in self.cloud_client.pending.values():
            counts[machine.pool[1]] = counts.get(machine.pool[1], 0) + 1
        return counts

    def _remaining_limit(self, team: str) -> float:
        """How many more cores the team's limit allows its tasks to use."""
        limit = self.cluster_state.limits[team].cpus_max
        return limit - self.cluster_state.used_by_team(team)[0] if limit else math.inf

    def _expensive_cpu_budget(self, bins: list[Bin]) -> float:
        """How many cores may be rented on expensive machines in this round."""

        def service_cpus(machine: str) -> float:
            return sum(
                self.cluster_state.jobs[name].spec.cpus
                for name, _ in self.cluster_state.tasks_by_machine.get(machine, {})
                if self.cluster_state.jobs[name].spec.kind is JobKind.SERVICE
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
        return sum(self.cluster_state.used_on(name)[0] for name in self.cluster_state.machines)

    def _hourly_price(self, record: MachineRecord) -> float:
        machine_type = self.scheduler.types[record.type]
        return machine_type.spot_price if record.spot else machine_type.price

    def _load_is_negligible(self, queued_cpus: float) -> bool:
        """Whether no more work is queued and no more machines boot than is usual for a fleet of this size.

        In a fleet of fewer than ``NEGLIGIBLE_LOAD_DIVISOR`` machines neither is tolerated.
        """
        tolerated = len(self.cluster_state.machines) // NEGLIGIBLE_LOAD_DIVISOR
        if len(self.cloud_client.pending) > tolerated or len(self.cloud_client.rentals) > tolerated:
            return False
        largest_cpus = max((machine_type.cpus for machine_type in self.scheduler.types.values()), default=0.0)
        return queued_cpus <= tolerated * largest_cpus + 1e-6

    # Returning idle machines ---------------------------------------------------------------------------------

    def _return_idle(self, now: timedelta, reserved: set[str]) -> None:
        """Return machines that have been idle long enough, except ``reserved`` ones."""
        idle: list[IdleMachine] = []
        total_used = total_free = 0.0
        for name, record in self.cluster_state.machines.items():
            machine_type = self.scheduler.types.get(record.type)
            if machine_type is None or record.use is not MachineUse.UP:
                continue
            used_cpus = self.cluster_state.used_on(name)[0]
            total_used += used_cpus
            # A machine closed to new tasks is no reserve for future work.
            usable_cpus = 0.0 if self._closed_by_policy(name, record.pool) else machine_type.cpus
            total_free += usable_cpus - used_cpus if usable_cpus else 0.0
            if self.cluster_state.top_rank_on(name) != NO_RANK or name in reserved:
                self._idle_since.pop(name, None)
                continue
            since = self._idle_since.setdefault(name, now)
            idle.append(IdleMachine(self._hourly_price(record), name, now - since, usable_cpus))
        operator_settings = self.context.operator_settings
        chosen = select_idle_to_return(
            idle,
            len(self.cluster_state.machines),
            total_free,
            operator_settings.machine_reserve * total_used,
            timedelta(seconds=operator_settings.machine_idle),
        )
        is_only_scheduler, return_now = self._is_only_scheduler(), list[str]()
        for name in chosen:
            log.info("%s is idle: returning it", name)
            if is_only_scheduler and name in self.cluster_state.reported_machines:
                return_now.append(name)
            else:
                # The record changes first so that no controller places on the machine; then it is returned.
                self._set_use(name, MachineUse.RETURNING)
        if return_now:
            self.cloud_client.return_machines(return_now)

    def _is_only_scheduler(self) -> bool:
        """Whether no other controller places tasks and no placement is in flight here: then an empty machine can be
        returned without marking its record first."""
        return not self.state_writer.commit_pending and all(
            self.membership.home(team) == self.context.name and self.state_writer.holds_claim(team)
            for team in self.cluster_state.limits
        )

    def _set_use(self, name: str, use: MachineUse) -> None:
        self.state_writer.put_machine(name, msgspec.structs.replace(self.cluster_state.machines[name], use=use))

    # Consolidation -------------------------------------------------------------------------------------------

    def _consolidate(self, now: timedelta, busy: bool, has_queued_jobs: bool) -> None:
        """Drain a little-used machine whose tasks fit elsewhere, or put draining machines back into use for new work.

        ``busy``: more work is queued or more machines boot than is negligible for a fleet of this size.
        """
        draining = [name for name, use in self.cluster_state.evacuating_machines.items() if use is MachineUse.DRAINING]
        if busy:
            self._busy_at = now
            # Services that are being moved are queued for a moment too; only other work brings the machines back.
            if (
                has_queued_jobs
                and draining
                and any(self._is_unplaced(job) for job in self.cluster_state.queued_jobs.values())
            ):
                for name in draining:
                    self._set_use(name, MachineUse.UP)
            return
        if not self.context.operator_settings.machine_consolidate or now - self._busy_at < CONSOLIDATION_DELAY:
            return
        if len(draining) > len(self.cluster_state.machines) // 12:
            return
        for name, placed_jobs in self._consolidation_candidates():
            record = self.cluster_state.machines[name]
            bins = [
                bin
                for bin in self._bins()
                if bin.machine and bin.machine != name and not self._closed_by_policy(bin.machine, bin.pool)
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
                log.info("%s is little used: draining it", name)
                self._set_use(name, MachineUse.DRAINING)
                return

    def _consolidation_candidates(self) -> list[tuple[str, list[Job]]]:
        """The machines with the highest price per service on them, each with the jobs that have tasks there."""
        candidates: list[tuple[float, str, list[Job]]] = []
        for name in self.cluster_state.tasks_by_machine:
            record = self.cluster_state.machines.get(name)
            machine_type = None if record is None else self.scheduler.types.get(record.type)
            if record is None or machine_type is None or record.use is not MachineUse.UP:
                continue
            placed_jobs = [self.cluster_state.jobs[job] for job, _ in self.cluster_state.tasks_by_machine[name]]
            services = sum(job.spec.kind is JobKind.SERVICE for job in placed_jobs)
            if services and self.cluster_state.used_on(name)[0] > MAX_CONSOLIDATION_USE * machine_type.cpus:
                continue
            candidates.append((self._hourly_price(record) / (1 + services), name, placed_jobs))
        candidates.sort(key=lambda candidate: candidate[:2], reverse=True)
        return [(name, placed_jobs) for _, name, placed_jobs in candidates[:MAX_CONSOLIDATION_CANDIDATES]]

    def _is_unplaced(self, job: Job) -> bool:
        """Whether the job has queued tasks, and none of its tasks is being moved."""
        return job.queued_count > 0 and not any(
            task.note.startswith(MOVED_NOTE_PREFIX) for chunk in job.chunks.values() for task in chunk
        )
