"""Fair shares of a fleet, as pure functions: weighted max-min over each group's scarcest resource.

After A. Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple Resource Types", NSDI '11. A group's
*dominant share* is the largest part that it gets of any one resource. All groups' shares are raised together, each as
fast as its weight says; one stops when it has what it needs, when its limit is reached, or when a resource that it
needs is used up. What a group is guaranteed it has before that, and what one does not use goes to the others.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

import msgspec

#: Amounts of each resource, in the same order everywhere: cores, cards, memory in GB.
Amounts = tuple[float, ...]

TINY = 1e-9

K = TypeVar("K", bound=Hashable)


class Need(msgspec.Struct, frozen=True):
    """What a group could use at once, of each resource. ``guaranteed`` and ``most``: the parts of the need (0 to 1)
    that are its by right, and that its limit allows."""

    amounts: Amounts
    weight: float = 1.0
    guaranteed: float = 0.0
    most: float = 1.0


def dominant(amounts: Amounts, capacity: Amounts) -> float:
    """The largest part of any resource that the amounts take; resources of which there is none count for nothing."""
    return max((each / there for each, there in zip(amounts, capacity, strict=True) if there > 0), default=0.0)


def fair_parts(needs: Mapping[K, Need], capacity: Amounts) -> dict[K, float]:
    """For each group the part of its need (0 to 1) that it gets.

    Guarantees that add up to more than there is are cut by the same factor. Properties (``test_admission``): nothing
    is used that is not there; each gets at least an even part of every resource, or what it needs; nobody would rather
    have another's part, or gets more by asking for more; what is left over nobody could use.
    """
    if not needs:
        return {}
    height = {key: dominant(need.amounts, capacity) for key, need in needs.items()}
    most = {key: max(0.0, min(1.0, need.most)) for key, need in needs.items()}
    # A group that needs what there is none of gets nothing, and holds nobody up.
    for key, need in needs.items():
        if any(each > TINY and there <= 0 for each, there in zip(need.amounts, capacity, strict=True)):
            most[key] = 0.0
    base = {key: min(most[key], max(0.0, need.guaranteed)) for key, need in needs.items()}
    over = max((used / there for used, there in zip(_used(needs, base), capacity, strict=True) if there > 0), default=0)
    if over > 1:
        base = {key: part / over for key, part in base.items()}
        return base
    parts = dict(base)
    rising = {key for key in needs if most[key] > base[key] + TINY and height[key] > TINY}
    parts.update({key: most[key] for key in needs if height[key] <= TINY})
    level = 0.0
    while rising:
        high = _rise(needs, parts, rising, height, base, most, capacity, level)
        parts = _raised(needs, parts, rising, height, base, most, high)
        level = high
        used = _used(needs, parts)
        full = {index for index, there in enumerate(capacity) if there > 0 and used[index] >= there * (1 - 1e-6)}
        still = {
            key
            for key in rising
            if parts[key] < most[key] - TINY and not any(needs[key].amounts[index] > TINY for index in full)
        }
        if still == rising:
            break
        rising = still
    return parts


def _raised(
    needs: Mapping[K, Need],
    parts: Mapping[K, float],
    rising: set[K],
    height: Mapping[K, float],
    base: Mapping[K, float],
    most: Mapping[K, float],
    level: float,
) -> dict[K, float]:
    """The parts with the rising groups' dominant shares, over their weights, at a level."""
    raised = dict(parts)
    for key in rising:
        raised[key] = min(most[key], max(base[key], level * needs[key].weight / height[key]))
    return raised


def _rise(
    needs: Mapping[K, Need],
    parts: Mapping[K, float],
    rising: set[K],
    height: Mapping[K, float],
    base: Mapping[K, float],
    most: Mapping[K, float],
    capacity: Amounts,
    level: float,
) -> float:
    """How far the level can rise before a resource is used up, or nobody rises any more.

    What is used grows in straight pieces: each group begins where its guarantee ends and stops where it has enough.
    """
    turns: list[tuple[float, int, K]] = []
    for order, key in enumerate(sorted(rising, key=repr)):
        scale = height[key] / needs[key].weight
        turns.append((max(level, base[key] * scale), 2 * order + 1, key))
        turns.append((max(level, most[key] * scale), 2 * order + 2, key))
    turns.sort(key=lambda turn: turn[:2])
    used = list(_used(needs, parts))
    slope = [0.0] * len(capacity)
    growing: set[K] = set()
    for at, _, key in turns:
        if at > level:
            to_full = min(
                (
                    (there - now) / rate
                    for there, now, rate in zip(capacity, used, slope, strict=True)
                    if there > 0 and rate > TINY * there
                ),
                default=at - level,
            )
            if to_full < at - level:
                return level + max(0.0, to_full)
            used = [now + rate * (at - level) for now, rate in zip(used, slope, strict=True)]
            level = at
        step = needs[key].weight / height[key] * (-1.0 if key in growing else 1.0)
        growing ^= {key}
        slope = [rate + step * each for rate, each in zip(slope, needs[key].amounts, strict=True)]
    return level


def _used(needs: Mapping[K, Need], parts: Mapping[K, float]) -> Amounts:
    used: list[float] = []
    for key, need in needs.items():
        if not used:
            used = [0.0] * len(need.amounts)
        for index, each in enumerate(need.amounts):
            used[index] += each * parts[key]
    return tuple(used)
