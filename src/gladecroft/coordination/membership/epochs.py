"""What the next epoch is to be, and who proposes it when, as functions over records."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import RETRY_DELAY

#: How long newcomers wait for each other before they propose an epoch.
NEXT = timedelta(seconds=0.3)


def _by_age(old: Mapping[str, int], live: Mapping[str, int]) -> list[str]:
    """The live members, those who were there before first."""
    return sorted(live, key=lambda name: (old.get(name) != live[name], live[name]))


def turn(name: str, epoch: rec.EpochRecord | None, live: Mapping[str, int]) -> timedelta:
    """How long a member waits for others before it proposes the next epoch. ``live``: incarnations by member."""
    old = epoch.members if epoch is not None else {}
    order = _by_age(old, live)
    newcomers = [each for each in order if old.get(each) != live[each]]
    if name in newcomers:
        # Those who were there before come first, but may be dead with their leases still running. After a crash of
        # all, leases of machines run out in the second that it takes until the last has come back.
        return (1 + newcomers.index(name)) * NEXT
    return order.index(name) * 2 * RETRY_DELAY


def next_epoch(
    epoch: rec.EpochRecord | None,
    live: dict[str, int],
    moves: Mapping[str, str],
    of_use: Callable[[str], bool],
) -> rec.EpochRecord:
    """The epoch after this one. The leader stays if it lives; so do moved machines that are ``of_use`` still."""
    old = epoch.members if epoch is not None else {}
    leader = (
        epoch.leader if epoch is not None and live.get(epoch.leader) == old.get(epoch.leader) else _by_age(old, live)[0]
    )
    kept = {name: to for name, to in (epoch.moved if epoch else {}).items() if live.get(to, -1) == old.get(to)}
    kept = {name: to for name, to in {**kept, **moves}.items() if name in moves or of_use(name)}
    return rec.EpochRecord((epoch.number if epoch else 0) + 1, leader, live, kept)


def fitting(record: rec.EpochRecord, most: int) -> rec.EpochRecord:
    """The record with as many of its moved machines, the latest, as fit into a value of so many bytes."""
    moved = list(record.moved.items())
    size = len(msgspec.json.encode(record))
    drop = 0
    while size > most and drop < len(moved):
        name, to = moved[drop]
        size -= len(msgspec.json.encode(name)) + len(msgspec.json.encode(to)) + 2
        drop += 1
    return msgspec.structs.replace(record, moved=dict(moved[drop:])) if drop else record
