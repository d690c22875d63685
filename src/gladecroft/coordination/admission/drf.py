"""Dominant resource fairness (DRF) with weights, guarantees and limits, as pure functions.

After A. Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types", NSDI '11. A group's
*dominant share* is the largest fraction that it gets of any one resource. Guarantees are granted first. Then the
dominant shares of all groups rise together, in proportion to their weights. A group's share stops rising when its
demand is met, its limit is reached, or a resource that it needs is exhausted. Capacity that a group leaves unused is
divided among the other groups.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

import msgspec

#: Amounts of the resources, in the same order everywhere: cores, GPUs, memory in GB.
ResourceVector = tuple[float, ...]

EPSILON = 1e-9

K = TypeVar("K", bound=Hashable)


class ResourceDemand(msgspec.Struct, frozen=True):
    """The resources that a group could use simultaneously, its weight, and the fractions (0 to 1) of its demand that
    are guaranteed and that its limit allows."""

    amounts: ResourceVector
    weight: float = 1.0
    guaranteed_fraction: float = 0.0
    max_fraction: float = 1.0


def dominant_share(amounts: ResourceVector, capacity: ResourceVector) -> float:
    """Return the largest fraction of any resource that the amounts take; resources without capacity are ignored."""
    return max(
        (amount / available for amount, available in zip(amounts, capacity, strict=True) if available > 0), default=0.0
    )


def drf_fractions(demands: Mapping[K, ResourceDemand], capacity: ResourceVector) -> dict[K, float]:
    """Return the fraction (0 to 1) of its demand that each group is granted.

    If guarantees together exceed the capacity, they are scaled down by a common factor. Properties with equal weights
    and without guarantees and limits (checked in ``test_admission``): the capacity is not exceeded; each group is
    granted at least what an equal part of every resource would allow, up to its demand (sharing incentive); no group
    would prefer another's allocation (envy-freeness) or gain by overstating its demand (strategy-proofness); capacity
    stays unused only if no group can use it (work conservation).
    """
    return _ProgressiveFilling(demands, capacity).fill() if demands else {}


class _ProgressiveFilling(Generic[K]):
    """Progressive filling. The level is the dominant share divided by the weight.

    It is equal for all active groups that have risen above their guaranteed fraction. A group is active while its
    granted fraction can still rise.
    """

    def __init__(self, demands: Mapping[K, ResourceDemand], capacity: ResourceVector) -> None:
        self.demands = demands
        self.capacity = capacity
        self.dominant_shares = {key: dominant_share(demand.amounts, capacity) for key, demand in demands.items()}
        self.max_fractions = {key: max(0.0, min(1.0, demand.max_fraction)) for key, demand in demands.items()}
        # A group that needs a resource without capacity gets nothing, and does not stop the shares of other groups from
        # rising.
        for key, demand in demands.items():
            if any(
                amount > EPSILON and available <= 0 for amount, available in zip(demand.amounts, capacity, strict=True)
            ):
                self.max_fractions[key] = 0.0
        self.guaranteed_fractions = {
            key: min(self.max_fractions[key], max(0.0, demand.guaranteed_fraction)) for key, demand in demands.items()
        }
        self.fractions = dict(self.guaranteed_fractions)
        self.active: set[K] = set()

    def fill(self) -> dict[K, float]:
        """Raise the level until no group is active; return the fractions granted."""
        used = zip(self._used(), self.capacity, strict=True)
        overcommit = max((amount / available for amount, available in used if available > 0), default=0.0)
        if overcommit > 1:
            return {key: fraction / overcommit for key, fraction in self.guaranteed_fractions.items()}
        for key in self.demands:
            if self.dominant_shares[key] <= EPSILON:
                self.fractions[key] = self.max_fractions[key]
            elif self.max_fractions[key] > self.guaranteed_fractions[key] + EPSILON:
                self.active.add(key)
        level = 0.0
        while self.active:
            level = self._next_level(level)
            for key in self.active:
                fraction = level * self.demands[key].weight / self.dominant_shares[key]
                self.fractions[key] = min(self.max_fractions[key], max(self.guaranteed_fractions[key], fraction))
            still_active = self._still_active()
            if still_active == self.active:
                break
            self.active = still_active
        return self.fractions

    def _still_active(self) -> set[K]:
        """Return the active groups whose granted fraction can still rise and that need no exhausted resource."""
        exhausted = [
            amount >= available * (1 - 1e-6) for amount, available in zip(self._used(), self.capacity, strict=True)
        ]
        exhausted = [is_full and available > 0 for is_full, available in zip(exhausted, self.capacity, strict=True)]
        return {
            key
            for key in self.active
            if self.fractions[key] < self.max_fractions[key] - EPSILON
            and not any(
                amount > EPSILON and is_exhausted
                for amount, is_exhausted in zip(self.demands[key].amounts, exhausted, strict=True)
            )
        }

    def _next_level(self, level: float) -> float:
        """Return the level up to which the active groups can rise before a resource is exhausted or all have stopped.

        Resource usage is piecewise linear in the level: the granted fraction of a group starts to rise at the level
        where it exceeds the guaranteed fraction, and stops at its maximum.
        """
        events: list[tuple[float, int, K]] = []
        for index, key in enumerate(sorted(self.active, key=repr)):
            scale = self.dominant_shares[key] / self.demands[key].weight
            events.append((max(level, self.guaranteed_fractions[key] * scale), 2 * index, key))
            events.append((max(level, self.max_fractions[key] * scale), 2 * index + 1, key))
        events.sort(key=lambda event: event[:2])
        used = self._used()
        slope = [0.0] * len(self.capacity)
        growing: set[K] = set()
        for event_level, _, key in events:
            if event_level > level:
                rise = min(
                    (
                        (available - amount) / rate
                        for available, amount, rate in zip(self.capacity, used, slope, strict=True)
                        if available > 0 and rate > EPSILON * available
                    ),
                    default=event_level - level,
                )
                if rise < event_level - level:
                    return level + max(0.0, rise)
                used = [amount + rate * (event_level - level) for amount, rate in zip(used, slope, strict=True)]
                level = event_level
            step = self.demands[key].weight / self.dominant_shares[key] * (-1.0 if key in growing else 1.0)
            growing ^= {key}
            slope = [rate + step * amount for rate, amount in zip(slope, self.demands[key].amounts, strict=True)]
        return level

    def _used(self) -> list[float]:
        """Return the amount of each resource that the current granted fractions use."""
        used = [0.0] * len(self.capacity)
        for key, demand in self.demands.items():
            for index, amount in enumerate(demand.amounts):
                used[index] += amount * self.fractions[key]
        return used
