"""The leader's round: see to it that the fleet is what the work needs."""

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
from gladecroft.coordination.fleet.packing import Bin, BinPool, PackingConstraints, RentalPlan, empty_bin
from gladecroft.coordination.fleet.reconciler import MachineReconciler
from gladecroft.coordination.fleet.sizing import IdleMachine, dear_room, fits_elsewhere, to_give_back
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling import MOVED_NOTE_PREFIX, Scheduler
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.policies.interface import Demand
from gladecroft.protocol.wire import JobKind

log = logging.getLogger(__name__)

PLAN_EVERY = timedelta(seconds=1)
#: The share of a class's patience within which its waiting work should be through.
DEAR_AFTER = 1.0
#: Machines are emptied only after nothing has waited or booted for this long, and if at most this share is used.
CALM = timedelta(seconds=4)
MOSTLY_FREE = 0.5
#: For so many machines, one booting and one machine's worth of waiting work are nothing out of the ordinary.
MACHINES_PER_FEW = 50
#: How many of the least used machines are tried each time.
EMPTYING_TRIES = 6


class Autoscaler:
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
        self._plan_at = timedelta(days=-1)
        self._calm_since = timedelta()

    def epoch_changed(self) -> None:
        if (
            not self.membership.is_member()
            or self.cluster_state.epoch is None
            or self.cluster_state.epoch.leader != self.context.name
        ):
            self.cloud_client.forget()
            self.reconciler.forget()
            self._idle_since.clear()

    def tick(self) -> None:
        now = self.context.now
        self.cloud_client.look()
        if not self.membership.is_leader() or not self.scheduler.types:
            return
        self.cloud_client.look_through()
        if self.cloud_client.list_complete and now - self._plan_at >= PLAN_EVERY:
            self._plan_at = now
            self.reconciler.look()
            if not self.reconciler.may_be_told_more():
                self._plan()
        self.cloud_client.send_bookings()

    def _plan(self) -> None:
        now, scheduler = self.context.now, self.scheduler
        waiting = self.cluster_state.workload
        bins = self._bins()
        for booking in self.cloud_client.bookings.values():
            kind = scheduler.types.get(booking.pool[0])
            if kind is not None:
                bins += [empty_bin(booking.pool, kind) for _ in range(booking.count)]
        dear_cpus = self._dear_room(bins)
        scheduler.pending.refresh(self.context.wall_time.timestamp())
        scheduler.candidate_cache.refresh(self.cluster_state.guaranteed_jobs())
        # Only bins that can still hold something are looked through.
        room = BinPool(bins, waiting.smallest_task_cpus())
        plan = RentalPlan(self._terms(), room, dear_cpus, scheduler.low_priority_headroom(), self._count_zones())
        tiers, round_ = scheduler.start_round()
        for job, row in round_:
            if scheduler.is_held(job):
                continue
            few = scheduler.start_limit(job, row)
            if few == 0:
                continue
            if tiers is not None:
                tiers.add_planned(row.group, job.queued_count * job.spec.cpus)
            filled = plan.place(job, job.priority_rank <= scheduler.priority_line or row.uses_guarantee, few)
            if not filled and few is None and round_.mark_infeasible(row, job):
                round_.skip(row)
        if self.context.panel is not None:
            for demand in self.context.panel.demand():
                if self._is_time_for(demand):
                    plan.keep(demand, bins, lambda name, sort: self._shut(name, sort) is not None)
        self.cloud_client.rent(plan.to_rent)
        # Machines that waiting work is about to take are not idle.
        self._give_back(now, {bin.machine for bin in bins if bin.machine and bin.taken})
        self._consolidate(
            now, bool(plan.to_rent) or not self._few(waiting.queued_cpus), bool(self.cluster_state.queued_jobs)
        )
        for name in [name for name in self._idle_since if name not in self.cluster_state.machines]:
            del self._idle_since[name]

    def capacity(self) -> ResourceVector:
        """Cores, cards and GB of the machines that are up or coming."""
        total = [0.0, 0.0, 0.0]
        sorts = [record.type for record in self.cluster_state.machines.values() if record.use is MachineUse.UP]
        sorts += [coming.pool[0] for coming in self.cloud_client.coming.values()]
        for name, count in Counter(sorts).items():
            kind = self.scheduler.types.get(name)
            if kind is not None:
                for index, each in enumerate((kind.cpus, kind.gpus, kind.memory_gb)):
                    total[index] += count * each
        return tuple(total)

    def _terms(self) -> PackingConstraints:
        return PackingConstraints(
            self.scheduler.types,
            self.scheduler.machine_allowed,
            self.scheduler.zone_counts_and_cap,
            self._limit_room,
            self.cloud_client.closed(),
            self.cloud_client.at_most,
            None if self.context.panel is None else self._lets,
        )

    def _lets(self, job: Job, machine: str, pool: CapacityPool) -> bool:
        panel = self.context.panel
        return panel is None or panel.refusal(job, machine, pool) is None

    def _shut(self, machine: str, pool: CapacityPool) -> str | None:
        """Why a policy lets nothing new go to a machine, whatever it is."""
        return None if self.context.panel is None else self.context.panel.shut(machine, pool)

    def _is_time_for(self, demand: Demand) -> bool:
        """Whether room that is wanted at an instant must be seen to now: machines take their time to boot."""
        boots = [
            kind.boot_s
            for kind in self.scheduler.types.values()
            if any(demand.suits(kind.name, zone) for zone in kind.zones)
        ]
        lead = timedelta(seconds=1.5 * max(boots, default=0.0)) + 2 * self.context.report_interval + PLAN_EVERY
        return demand.at - self.context.wall_time <= lead

    # Values for the decisions --------------------------------------------------------------------------------

    def _bins(self) -> list[Bin]:
        """What is up or coming, with its free room."""
        bins: list[Bin] = []
        for name, record in self.cluster_state.machines.items():
            kind = self.scheduler.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP:
                continue
            cpus, gpus, memory = self.cluster_state.used_on(name)
            bins.append(
                Bin(
                    record.pool,
                    kind.cpus - cpus,
                    kind.gpus - gpus,
                    kind.memory_gb - memory,
                    name,
                    self.cluster_state.top_rank_on(name) <= self.scheduler.priority_line,
                )
            )
        for coming in self.cloud_client.coming.values():
            kind = self.scheduler.types.get(coming.pool[0])
            # A boot that takes much too long is not counted on.
            if kind is not None and self.context.now - coming.since < timedelta(seconds=2 * kind.boot_s + 5):
                bins.append(empty_bin(coming.pool, kind))
        return bins

    def _count_zones(self) -> dict[str, int]:
        """How many machines each zone has or is to have."""
        in_zone: dict[str, int] = {}
        for record in self.cluster_state.machines.values():
            if record.use not in (MachineUse.RETURNED, MachineUse.RETURNING):
                in_zone[record.zone] = in_zone.get(record.zone, 0) + 1
        for coming in self.cloud_client.coming.values():
            in_zone[coming.pool[1]] = in_zone.get(coming.pool[1], 0) + 1
        return in_zone

    def _limit_room(self, team: str) -> float:
        """How many more cores the team's limit lets its tasks take."""
        most = self.cluster_state.limits[team].cpus_max
        return most - self.cluster_state.used_by_team(team)[0] if most else math.inf

    def _dear_room(self, bins: list[Bin]) -> float:
        def held(machine: str) -> float:
            return sum(
                self.cluster_state.jobs[name].spec.cpus
                for name, _ in self.cluster_state.tasks_by_machine.get(machine, {})
                if self.cluster_state.jobs[name].spec.kind is JobKind.SERVICE
            )

        cpus_of = {kind.name: kind.cpus for kind in self.scheduler.types.values()}
        patience = self.scheduler.ordering.target_wait
        return dear_room(
            self.cluster_state.workload.spot_work, bins, cpus_of, held, self._limit_room, patience, DEAR_AFTER
        )

    def _used_cpus(self) -> float:
        return sum(self.cluster_state.used_on(name)[0] for name in self.cluster_state.machines)

    def _price(self, record: MachineRecord) -> float:
        kind = self.scheduler.types[record.type]
        return kind.spot_price if record.spot else kind.price

    def _few(self, waiting_cpus: float) -> bool:
        """Whether no more waits and boots than what a fleet of this size always has. In a small one: nothing."""
        few = len(self.cluster_state.machines) // MACHINES_PER_FEW
        if len(self.cloud_client.coming) > few or len(self.cloud_client.bookings) > few:
            return False
        per_machine = max((kind.cpus for kind in self.scheduler.types.values()), default=0.0)
        return waiting_cpus <= few * per_machine + 1e-6

    # Giving back ---------------------------------------------------------------------------------------------

    def _give_back(self, now: timedelta, needed: set[str]) -> None:
        idle: list[IdleMachine] = []
        used = free = 0.0
        for name, record in self.cluster_state.machines.items():
            kind = self.scheduler.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP:
                continue
            cpus = self.cluster_state.used_on(name)[0]
            used += cpus
            # What takes nothing new is no reserve for what comes.
            room = 0.0 if self._shut(name, record.pool) else kind.cpus
            free += room - cpus if room else 0.0
            if self.cluster_state.top_rank_on(name) != NO_RANK or name in needed:
                self._idle_since.pop(name, None)
                continue
            since = self._idle_since.setdefault(name, now)
            idle.append(IdleMachine(self._price(record), name, now - since, room))
        operator_settings = self.context.operator_settings
        chosen = to_give_back(
            idle,
            len(self.cluster_state.machines),
            free,
            operator_settings.machine_reserve * used,
            timedelta(seconds=operator_settings.machine_idle),
        )
        alone, at_once = self._places_all(), list[str]()
        for name in chosen:
            log.info("%s is idle: giving it back", name)
            if alone and name in self.cluster_state.reported_machines:
                at_once.append(name)
            else:
                # Its record changes first, so that nobody places on it any more; then it is returned.
                self._set_use(name, MachineUse.RETURNING)
        if at_once:
            self.cloud_client.give_back(at_once)

    def _places_all(self) -> bool:
        """Whether nobody else places anything, and nothing is being placed right now: then a machine on which there is
        nothing can be returned with no word to anybody before."""
        return not self.state_writer.commit_pending and all(
            self.membership.home(team) == self.context.name and self.state_writer.holds_claim(team)
            for team in self.cluster_state.limits
        )

    def _set_use(self, name: str, use: MachineUse) -> None:
        self.state_writer.put_machine(name, msgspec.structs.replace(self.cluster_state.machines[name], use=use))

    # Emptying ------------------------------------------------------------------------------------------------

    def _consolidate(self, now: timedelta, short: bool, waiting: bool) -> None:
        """Empty a little-used machine whose services fit elsewhere; if work waits, take such machines back into use.

        In a large fleet something always waits for a moment and some machine always boots: there a few don't matter.
        """
        emptying = [name for name, use in self.cluster_state.evacuating_machines.items() if use is MachineUse.DRAINING]
        if short:
            self._calm_since = now
            # Services on the move wait for a moment too: only what finds no room brings the machine back.
            if waiting and emptying and any(self._stuck(job) for job in self.cluster_state.queued_jobs.values()):
                for name in emptying:
                    self._set_use(name, MachineUse.UP)
            return
        if not self.context.operator_settings.machine_consolidate or now - self._calm_since < CALM:
            return
        if len(emptying) > len(self.cluster_state.machines) // 12:
            return
        for name, residents in self._least_used():
            record = self.cluster_state.machines[name]
            bins = [
                bin
                for bin in self._bins()
                if bin.machine and bin.machine != name and not self._shut(bin.machine, bin.sort)
            ]
            reserve = self.context.operator_settings.machine_reserve * self._used_cpus()
            if fits_elsewhere(
                record.zone,
                residents,
                bins,
                reserve,
                self.scheduler.machine_allowed,
                self.scheduler.zone_counts_and_cap,
            ):
                log.info("%s is little used: emptying it", name)
                self._set_use(name, MachineUse.DRAINING)
                return

    def _least_used(self) -> list[tuple[str, list[Job]]]:
        """The machines that cost most for the fewest services on them, with what is there."""
        candidates: list[tuple[float, str, list[Job]]] = []
        for name in self.cluster_state.tasks_by_machine:
            known = self.cluster_state.machines.get(name)
            kind = None if known is None else self.scheduler.types.get(known.type)
            if known is None or kind is None or known.use is not MachineUse.UP:
                continue
            residents = [self.cluster_state.jobs[job] for job, _ in self.cluster_state.tasks_by_machine[name]]
            services = sum(job.spec.kind is JobKind.SERVICE for job in residents)
            if services and self.cluster_state.used_on(name)[0] > MOSTLY_FREE * kind.cpus:
                continue
            candidates.append((self._price(known) / (1 + services), name, residents))
        candidates.sort(key=lambda candidate: candidate[:2], reverse=True)
        return [(name, residents) for _, name, residents in candidates[:EMPTYING_TRIES]]

    def _stuck(self, job: Job) -> bool:
        """Work that waits, and not just because it is being moved."""
        return job.queued_count > 0 and not any(
            task.note.startswith(MOVED_NOTE_PREFIX) for chunk in job.chunks.values() for task in chunk
        )
