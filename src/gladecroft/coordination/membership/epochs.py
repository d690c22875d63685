"""Computes the next epoch record, and when each member proposes it, as pure functions.

A *moved* machine is assigned to an owner by the epoch record, which overrides the assignment by hash.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import RETRY_DELAY

#: Delay between the proposals of one joining member and the next.
JOINING_MEMBER_DELAY = timedelta(seconds=0.3)


def _by_seniority(previous: Mapping[str, int], members: Mapping[str, int]) -> list[str]:
    """Sort the live members: those of the previous epoch in the same incarnation come first, then by incarnation."""
    return sorted(members, key=lambda name: (previous.get(name) != members[name], members[name]))


def proposal_delay(name: str, epoch: rec.EpochRecord | None, members: Mapping[str, int]) -> timedelta:
    """How long a member lets others propose the next epoch before it does so itself.

    ``members`` maps each live member to its incarnation.
    """
    previous = epoch.members if epoch is not None else {}
    order = _by_seniority(previous, members)
    joining = [each for each in order if previous.get(each) != members[each]]
    if name in joining:
        # The most senior member of the previous epoch proposes first, but it may have crashed while its member lease is
        # still valid. After a crash of all controllers, machine leases may expire in the second that the last one takes
        # to come back, so joining members must not wait long.
        return (1 + joining.index(name)) * JOINING_MEMBER_DELAY
    return order.index(name) * 2 * RETRY_DELAY


def next_epoch(
    epoch: rec.EpochRecord | None,
    members: dict[str, int],
    moves: Mapping[str, str],
    still_exists: Callable[[str], bool],
) -> rec.EpochRecord:
    """The record that follows ``epoch``.

    ``members`` maps each live member to its incarnation, ``moves`` the machines to move to their new owners. The leader
    stays if it is still live in the same incarnation. Machines moved earlier stay with their owners as long as the
    owner is live in the same incarnation and the machine exists.
    """
    previous = epoch.members if epoch is not None else {}
    leader = (
        epoch.leader
        if epoch is not None and members.get(epoch.leader) == previous.get(epoch.leader)
        else _by_seniority(previous, members)[0]
    )
    moved = {name: to for name, to in (epoch.moved if epoch else {}).items() if members.get(to, -1) == previous.get(to)}
    moved = {name: to for name, to in {**moved, **moves}.items() if name in moves or still_exists(name)}
    return rec.EpochRecord((epoch.number if epoch else 0) + 1, leader, members, moved)


def fit_to_size(record: rec.EpochRecord, max_bytes: int) -> rec.EpochRecord:
    """Drop moved machines, in the order of the record, until the encoded record fits into ``max_bytes``."""
    moved = list(record.moved.items())
    size = len(msgspec.json.encode(record))
    dropped = 0
    while size > max_bytes and dropped < len(moved):
        name, to = moved[dropped]
        size -= len(msgspec.json.encode(name)) + len(msgspec.json.encode(to)) + 2
        dropped += 1
    return msgspec.structs.replace(record, moved=dict(moved[dropped:])) if dropped else record
