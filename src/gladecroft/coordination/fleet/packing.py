"""Which machines to rent for queued tasks: bin packing over plain values, without calls to other services."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool
from gladecroft.policies.interface import CapacityReservation
from gladecroft.protocol.wire import JobSpec, MachineType

#: A capacity pool is expensive for a job if its price per usable core exceeds that of the cheapest pool by this factor.
EXPENSIVE_PRICE_RATIO = 1.6
#: Upper bound on the machines that are rented in one round for a policy's capacity reservation, which may be wrong by
#: orders of magnitude.
MAX_RENTALS_PER_RESERVATION = 100


class Bin:
    """Free capacity of a machine; ``machine_id`` is empty for a machine that is not up yet."""

    __slots__ = ("pool", "cpus", "gpus", "memory_gb", "machine_id", "has_high_priority", "used")

    def __init__(
        self,
        pool: CapacityPool,
        cpus: float,
        gpus: float,
        memory_gb: float,
        machine_id: str = "",
        has_high_priority: bool = False,
    ) -> None:
        self.pool, self.cpus, self.gpus, self.memory_gb = pool, cpus, gpus, memory_gb
        self.machine_id = machine_id
        #: Whether high-priority tasks run on the machine.
        self.has_high_priority = has_high_priority
        #: Whether the plan has placed or reserved anything in the bin.
        self.used = False

    def capacity_for(self, job: Job) -> int:
        """Return how many tasks of the job fit, at most all of them."""
        count = job.spec.tasks
        for requested, available in (
            (job.spec.cpus, self.cpus),
            (job.spec.gpus, self.gpus),
            (job.spec.memory_gb, self.memory_gb),
        ):
            if requested > 0:
                count = min(count, int((available + 1e-6) / requested))
        return max(0, count)

    def place(self, job: Job, count: int) -> None:
        """Subtract the resources of ``count`` tasks of the job."""
        self.used = True
        self.cpus -= job.spec.cpus * count
        self.gpus -= job.spec.gpus * count
        self.memory_gb -= job.spec.memory_gb * count


def empty_bin(pool: CapacityPool, machine_type: MachineType) -> Bin:
    """Return a bin with the full capacity of a machine of this type."""
    return Bin(pool, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


class BinIndex:
    """The bins with at least ``min_cpus`` free cores, by capacity pool. Bins are dropped as they fill up."""

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
    """Return the price of a machine per core that tasks of this spec can use.

    If the tasks cannot use all cores of the machine, for instance because they exhaust its memory, the price per usable
    core is higher than the price per core.
    """
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
    """The constraints that a rental plan must satisfy."""

    machine_types: Mapping[str, MachineType]
    allowed: Callable[[JobSpec, str, str, bool], bool]
    #: Returns the number of a job's tasks in each zone, and the largest number that any zone may have.
    zone_usage: Callable[[Job], tuple[dict[str, int], int]]
    #: Returns how many more cores a team's limit allows its tasks to use.
    remaining_limit: Callable[[str], float]
    #: Capacity pools that are unavailable now, and the largest number of machines to rent in this round from those that
    #: ran out recently.
    unavailable: Collection[CapacityPool] = ()
    rental_caps: Mapping[CapacityPool, int] = field(default_factory=dict)
    #: Returns whether policies allow the job on a machine (empty id: one to be rented); None: there are no policies.
    policy_allows: Callable[[Job, str, CapacityPool], bool] | None = None


@dataclass
class RentalPlan:
    """The machines to rent in one round, determined job by job.

    ``expensive_cpus``: cores that may still be rented from expensive capacity pools. ``low_priority_headroom``: cores
    that low-priority tasks outside their team's guarantee may use on machines with high-priority tasks.
    ``machines_per_zone`` includes pending machines and the machines to rent.
    """

    constraints: PackingConstraints
    bin_index: BinIndex
    expensive_cpus: float
    low_priority_headroom: float
    machines_per_zone: dict[str, int]
    to_rent: dict[CapacityPool, int] = field(default_factory=dict)
    #: The cores left within each team's limit; filled on first use.
    remaining_limits: dict[str, float] = field(default_factory=dict)

    def place(self, job: Job, uses_reserve: bool, max_starts: int | None = None) -> bool:
        """Tentatively place a job's queued tasks; if the bins lack capacity, rent from the cheapest capacity pools.

        ``uses_reserve``: the job has high priority or is within its team's guarantee, so its tasks may use the reserve.
        ``max_starts``: the largest number of tasks that may start now. Returns whether the limits allow at least one
        task and all tasks that they allow have been placed.
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
        """Place tasks in existing bins and on machines to rent; return how many tasks are left unplaced."""
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
            self.bin_index.add(bin)
            self.machines_per_zone[pool[1]] = self.machines_per_zone.get(pool[1], 0) + 1
            self.to_rent[pool] = self.to_rent.get(pool, 0) + 1
            zones[pool[1]] = zones.get(pool[1], 0) + count
            unplaced -= count
        return unplaced

    def _place_on_existing(
        self, job: Job, unplaced: int, zones: dict[str, int], zone_cap: int, only_zone: str | None, uses_reserve: bool
    ) -> int:
        """Place tasks on machines that are up, pending or already to be rented; return how many are left unplaced."""
        spec = job.spec
        cpus, gpus, memory_gb = spec.cpus, spec.gpus, spec.memory_gb
        for pool, bins in self.bin_index.by_pool.items():
            if only_zone is not None and pool[1] != only_zone:
                continue
            if not self.constraints.allowed(spec, *pool):
                continue
            has_full_bins = False
            for bin in bins:
                # Most bins are too small for a single task; this check saves the calls below.
                if bin.cpus + 1e-6 < cpus > 0 or bin.memory_gb + 1e-6 < memory_gb > 0 or bin.gpus + 1e-6 < gpus > 0:
                    continue
                if self.constraints.policy_allows is not None and not self.constraints.policy_allows(
                    job, bin.machine_id, pool
                ):
                    continue
                count = min(unplaced, bin.capacity_for(job), zone_cap - zones.get(pool[1], 0))
                if bin.has_high_priority and not uses_reserve and spec.cpus > 0:
                    # The scheduler keeps a reserve on these machines, which the plan must not use either.
                    count = min(count, int(max(0.0, self.low_priority_headroom) / spec.cpus))
                    self.low_priority_headroom -= max(0, count) * spec.cpus
                if count > 0:
                    bin.place(job, count)
                    has_full_bins |= bin.cpus + 1e-6 < self.bin_index.min_cpus
                    zones[pool[1]] = zones.get(pool[1], 0) + count
                    unplaced -= count
                    if unplaced <= 0:
                        break
            if has_full_bins:
                self.bin_index.drop_full(pool)
            if unplaced <= 0:
                break
        return unplaced

    def _cheapest_pool(
        self, job: Job, zones: dict[str, int], zone_cap: int, only_zone: str | None
    ) -> CapacityPool | None:
        """Return the capacity pool with the lowest price per usable core from which to rent a machine for the job now.

        Among pools of equal price, the one in the zone with the fewest machines is chosen. Returns None if there is no
        suitable pool.
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
        self, reservation: CapacityReservation, bins: Iterable[Bin], is_closed: Callable[[str, CapacityPool], bool]
    ) -> None:
        """Use free bins for a policy's capacity reservation, and rent the missing cores, the cheapest first.

        At most ``MAX_RENTALS_PER_RESERVATION`` machines are rented.

        Machines for which ``is_closed`` returns True take no new tasks, so they do not count.
        """
        missing_cpus = reservation.cpus
        remaining_rentals = MAX_RENTALS_PER_RESERVATION

        for bin in bins:
            if missing_cpus <= 1e-6:
                return
            if bin.cpus > 1e-6 and reservation.matches(*bin.pool[:2]) and not is_closed(bin.machine_id, bin.pool):
                missing_cpus -= bin.cpus
                bin.used = True
        prices: list[tuple[float, int, str, CapacityPool]] = []
        for machine_type in self.constraints.machine_types.values():
            for zone in machine_type.zones:
                for spot in (True, False):
                    pool = (machine_type.name, zone, spot)
                    if (
                        reservation.matches(machine_type.name, zone)
                        and pool not in self.constraints.unavailable
                        and not is_closed("", pool)
                    ):
                        price = (machine_type.spot_price if spot else machine_type.price) / max(machine_type.cpus, 1e-9)
                        prices.append((round(price, 4), self.machines_per_zone.get(zone, 0), zone, pool))
        for _, _, _, pool in sorted(prices):
            max_rentals = self.constraints.rental_caps.get(pool)
            while (
                remaining_rentals > 0
                and missing_cpus > 1e-6
                and (max_rentals is None or self.to_rent.get(pool, 0) < max_rentals)
            ):
                remaining_rentals -= 1
                self.to_rent[pool] = self.to_rent.get(pool, 0) + 1
                self.machines_per_zone[pool[1]] = self.machines_per_zone.get(pool[1], 0) + 1
                missing_cpus -= max(self.constraints.machine_types[pool[0]].cpus, 1e-9)
