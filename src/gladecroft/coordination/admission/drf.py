"""Fair shares of a fleet, as pure functions: weighted max-min over each group's scarcest resource.

After A. Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types", NSDI '11. A group's
*dominant share* is the largest part that it gets of any one resource. All groups' shares are raised together, each as
fast as its weight says; one stops when it has what it needs, when its limit is reached, or when a resource that it
needs is used up. What a group is guaranteed it has before that, and what one does not use goes to the others.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

import msgspec

#: Amounts of each resource, in the same order everywhere: cores, cards, memory in GB.
ResourceVector = tuple[float, ...]

TINY = 1e-9

K = TypeVar("K", bound=Hashable)


class ResourceDemand(msgspec.Struct, frozen=True):
    """What a group could use at once, of each resource. ``guaranteed`` and ``most``: the parts of the need (0 to 1)
    that are its by right, and that its limit allows."""

    amounts: ResourceVector
    weight: float = 1.0
    guaranteed: float = 0.0
    most: float = 1.0


def dominant(amounts: ResourceVector, capacity: ResourceVector) -> float:
    """The largest part of any resource that the amounts take; resources of which there is none count for nothing."""
    return max((each / there for each, there in zip(amounts, capacity, strict=True) if there > 0), default=0.0)


def fair_parts(needs: Mapping[K, ResourceDemand], capacity: ResourceVector) -> dict[K, float]:
    """For each group the part of its need (0 to 1) that it gets.

    Guarantees that add up to more than there is are cut by the same factor. Properties (``test_admission``): nothing
    is used that is not there; each gets at least an even part of every resource, or what it needs; nobody would rather
    have another's part, or gets more by asking for more; what is left over nobody could use.
    """
    return _ProgressiveFilling(needs, capacity).fill() if needs else {}


class _ProgressiveFilling(Generic[K]):
    """Progressive filling: the level is the dominant share, over the weight, of all that still rise."""

    def __init__(self, needs: Mapping[K, ResourceDemand], capacity: ResourceVector) -> None:
        self.needs = needs
        self.capacity = capacity
        self.height = {key: dominant(need.amounts, capacity) for key, need in needs.items()}
        self.most = {key: max(0.0, min(1.0, need.most)) for key, need in needs.items()}
        # A group that needs what there is none of gets nothing, and holds nobody up.
        for key, need in needs.items():
            if any(each > TINY and there <= 0 for each, there in zip(need.amounts, capacity, strict=True)):
                self.most[key] = 0.0
        self.base = {key: min(self.most[key], max(0.0, need.guaranteed)) for key, need in needs.items()}
        self.parts = dict(self.base)
        self.rising: set[K] = set()

    def fill(self) -> dict[K, float]:
        used = zip(self._used(), self.capacity, strict=True)
        over = max((now / there for now, there in used if there > 0), default=0.0)
        if over > 1:
            return {key: part / over for key, part in self.base.items()}
        for key in self.needs:
            if self.height[key] <= TINY:
                self.parts[key] = self.most[key]
            elif self.most[key] > self.base[key] + TINY:
                self.rising.add(key)
        level = 0.0
        while self.rising:
            level = self._rise(level)
            for key in self.rising:
                part = level * self.needs[key].weight / self.height[key]
                self.parts[key] = min(self.most[key], max(self.base[key], part))
            still = self._still_rising()
            if still == self.rising:
                break
            self.rising = still
        return self.parts

    def _still_rising(self) -> set[K]:
        """Those that have not enough yet, and need nothing that is used up."""
        full = [now >= there * (1 - 1e-6) for now, there in zip(self._used(), self.capacity, strict=True)]
        full = [each and there > 0 for each, there in zip(full, self.capacity, strict=True)]
        return {
            key
            for key in self.rising
            if self.parts[key] < self.most[key] - TINY
            and not any(each > TINY and out for each, out in zip(self.needs[key].amounts, full, strict=True))
        }

    def _rise(self, level: float) -> float:
        """How far the level can rise before a resource is used up, or nobody rises any more.

        What is used grows in straight pieces: each group begins where its guarantee ends and stops where it has enough.
        """
        turns: list[tuple[float, int, K]] = []
        for order, key in enumerate(sorted(self.rising, key=repr)):
            scale = self.height[key] / self.needs[key].weight
            turns.append((max(level, self.base[key] * scale), 2 * order, key))
            turns.append((max(level, self.most[key] * scale), 2 * order + 1, key))
        turns.sort(key=lambda turn: turn[:2])
        used = self._used()
        slope = [0.0] * len(self.capacity)
        growing: set[K] = set()
        for at, _, key in turns:
            if at > level:
                to_full = min(
                    (
                        (there - now) / rate
                        for there, now, rate in zip(self.capacity, used, slope, strict=True)
                        if there > 0 and rate > TINY * there
                    ),
                    default=at - level,
                )
                if to_full < at - level:
                    return level + max(0.0, to_full)
                used = [now + rate * (at - level) for now, rate in zip(used, slope, strict=True)]
                level = at
            step = self.needs[key].weight / self.height[key] * (-1.0 if key in growing else 1.0)
            growing ^= {key}
            slope = [rate + step * each for rate, each in zip(slope, self.needs[key].amounts, strict=True)]
        return level

    def _used(self) -> list[float]:
        used = [0.0] * len(self.capacity)
        for key, need in self.needs.items():
            for index, each in enumerate(need.amounts):
                used[index] += each * self.parts[key]
        return used
