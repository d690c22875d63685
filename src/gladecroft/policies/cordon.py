"""Cordons: operators exclude machines from new tasks by name, type or zone.

Running tasks stay where they are. A cordon may expire. Cordons are stored in the state service, so they survive
controller restarts; while the state service is down, each controller applies the cordons that it last read.
"""

from __future__ import annotations

from datetime import datetime
from hashlib import blake2b

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TOMBSTONE_RETENTION
from gladecroft.policies.interface import MachineAttributes, Policy
from gladecroft.protocol.operators import CordonInfo, CordonRequest, CordonScope, format_until

#: Maximum number of cordons in effect. A cordon for a type or a zone replaces many for single machines.
MAX_CORDONS = 500
#: Unix time in the past, the expiry of a lifted cordon.
LIFTED_UNTIL_S = 1


class CordonRecord(CordonInfo, frozen=True, omit_defaults=True):
    """A cordon as stored in the state service."""

    def is_expired(self, wall_now: datetime) -> bool:
        """Whether the cordon has expired; one without an expiry never does."""
        return 0 < self.until_s <= wall_now.timestamp()

    def is_deletable(self, wall_now: datetime) -> bool:
        """Whether the cordon has been out of effect for ``TOMBSTONE_RETENTION``."""
        ended_s = max(self.since_s, self.until_s)
        return self.is_expired(wall_now) and wall_now.timestamp() - ended_s > TOMBSTONE_RETENTION.total_seconds()

    def describe(self) -> str:
        """Returns the text that users see as the reason for waiting and operators see in views."""
        why = f" ({self.why})" if self.why else ""
        return f"{self.scope.value} {self.name} takes nothing new{format_until(self.until_s)}{why}"

    def matches(self, machine: MachineAttributes) -> bool:
        """Whether the cordon applies to a machine; its expiry is not checked."""
        return (self.scope, self.name) in _match_keys(machine)


def _match_keys(machine: MachineAttributes) -> tuple[tuple[CordonScope, str], ...]:
    """Returns the scope and name of every cordon that would apply to a machine."""
    return (CordonScope.MACHINE, machine.name), (CordonScope.TYPE, machine.type), (CordonScope.ZONE, machine.zone)


def record_name(scope: CordonScope, name: str) -> str:
    """Returns the last part of a cordon's key; names are hashed since keys can't hold all characters."""
    return f"{scope.value}.{blake2b(name.encode(), digest_size=12).hexdigest()}"


def make_record(request: CordonRequest, wall_now: datetime) -> CordonRecord:
    """Returns the record to store for an operator's request; that of a lifted cordon has expired."""
    until_s = LIFTED_UNTIL_S if request.lift else request.until_s
    return CordonRecord(request.scope, request.name, request.why, request.by, int(wall_now.timestamp()), until_s)


class CordonPolicy(Policy):
    """Filters out machines to which an unexpired cordon applies."""

    subject = "cordon"

    def __init__(self) -> None:
        self.records: dict[str, CordonRecord] = {}
        self._by_target: dict[tuple[CordonScope, str], CordonRecord] = {}

    def update_record(self, name: str, value: bytes | None) -> None:
        old = self.records.pop(name, None)
        if old is not None:
            self._by_target.pop((old.scope, old.name), None)
        if value is not None:
            record = self.records[name] = msgspec.json.decode(value, type=CordonRecord)
            self._by_target[(record.scope, record.name)] = record

    def in_effect(self, wall_now: datetime) -> dict[str, CordonRecord]:
        """Returns the cordons that have not expired, by record name."""
        return {name: record for name, record in self.records.items() if not record.is_expired(wall_now)}

    def clear_records(self) -> None:
        self.records.clear()
        self._by_target.clear()

    def filter(self, job: Job | None, machine: MachineAttributes, wall_now: datetime) -> str | None:
        for key in _match_keys(machine):
            record = self._by_target.get(key)
            if record is not None and not record.is_expired(wall_now):
                return record.describe()
        return None
