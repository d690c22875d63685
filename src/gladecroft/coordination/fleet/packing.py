"""Which machines to rent for queued work: bin packing over plain values, without calls to other services."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool
from gladecroft.policies.interface import CapacityDemand
from gladecroft.protocol.wire import JobSpec, MachineType

#: A capacity pool is expensive for a job if its price per usable core exceeds that of the cheapest one by this factor.
EXPENSIVE_PRICE_RATIO = 1.6
#: Machines rented in one round for a policy's demand, which may be wrong by orders of magnitude.
MAX_RENTALS_PER_DEMAND = 100


class Bin:
    """Free capacity of a machine; ``machine`` is empty for one that is not up yet."""

    __slots__ = ("pool", "cpus", "gpus", "memory", "machine", "has_high_priority", "used")

    def __init__(
        self,
        pool: CapacityPool,
        cpus: float,
        gpus: float,
        memory: float,
        machine: str = "",
        has_high_priority: bool = False,
    ) -> None:
        self.pool, self.cpus, self.gpus, self.memory = pool, cpus, gpus, memory
        self.machine = machine
        #: Whether high-priority work runs on the machine.
        self.has_high_priority = has_high_priority
        #: Whether the plan has placed or reserved anything in the bin.
        self.used = False

    def capacity_for(self, job: Job) -> int:
        """How many tasks of the job fit."""
        count = job.spec.tasks
        for requested, available in (
            (job.spec.cpus, self.cpus),
            (job.spec.gpus, self.gpus),
            (job.spec.memory_gb, self.memory),
        ):
            if requested > 0:
                count = min(count, int((available + 1e-6) / requested))
        return max(0, count)

    def place(self, job: Job, count: int) -> None:
        """Subtract the resources of so many tasks of the job."""
        self.used = True
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory -= job.spec.memory_gb * count


def empty_bin(pool: CapacityPool, machine_type: MachineType) -> Bin:
    """A bin with the full capacity of a machine of this type."""
    return Bin(pool, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


class BinIndex:
    """The bins with at least ``min_cpus`` free cores, by capacity pool; bins are dropped as they fill up."""

    def __init__(self, bins: list[Bin], min_cpus: float) -> None:
        self.min_cpus = min_cpus
        self.by_pool: dict[CapacityPool, list[Bin]] = {}
        for bin in bins:
            self.add(bin)

    def add(self, bin: Bin) -> None:
        """Add a bin, unless it has too few free cores."""
        if bin.cpus + 1e-6 >= self.min_cpus:
            self.by_pool.setdefault(bin.pool, []).append(bin)

    def drop_full(self, pool: CapacityPool) -> None:
        """Drop the bins of a capacity pool that have too few free cores left."""
        self.by_pool[pool] = [bin for bin in self.by_pool[pool] if bin.cpus + 1e-6 >= self.min_cpus]


def price_per_usable_core(machine_type: MachineType, spot: bool, spec: JobSpec) -> float:
    """The price per core that such tasks can use; capacity that they leave unusable on the machine is paid for too."""
    count = min(
        (
            int((available + 1e-6) / requested)
            for requested, available in (
                (spec.cpus, machine_type.cpus), (spec.gpus, machine_type.gpus), (spec.memory_gb, machine_type.memory_gb)
            )
            if requested > 0
        ),
        default=0,
    )  # fmt: skip
    usable = count * spec.cpus if count and spec.cpus > 0 else machine_type.cpus
    return (machine_type.spot_price if spot else machine_type.price) / max(usable, 1e-9)


@dataclass
class PackingConstraints:
    """What a plan must respect."""

    machine_types: Mapping[str, MachineType]
    allowed: Callable[[JobSpec, str, str, bool], bool]
    #: The number of a job's tasks in each zone, and the largest number that one zone may have.
    zone_usage: Callable[[Job], tuple[dict[str, int], int]]
    #: How many more cores a team's limit allows its tasks to use.
    remaining_limit: Callable[[str], float]
    #: Capacity pools that have run out for now, and the largest number of machines to request from others.
    unavailable: Collection[CapacityPool] = ()
    rental_caps: Mapping[CapacityPool, int] = field(default_factory=dict)
    #: Whether policies allow the job on a machine (empty name: one to be rented); None: there are no policies.
    policy_allows: Callable[[Job, str, CapacityPool], bool] | None = None


@dataclass
class RentalPlan:
    """The plan of one round, built up job by job.

    ``expensive_cpus``: cores that may still be rented from expensive capacity pools. ``low_priority_headroom``: cores
    that low-priority work outside a guarantee may use on machines with high-priority work. ``machines_per_zone``
    includes pending machines and those that the plan rents.
    """

    constraints: PackingConstraints
    bin_pool: BinIndex
    expensive_cpus: float
    low_priority_headroom: float
    machines_per_zone: dict[str, int]
    to_rent: dict[CapacityPool, int] = field(default_factory=dict)
    #: The cores left within each team's limit; filled on first use.
    remaining_limits: dict[str, float] = field(default_factory=dict)

    def place(self, job: Job, uses_reserve: bool, max_starts: int | None = None) -> bool:
        """Place a job's queued tasks, renting machines from the cheapest capacity pools where bins lack capacity.

        ``uses_reserve``: the work has high priority or is within a guarantee, so the reserve is open to it.
        ``max_starts``: the largest number of tasks that may start now. True if the limits allow at least one task and
        all tasks that they allow have been placed.
        """
        spec = job.spec
        remaining = self.remaining_limits.get(spec.team)
        if remaining is None:
            remaining = self.remaining_limits[spec.team] = self.constraints.remaining_limit(spec.team)
        to_place = job.queued_count if max_starts is None else min(max_starts, job.queued_count)
        if spec.cpus > 0 and remaining < to_place * spec.cpus:
            to_place = max(0, int((remaining + 1e-6) / spec.cpus))
        unplaced = self._place(job, to_place, uses_reserve)
        # Only placed tasks count against the team's limit.
        self.remaining_limits[spec.team] = remaining - (to_place - unplaced) * spec.cpus
        return unplaced <= 0 < to_place

    def _place(self, job: Job, unplaced: int, uses_reserve: bool) -> int:
        """Place tasks in existing bins and on machines to rent; return how many are left unplaced."""
        if unplaced <= 0:
            return 0
        spec = job.spec
        zones, zone_cap = self.constraints.zone_usage(job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        only_zone: str | None = next(iter(zones)) if spec.one_zone and zones else None
        unplaced = self._place_on_existing(job, unplaced, zones, zone_cap, only_zone, uses_reserve)
        while unplaced > 0:
            pool = self._cheapest_pool(job, zones, zone_cap, only_zone)
            if pool is None:
                break
            bin = empty_bin(pool, self.constraints.machine_types[pool[0]])
            count = min(unplaced, bin.capacity_for(job), zone_cap - zones.get(pool[1], 0))
            if count <= 0:
                break
            bin.place(job, count)
            self.bin_pool.add(bin)
            self.machines_per_zone[pool[1]] = self.machines_per_zone.get(pool[1], 0) + 1
            self.to_rent[pool] = self.to_rent.get(pool, 0) + 1
            zones[pool[1]] = zones.get(pool[1], 0) + count
            unplaced -= count
        return unplaced

    def _place_on_existing(
        self, job: Job, unplaced: int, zones: dict[str, int], zone_cap: int, only_zone: str | None, uses_reserve: bool
    ) -> int:
        """Place tasks on machines that are up, pending or already planned; return how many are left unplaced."""
        spec = job.spec
        cpus, gpus, memory = spec.cpus, spec.gpus, spec.memory_gb
        for pool, bins in self.bin_pool.by_pool.items():
            if only_zone is not None and pool[1] != only_zone:
                continue
            if not self.constraints.allowed(spec, *pool):
                continue
            has_full_bins = False
            for bin in bins:
                # Most bins can't hold a single task; checking that here saves the calls below.
                if bin.cpus + 1e-6 < cpus > 0 or bin.memory + 1e-6 < memory > 0 or bin.gpus + 1e-6 < gpus > 0:
                    continue
                if self.constraints.policy_allows is not None and not self.constraints.policy_allows(
                    job, bin.machine, pool
                ):
                    continue
                count = min(unplaced, bin.capacity_for(job), zone_cap - zones.get(pool[1], 0))
                if bin.has_high_priority and not uses_reserve and spec.cpus > 0:
                    # The scheduler keeps a reserve on these machines, so the plan must not use it either.
                    count = min(count, int(max(0.0, self.low_priority_headroom) / spec.cpus))
                    self.low_priority_headroom -= max(0, count) * spec.cpus
                if count > 0:
                    bin.place(job, count)
                    has_full_bins |= bin.cpus + 1e-6 < self.bin_pool.min_cpus
                    zones[pool[1]] = zones.get(pool[1], 0) + count
                    unplaced -= count
                    if unplaced <= 0:
                        break
            if has_full_bins:
                self.bin_pool.drop_full(pool)
            if unplaced <= 0:
                break
        return unplaced

    def _cheapest_pool(
        self, job: Job, zones: dict[str, int], zone_cap: int, only_zone: str | None
    ) -> CapacityPool | None:
        """The capacity pool with the lowest price per usable core from which to rent for the job now, if there is one.

        Among equal prices the zone with the fewest machines is chosen.
        """
        spec, constraints = job.spec, self.constraints
        pools = [
            (machine_type, zone, spot)
            for machine_type in constraints.machine_types.values()
            for zone in machine_type.zones
            for spot in (True, False)
            if constraints.allowed(spec, machine_type.name, zone, spot)
            and (
                constraints.policy_allows is None or constraints.policy_allows(job, "", (machine_type.name, zone, spot))
            )
        ]
        lowest_price = min(
            (price_per_usable_core(machine_type, spot, spec) for machine_type, _, spot in pools), default=0.0
        )
        candidates: list[tuple[float, MachineType, str, bool]] = []
        for machine_type, zone, spot in pools:
            pool = (machine_type.name, zone, spot)
            if (
                zones.get(zone, 0) >= zone_cap
                or (only_zone is not None and zone != only_zone)
                or pool in constraints.unavailable
            ):
                continue
            max_rentals = constraints.rental_caps.get(pool)
            if max_rentals is not None and self.to_rent.get(pool, 0) >= max_rentals:
                continue
            price = price_per_usable_core(machine_type, spot, spec)
            if price > EXPENSIVE_PRICE_RATIO * lowest_price and self.expensive_cpus <= 0:
                continue
            candidates.append((price, machine_type, zone, spot))
        if not candidates:
            return None
        price, machine_type, zone, spot = min(
            candidates,
            key=lambda candidate: (round(candidate[0], 4), self.machines_per_zone.get(candidate[2], 0), candidate[2]),
        )
        if price > EXPENSIVE_PRICE_RATIO * lowest_price:
            self.expensive_cpus -= machine_type.cpus
        return machine_type.name, zone, spot

    def reserve(
        self, demand: CapacityDemand, bins: Iterable[Bin], is_closed: Callable[[str, CapacityPool], bool]
    ) -> None:
        """Reserve free bins for a policy's demand, and rent what is missing, the cheapest cores first.

        Machines that ``is_closed`` names take no new tasks, so they don't count.
        """
        missing = demand.cpus
        rentals_left = MAX_RENTALS_PER_DEMAND

        for bin in bins:
            if missing <= 1e-6:
                return
            if bin.cpus > 1e-6 and demand.matches(*bin.pool[:2]) and not is_closed(bin.machine, bin.pool):
                missing -= bin.cpus
                bin.used = True
        prices: list[tuple[float, int, str, CapacityPool]] = []
        for machine_type in self.constraints.machine_types.values():
            for zone in machine_type.zones:
                for spot in (True, False):
                    pool = (machine_type.name, zone, spot)
                    if (
                        demand.matches(machine_type.name, zone)
                        and pool not in self.constraints.unavailable
                        and not is_closed("", pool)
                    ):
                        price = (machine_type.spot_price if spot else machine_type.price) / max(machine_type.cpus, 1e-9)
                        prices.append((round(price, 4), self.machines_per_zone.get(zone, 0), zone, pool))
        for _, _, _, pool in sorted(prices):
            max_rentals = self.constraints.rental_caps.get(pool)
            while (
                rentals_left > 0 and missing > 1e-6 and (max_rentals is None or self.to_rent.get(pool, 0) < max_rentals)
            ):
                rentals_left -= 1
                self.to_rent[pool] = self.to_rent.get(pool, 0) + 1
                self.machines_per_zone[pool[1]] = self.machines_per_zone.get(pool[1], 0) + 1
                missing -= max(self.constraints.machine_types[pool[0]].cpus, 1e-9)
