"""Keeps the agreement on who comes first in an overload: the leader writes it, all go by it."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.waiting import Group
from gladecroft.coordination.admission.needs import Held, Share, fair_shares, is_short, starving
from gladecroft.coordination.admission.shares import Amounts
from gladecroft.coordination.admission.tiers import Tiers
from gladecroft.coordination.ledger import Ledger, PolicyPut
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.node import Node

log = logging.getLogger(__name__)

LOOK_EVERY = timedelta(seconds=1)
#: A group starves when it has been below its floor for its class's patience, or this long if that is longer.
LONGEST_PATIENCE = timedelta(seconds=60)
#: The record is written at most this often, and counts for this long after that. So a change of owner costs some
#: generations at the most, and a record that nobody renews is soon none.
WRITE_EVERY = timedelta(seconds=5)
COUNTS_FOR = timedelta(seconds=30)
#: Once there has been enough for all for this long the agreement ends.
CALM = timedelta(seconds=10)
#: A share that has moved by less is not written anew.
SAME = 0.1
#: Bytes of a record that are left to what is not groups.
HEAD = 300


class Admission:
    """``capacity``: cores, cards and GB of the machines that are up or coming. ``patience``: seconds, by class."""

    def __init__(
        self,
        node: Node,
        membership: Membership,
        ledger: Ledger,
        capacity: Callable[[], Amounts],
        patience: Callable[[str], float],
    ) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ledger = ledger
        self._capacity = capacity
        self._patience = patience
        self._looked_at = timedelta(days=-1)
        self._written_at = timedelta(days=-1)
        self._short_at = timedelta(days=-1)
        #: Since when each group has been below its floor.
        self._since: dict[Group, timedelta] = {}
        #: Once some have starved all go by their floors until there is enough for all again: also who comes later.
        self._pressed = False

    def record(self) -> rec.AdmissionRecord | None:
        """What is agreed now. Without news of it a controller goes by the usual order."""
        record = self.picture.admission
        if record is None or record.until_s <= self.node.wall.timestamp():
            return None
        return record

    def tiers(self) -> Tiers | None:
        """What the agreement makes of one round; None: nothing."""
        record = self.record()
        return None if record is None else Tiers(record, self.picture.waiting.groups)

    def epoch_changed(self) -> None:
        """Another may lead now; who has just come to lead goes on with what is agreed."""
        self._since.clear()
        self._pressed = self.record() is not None

    def tick(self) -> None:
        node = self.node
        if node.now - self._looked_at < LOOK_EVERY or not self.membership.leads():
            return
        self._looked_at = node.now
        if not self.picture.queued and self.picture.admission is None:
            self._since.clear()
            return
        self._look()

    def _look(self) -> None:
        now = self.node.now
        held = {group: Held((*use.used,), (*use.waiting,)) for group, use in self.picture.waiting.groups.items()}
        capacity = self._capacity()
        if is_short(held, capacity):
            self._short_at = now
        elif now - self._short_at >= CALM:
            self._since.clear()
            self._pressed = False
            if self.picture.admission is not None:
                self._put(None)
            return
        shares = fair_shares(held, self.picture.limits, capacity)
        below = starving(held, shares)
        self._since = {group: self._since.get(group, now) for group in below}
        for group, since in self._since.items():
            if now - since >= min(LONGEST_PATIENCE, timedelta(seconds=self._patience(group[1]))):
                self._pressed = True
        if self._pressed:
            self._agree(held, shares)

    def _agree(self, held: dict[Group, Held], shares: dict[Group, Share]) -> None:
        """Write who comes first and who last, if that differs from what is agreed."""
        # All are named: who has more than its share now may be below it in a second, and who is not named would go on
        # evicting those that are. Those that lack most stand first, should a value not hold all.
        order = sorted(shares, key=lambda group: (held[group].used[0] / max(shares[group].floor, 1e-9), group))
        groups = [rec.GroupShare(*group, shares[group].floor, shares[group].share) for group in order]
        now, wall = self.node.now, int(self.node.wall.timestamp())
        before = self.record()
        lasts = before is not None and before.until_s - wall > COUNTS_FOR.total_seconds() / 2
        if lasts and before is not None and _alike(before.groups, groups) or now - self._written_at < WRITE_EVERY:
            return
        record = rec.AdmissionRecord(
            1 if self.picture.admission is None else self.picture.admission.generation + 1,
            "shaping",
            wall if before is None else before.since_s,
            wall + int(COUNTS_FOR.total_seconds()),
            _fitting(groups, self.picture.value_bytes - HEAD),
            secrets.token_hex(8) if before is None else before.salt,
        )
        self._put(record)

    def _put(self, record: rec.AdmissionRecord | None) -> None:
        """Last in line for the changes: what is agreed before counts for some time if there are none to be had."""
        self._written_at = self.node.now
        value = None if record is None else msgspec.json.encode(record)

        def done() -> None:
            if record is None:
                log.info("admission: there is enough for all again")
            else:
                first = [f"{each.team}/{each.job_class} {each.floor:.0f} of {each.share:.0f}" for each in record.groups]
                log.info("admission: generation %d, %s: %s", record.generation, record.level, "; ".join(first[:6]))

        self.ledger.policy_puts[rec.ADMISSION] = PolicyPut(value, self.node.now, done)


def _alike(before: list[rec.GroupShare], now: list[rec.GroupShare]) -> bool:
    """Whether the same groups have nearly the same shares."""
    known = {(each.team, each.job_class): each for each in before}
    return known.keys() == {(each.team, each.job_class) for each in now} and all(
        abs(each.share - known[(each.team, each.job_class)].share) <= SAME * max(each.share, 1.0) for each in now
    )


def _fitting(groups: list[rec.GroupShare], most: int) -> list[rec.GroupShare]:
    """As many groups as a value holds, those first that lack most."""
    size = 0
    for index, group in enumerate(groups):
        size += len(msgspec.json.encode(group)) + 1
        if size > most:
            return groups[:index]
    return groups
