"""What to rent for the work that waits: a filling of bins, as pure functions over values."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool
from gladecroft.policies.interface import Demand
from gladecroft.protocol.wire import JobSpec, MachineType

#: A kind is dear for a job if a core costs that many times as much as on the cheapest kind it allows.
DEAR = 1.6
#: At most so many machines are rented in one round for a demand: a policy may be wrong by orders of magnitude.
KEEP_MOST = 100


class Bin:
    """Room on a machine; without a name on one that is yet to come."""

    __slots__ = ("sort", "cpus", "gpus", "memory", "machine", "high", "taken")

    def __init__(
        self, pool: CapacityPool, cpus: float, gpus: float, memory: float, machine: str = "", high: bool = False
    ) -> None:
        self.sort, self.cpus, self.gpus, self.memory = pool, cpus, gpus, memory
        self.machine = machine
        #: Whether high-priority work is there.
        self.high = high
        self.taken = False

    def holds(self, job: Job) -> int:
        room = job.spec.tasks
        for need, free in ((job.spec.cpus, self.cpus), (job.spec.gpus, self.gpus), (job.spec.memory_gb, self.memory)):
            if need > 0:
                room = min(room, int((free + 1e-6) / need))
        return max(0, room)

    def take(self, job: Job, count: int) -> None:
        self.taken = True
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory -= job.spec.memory_gb * count


def empty_bin(pool: CapacityPool, kind: MachineType) -> Bin:
    return Bin(pool, kind.cpus, kind.gpus, kind.memory_gb)


class BinPool:
    """The bins that can still hold something, by sort of machine; the lists shrink as they fill."""

    def __init__(self, bins: list[Bin], smallest: float) -> None:
        self.smallest = smallest
        self.sorts: dict[CapacityPool, list[Bin]] = {}
        for bin in bins:
            self.add(bin)

    def add(self, bin: Bin) -> None:
        if bin.cpus + 1e-6 >= self.smallest:
            self.sorts.setdefault(bin.sort, []).append(bin)

    def trim(self, pool: CapacityPool) -> None:
        self.sorts[pool] = [bin for bin in self.sorts[pool] if bin.cpus + 1e-6 >= self.smallest]


def core_price(kind: MachineType, spot: bool, spec: JobSpec) -> float:
    """The price of a core that such tasks can use: what stays empty beside them on the machine is paid for too."""
    count = min(
        (
            int((there + 1e-6) / need)
            for need, there in (
                (spec.cpus, kind.cpus), (spec.gpus, kind.gpus), (spec.memory_gb, kind.memory_gb)
            )
            if need > 0
        ),
        default=0,
    )  # fmt: skip
    usable = count * spec.cpus if count and spec.cpus > 0 else kind.cpus
    return (kind.spot_price if spot else kind.price) / max(usable, 1e-9)


@dataclass
class PackingConstraints:
    """What a plan goes by."""

    types: Mapping[str, MachineType]
    allowed: Callable[[JobSpec, str, str, bool], bool]
    #: The tasks of a job in each zone, and how many may be in one.
    zone_room: Callable[[Job], tuple[dict[str, int], int]]
    #: How many more cores a team's limit lets its tasks take.
    limit_room: Callable[[str], float]
    #: Sorts that are not asked for now, and how many of others at the most.
    closed: Collection[CapacityPool] = ()
    at_most: Mapping[CapacityPool, int] = field(default_factory=dict)
    #: Whether policies let the job go to a machine (no name: to one that is rented); None: there are no policies.
    lets: Callable[[Job, str, CapacityPool], bool] | None = None


@dataclass
class RentalPlan:
    """One filling. ``dear_cpus``: cores that may be rented dear; ``spare``: cores that work outside a guarantee may
    take on machines with high-priority work; ``in_zone``: machines there, or to be there."""

    terms: PackingConstraints
    room: BinPool
    dear_cpus: float
    spare: float
    in_zone: dict[str, int]
    to_rent: dict[CapacityPool, int] = field(default_factory=dict)
    #: What is left of each team's limit, once asked for.
    may_run: dict[str, float] = field(default_factory=dict)

    def place(self, job: Job, everywhere: bool, few: int | None = None) -> bool:
        """Put a job's waiting tasks into bins, opening new ones by the cheapest kinds. ``everywhere``: work of high
        priority or within a guarantee, from which no reserve is kept. ``few``: the most that may start now. False if no
        room is to be had for the rest."""
        spec = job.spec
        may_run = self.may_run.get(spec.team)
        if may_run is None:
            may_run = self.may_run[spec.team] = self.terms.limit_room(spec.team)
        wanted = job.queued_count if few is None else min(few, job.queued_count)
        if spec.cpus > 0 and may_run < wanted * spec.cpus:
            wanted = max(0, int((may_run + 1e-6) / spec.cpus))
        left = self._fill(job, wanted, everywhere)
        # Only what has found room uses up the team's limit.
        self.may_run[spec.team] = may_run - (wanted - left) * spec.cpus
        return left <= 0 < wanted

    def _fill(self, job: Job, left: int, everywhere: bool) -> int:
        """How many of so many tasks find no room."""
        if left <= 0:
            return 0
        spec = job.spec
        zones, cap = self.terms.zone_room(job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        only: str | None = next(iter(zones)) if spec.one_zone and zones else None
        left = self._fill_open(job, left, zones, cap, only, everywhere)
        while left > 0:
            sort = self._cheapest(job, zones, cap, only)
            if sort is None:
                break
            bin = empty_bin(sort, self.terms.types[sort[0]])
            count = min(left, bin.holds(job), cap - zones.get(sort[1], 0))
            if count <= 0:
                break
            bin.take(job, count)
            self.room.add(bin)
            self.in_zone[sort[1]] = self.in_zone.get(sort[1], 0) + 1
            self.to_rent[sort] = self.to_rent.get(sort, 0) + 1
            zones[sort[1]] = zones.get(sort[1], 0) + count
            left -= count
        return left

    def _fill_open(
        self, job: Job, left: int, zones: dict[str, int], cap: int, only: str | None, everywhere: bool
    ) -> int:
        """Fill what is up or coming; how many tasks are left then."""
        spec = job.spec
        cpus, gpus, memory = spec.cpus, spec.gpus, spec.memory_gb
        for sort, bins in self.room.sorts.items():
            if only is not None and sort[1] != only:
                continue
            if not self.terms.allowed(spec, *sort):
                continue
            used_up = False
            for bin in bins:
                # Most hold nothing of it; said here before calls are spent on each.
                if bin.cpus + 1e-6 < cpus > 0 or bin.memory + 1e-6 < memory > 0 or bin.gpus + 1e-6 < gpus > 0:
                    continue
                if self.terms.lets is not None and not self.terms.lets(job, bin.machine, sort):
                    continue
                count = min(left, bin.holds(job), cap - zones.get(sort[1], 0))
                if bin.high and not everywhere and spec.cpus > 0:
                    # The placers keep a reserve there, so it is no room for this job here either.
                    count = min(count, int(max(0.0, self.spare) / spec.cpus))
                    self.spare -= max(0, count) * spec.cpus
                if count > 0:
                    bin.take(job, count)
                    used_up |= bin.cpus + 1e-6 < self.room.smallest
                    zones[sort[1]] = zones.get(sort[1], 0) + count
                    left -= count
                    if left <= 0:
                        break
            if used_up:
                self.room.trim(sort)
            if left <= 0:
                break
        return left

    def _cheapest(self, job: Job, zones: dict[str, int], cap: int, only: str | None) -> CapacityPool | None:
        spec, terms = job.spec, self.terms
        sorts = [
            (kind, zone, spot)
            for kind in terms.types.values()
            for zone in kind.zones
            for spot in (True, False)
            if terms.allowed(spec, kind.name, zone, spot)
            and (terms.lets is None or terms.lets(job, "", (kind.name, zone, spot)))
        ]
        cheapest = min((core_price(kind, spot, spec) for kind, _, spot in sorts), default=0.0)
        options: list[tuple[float, MachineType, str, bool]] = []
        for kind, zone, spot in sorts:
            sort = (kind.name, zone, spot)
            if zones.get(zone, 0) >= cap or (only is not None and zone != only) or sort in terms.closed:
                continue
            at_most = terms.at_most.get(sort)
            if at_most is not None and self.to_rent.get(sort, 0) >= at_most:
                continue
            price = core_price(kind, spot, spec)
            if price > DEAR * cheapest and self.dear_cpus <= 0:
                continue
            options.append((price, kind, zone, spot))
        if not options:
            return None
        price, machine, zone, spot = min(
            options, key=lambda option: (round(option[0], 4), self.in_zone.get(option[2], 0), option[2])
        )
        if price > DEAR * cheapest:
            self.dear_cpus -= machine.cpus
        return machine.name, zone, spot

    def keep(self, demand: Demand, bins: Iterable[Bin], shut: Callable[[str, CapacityPool], bool]) -> None:
        """See to room that is wanted at an instant: keep bins that are free for it, and rent what is missing, cheapest
        cores first. ``shut``: machines that take nothing new are no room."""
        missing = demand.cpus
        left = KEEP_MOST

        for bin in bins:
            if missing <= 1e-6:
                return
            if bin.cpus > 1e-6 and demand.suits(*bin.sort[:2]) and not shut(bin.machine, bin.sort):
                missing -= bin.cpus
                bin.taken = True
        prices: list[tuple[float, int, str, CapacityPool]] = []
        for kind in self.terms.types.values():
            for zone in kind.zones:
                for spot in (True, False):
                    sort = (kind.name, zone, spot)
                    if demand.suits(kind.name, zone) and sort not in self.terms.closed and not shut("", sort):
                        price = (kind.spot_price if spot else kind.price) / max(kind.cpus, 1e-9)
                        prices.append((round(price, 4), self.in_zone.get(zone, 0), zone, sort))
        for _, _, _, sort in sorted(prices):
            most = self.terms.at_most.get(sort)
            while left > 0 and missing > 1e-6 and (most is None or self.to_rent.get(sort, 0) < most):
                left -= 1
                self.to_rent[sort] = self.to_rent.get(sort, 0) + 1
                self.in_zone[sort[1]] = self.in_zone.get(sort[1], 0) + 1
                missing -= max(self.terms.types[sort[0]].cpus, 1e-9)
