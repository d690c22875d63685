"""The leader's round: see to it that the fleet is what the work needs."""

from __future__ import annotations

import logging
import math
from collections import Counter
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.cluster_state import NOBODY
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import MachineRecord, MachineSort, MachineUse
from gladecroft.coordination.admission.drf import Amounts
from gladecroft.coordination.context import Node
from gladecroft.coordination.fleet.cloud_client import Market
from gladecroft.coordination.fleet.packing import Bin, Plan, Room, Terms, empty_bin
from gladecroft.coordination.fleet.reconciler import Sight
from gladecroft.coordination.fleet.sizing import Idle, dear_room, fits_elsewhere, to_give_back
from gladecroft.coordination.machines import Keeper
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling import MOVED, Placers
from gladecroft.coordination.state_writer import Ledger
from gladecroft.policies.interface import Demand
from gladecroft.protocol.wire import Kind

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


class Fleet:
    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger, placers: Placers) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ledger = ledger
        self.placers = placers
        self.market = Market(node, membership, keeper, placers.floor)
        self.sight = Sight(node, membership, keeper, ledger, self.market)
        self._idle_since: dict[str, timedelta] = {}
        self._plan_at = timedelta(days=-1)
        self._calm_since = timedelta()

    def epoch_changed(self) -> None:
        if not self.membership.member() or self.picture.epoch is None or self.picture.epoch.leader != self.node.name:
            self.market.forget()
            self.sight.forget()
            self._idle_since.clear()

    def tick(self) -> None:
        now = self.node.now
        self.market.look()
        if not self.membership.leads() or not self.placers.types:
            return
        self.market.look_through()
        if self.market.list_complete and now - self._plan_at >= PLAN_EVERY:
            self._plan_at = now
            self.sight.look()
            if not self.sight.may_be_told_more():
                self._plan()
        self.market.send_bookings()

    def _plan(self) -> None:
        now, placers = self.node.now, self.placers
        waiting = self.picture.waiting
        bins = self._bins()
        for booking in self.market.bookings.values():
            kind = placers.types.get(booking.sort[0])
            if kind is not None:
                bins += [empty_bin(booking.sort, kind) for _ in range(booking.count)]
        dear_cpus = self._dear_room(bins)
        placers.lineup.refresh(self.node.wall.timestamp())
        placers.floor.refresh(self.picture.guaranteed())
        # Only bins that can still hold something are looked through.
        room = Room(bins, waiting.smallest())
        plan = Plan(self._terms(), room, dear_cpus, placers.spare_cpus(), self._count_zones())
        tiers, round_ = placers.begin()
        for job, row in round_:
            if placers.held(job):
                continue
            few = placers.few(job, row)
            if few == 0:
                continue
            if tiers is not None:
                tiers.plan(row.group, job.queued_count * job.spec.cpus)
            filled = plan.fill(job, job.rank <= placers.line or row.pressing, few)
            if not filled and few is None and round_.lacks(row, job):
                round_.skip(row)
        if self.node.panel is not None:
            for demand in self.node.panel.demand():
                if self._is_time_for(demand):
                    plan.keep(demand, bins, lambda name, sort: self._shut(name, sort) is not None)
        self.market.rent(plan.want)
        # Machines that waiting work is about to take are not idle.
        self._give_back(now, {bin.machine for bin in bins if bin.machine and bin.taken})
        self._consolidate(now, bool(plan.want) or not self._few(waiting.cpus), bool(self.picture.queued))
        for name in [name for name in self._idle_since if name not in self.picture.machines]:
            del self._idle_since[name]

    def capacity(self) -> Amounts:
        """Cores, cards and GB of the machines that are up or coming."""
        total = [0.0, 0.0, 0.0]
        sorts = [record.type for record in self.picture.machines.values() if record.use is MachineUse.UP]
        sorts += [coming.sort[0] for coming in self.market.coming.values()]
        for name, count in Counter(sorts).items():
            kind = self.placers.types.get(name)
            if kind is not None:
                for index, each in enumerate((kind.cpus, kind.gpus, kind.memory_gb)):
                    total[index] += count * each
        return tuple(total)

    def _terms(self) -> Terms:
        return Terms(
            self.placers.types,
            self.placers.allowed,
            self.placers.zone_room,
            self._limit_room,
            self.market.closed(),
            self.market.at_most,
            None if self.node.panel is None else self._lets,
        )

    def _lets(self, job: Job, machine: str, sort: MachineSort) -> bool:
        panel = self.node.panel
        return panel is None or panel.refusal(job, machine, sort) is None

    def _shut(self, machine: str, sort: MachineSort) -> str | None:
        """Why a policy lets nothing new go to a machine, whatever it is."""
        return None if self.node.panel is None else self.node.panel.shut(machine, sort)

    def _is_time_for(self, demand: Demand) -> bool:
        """Whether room that is wanted at an instant must be seen to now: machines take their time to boot."""
        boots = [
            kind.boot_s
            for kind in self.placers.types.values()
            if any(demand.suits(kind.name, zone) for zone in kind.zones)
        ]
        lead = timedelta(seconds=1.5 * max(boots, default=0.0)) + 2 * self.node.report + PLAN_EVERY
        return demand.at - self.node.wall <= lead

    # Values for the decisions --------------------------------------------------------------------------------

    def _bins(self) -> list[Bin]:
        """What is up or coming, with its free room."""
        bins: list[Bin] = []
        for name, record in self.picture.machines.items():
            kind = self.placers.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP:
                continue
            cpus, gpus, memory = self.picture.used_on(name)
            bins.append(
                Bin(
                    record.sort,
                    kind.cpus - cpus,
                    kind.gpus - gpus,
                    kind.memory_gb - memory,
                    name,
                    self.picture.top_rank_on(name) <= self.placers.line,
                )
            )
        for coming in self.market.coming.values():
            kind = self.placers.types.get(coming.sort[0])
            # A boot that takes much too long is not counted on.
            if kind is not None and self.node.now - coming.since < timedelta(seconds=2 * kind.boot_s + 5):
                bins.append(empty_bin(coming.sort, kind))
        return bins

    def _count_zones(self) -> dict[str, int]:
        """How many machines each zone has or is to have."""
        in_zone: dict[str, int] = {}
        for record in self.picture.machines.values():
            if record.use not in (MachineUse.GONE, MachineUse.RETURNING):
                in_zone[record.zone] = in_zone.get(record.zone, 0) + 1
        for coming in self.market.coming.values():
            in_zone[coming.sort[1]] = in_zone.get(coming.sort[1], 0) + 1
        return in_zone

    def _limit_room(self, team: str) -> float:
        """How many more cores the team's limit lets its tasks take."""
        most = self.picture.limits[team].cpus_max
        return most - self.picture.used_by_team(team)[0] if most else math.inf

    def _dear_room(self, bins: list[Bin]) -> float:
        def held(machine: str) -> float:
            return sum(
                self.picture.jobs[name].spec.cpus
                for name, _ in self.picture.on_machine.get(machine, {})
                if self.picture.jobs[name].spec.kind is Kind.SERVICE
            )

        cpus_of = {kind.name: kind.cpus for kind in self.placers.types.values()}
        patience = self.placers.queue.patience
        return dear_room(self.picture.waiting.work, bins, cpus_of, held, self._limit_room, patience, DEAR_AFTER)

    def _used_cpus(self) -> float:
        return sum(self.picture.used_on(name)[0] for name in self.picture.machines)

    def _price(self, record: MachineRecord) -> float:
        kind = self.placers.types[record.type]
        return kind.spot_price if record.spot else kind.price

    def _few(self, waiting_cpus: float) -> bool:
        """Whether no more waits and boots than what a fleet of this size always has. In a small one: nothing."""
        few = len(self.picture.machines) // MACHINES_PER_FEW
        if len(self.market.coming) > few or len(self.market.bookings) > few:
            return False
        per_machine = max((kind.cpus for kind in self.placers.types.values()), default=0.0)
        return waiting_cpus <= few * per_machine + 1e-6

    # Giving back ---------------------------------------------------------------------------------------------

    def _give_back(self, now: timedelta, needed: set[str]) -> None:
        idle: list[Idle] = []
        used = free = 0.0
        for name, record in self.picture.machines.items():
            kind = self.placers.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP:
                continue
            cpus = self.picture.used_on(name)[0]
            used += cpus
            # What takes nothing new is no reserve for what comes.
            room = 0.0 if self._shut(name, record.sort) else kind.cpus
            free += room - cpus if room else 0.0
            if self.picture.top_rank_on(name) != NOBODY or name in needed:
                self._idle_since.pop(name, None)
                continue
            since = self._idle_since.setdefault(name, now)
            idle.append(Idle(self._price(record), name, now - since, room))
        operator = self.node.operator
        chosen = to_give_back(
            idle,
            len(self.picture.machines),
            free,
            operator.machine_reserve * used,
            timedelta(seconds=operator.machine_idle),
        )
        alone, at_once = self._places_all(), list[str]()
        for name in chosen:
            log.info("%s is idle: giving it back", name)
            if alone and name in self.picture.heard:
                at_once.append(name)
            else:
                # Its record changes first, so that nobody places on it any more; then it is returned.
                self._set_use(name, MachineUse.RETURNING)
        if at_once:
            self.market.give_back(at_once)

    def _places_all(self) -> bool:
        """Whether nobody else places anything, and nothing is being placed right now: then a machine on which there is
        nothing can be returned with no word to anybody before."""
        return not self.ledger.busy and all(
            self.membership.home(team) == self.node.name and self.ledger.claimed(team) for team in self.picture.limits
        )

    def _set_use(self, name: str, use: MachineUse) -> None:
        self.ledger.put_machine(name, msgspec.structs.replace(self.picture.machines[name], use=use))

    # Emptying ------------------------------------------------------------------------------------------------

    def _consolidate(self, now: timedelta, short: bool, waiting: bool) -> None:
        """Empty a little-used machine whose services fit elsewhere; if work waits, take such machines back into use.

        In a large fleet something always waits for a moment and some machine always boots: there a few don't matter.
        """
        emptying = [name for name, use in self.picture.clearing.items() if use is MachineUse.EMPTYING]
        if short:
            self._calm_since = now
            # Services on the move wait for a moment too: only what finds no room brings the machine back.
            if waiting and emptying and any(self._stuck(job) for job in self.picture.queued.values()):
                for name in emptying:
                    self._set_use(name, MachineUse.UP)
            return
        if not self.node.operator.machine_consolidate or now - self._calm_since < CALM:
            return
        if len(emptying) > len(self.picture.machines) // 12:
            return
        for name, residents in self._least_used():
            record = self.picture.machines[name]
            bins = [
                bin
                for bin in self._bins()
                if bin.machine and bin.machine != name and not self._shut(bin.machine, bin.sort)
            ]
            reserve = self.node.operator.machine_reserve * self._used_cpus()
            if fits_elsewhere(record.zone, residents, bins, reserve, self.placers.allowed, self.placers.zone_room):
                log.info("%s is little used: emptying it", name)
                self._set_use(name, MachineUse.EMPTYING)
                return

    def _least_used(self) -> list[tuple[str, list[Job]]]:
        """The machines that cost most for the fewest services on them, with what is there."""
        candidates: list[tuple[float, str, list[Job]]] = []
        for name in self.picture.on_machine:
            known = self.picture.machines.get(name)
            kind = None if known is None else self.placers.types.get(known.type)
            if known is None or kind is None or known.use is not MachineUse.UP:
                continue
            residents = [self.picture.jobs[job] for job, _ in self.picture.on_machine[name]]
            services = sum(job.spec.kind is Kind.SERVICE for job in residents)
            if services and self.picture.used_on(name)[0] > MOSTLY_FREE * kind.cpus:
                continue
            candidates.append((self._price(known) / (1 + services), name, residents))
        candidates.sort(key=lambda candidate: candidate[:2], reverse=True)
        return [(name, residents) for _, name, residents in candidates[:EMPTYING_TRIES]]

    def _stuck(self, job: Job) -> bool:
        """Work that waits, and not just because it is being moved."""
        return job.queued_count > 0 and not any(
            task.note.startswith(MOVED) for chunk in job.chunks.values() for task in chunk
        )
