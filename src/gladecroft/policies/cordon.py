"""Operators' cordon: machines that take nothing new, by name, type or zone.

What runs there runs on; nothing is moved or stopped. A cordon may have an end. It is kept in the state service, so it
outlives every controller, and in an outage each goes by what it last knew.
"""

from __future__ import annotations

from datetime import datetime
from hashlib import blake2b

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.policies.interface import MachineAttributes, Policy
from gladecroft.protocol.operators import CordonInfo, CordonRequest, CordonScope, format_until

#: So many cordons at the most; one for a whole type or zone does for many machines.
MAX_CORDONS = 500


class CordonRecord(CordonInfo, frozen=True, omit_defaults=True):
    """A cordon as it is kept."""

    def is_expired(self, now: datetime) -> bool:
        return 0 < self.until_s <= now.timestamp()

    def sentence(self) -> str:
        """Plain words for reasons and views."""
        why = f" ({self.why})" if self.why else ""
        return f"{self.scope.value} {self.name} takes nothing new{format_until(self.until_s)}{why}"

    def matches(self, place: MachineAttributes) -> bool:
        return (self.scope, self.name) in _names(place)


def _names(place: MachineAttributes) -> tuple[tuple[CordonScope, str], ...]:
    """All that a cordon may call a machine by."""
    return (CordonScope.MACHINE, place.name), (CordonScope.TYPE, place.type), (CordonScope.ZONE, place.zone)


def record_name(scope: CordonScope, name: str) -> str:
    """Under what a cordon is kept. Names may hold what a key can't, so their digest stands for them."""
    return f"{scope.value}.{blake2b(name.encode(), digest_size=12).hexdigest()}"


def make_record(order: CordonRequest, now: datetime) -> CordonRecord:
    return CordonRecord(order.scope, order.name, order.why, order.by, int(now.timestamp()), order.until_s)


class CordonPolicy(Policy):
    subject = "cordon"

    def __init__(self) -> None:
        self.records: dict[str, CordonRecord] = {}
        self._by_name: dict[tuple[CordonScope, str], CordonRecord] = {}

    def take(self, name: str, value: bytes | None) -> None:
        old = self.records.pop(name, None)
        if old is not None:
            self._by_name.pop((old.scope, old.name), None)
        if value is not None:
            record = self.records[name] = msgspec.json.decode(value, type=CordonRecord)
            self._by_name[(record.scope, record.name)] = record

    def forget(self) -> None:
        self.records.clear()
        self._by_name.clear()

    def filter(self, job: Job | None, place: MachineAttributes, now: datetime) -> str | None:
        for key in _names(place):
            record = self._by_name.get(key)
            if record is not None and not record.is_expired(now):
                return record.sentence()
        return None
