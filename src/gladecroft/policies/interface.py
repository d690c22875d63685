"""The interface between policies and the core: holds, filters, scores, capacity reservations, drains and records.

The core queries policies; they never act on their own. A policy does no I/O and gets the time from its caller. A policy
that is slow, fails or returns an invalid value is ignored until the next round. ``wall_now`` is the wall-clock time.
"""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool


class MachineAttributes(msgspec.Struct, frozen=True):
    """The attributes of a machine that policies see; ``name`` is empty for one that could be rented from the cloud."""

    name: str
    type: str
    zone: str
    spot: bool

    @staticmethod
    def from_pool(name: str, pool: CapacityPool) -> MachineAttributes:
        return MachineAttributes(name, *pool)


class Hold(msgspec.Struct, frozen=True):
    """Prevents a job's tasks from starting before an instant. Every hold has an end, so that no job starves."""

    until: datetime
    reason: str


class CapacityReservation(msgspec.Struct, frozen=True):
    """Cores that must be available at an instant on machines of a type and zone; empty type or zone: any."""

    cpus: float
    needed_at: datetime
    type: str = ""
    zone: str = ""

    def matches(self, type: str, zone: str) -> bool:
        """Whether machines of this type and zone count towards the reservation."""
        return self.type in ("", type) and self.zone in ("", zone)


class Drain(msgspec.Struct, frozen=True):
    """Requires a machine to be empty by a deadline; its tasks are stopped ``checkpoint_grace`` before the deadline."""

    deadline: datetime
    checkpoint_grace: timedelta
    reason: str


class Policy:
    """Base class of policies. Each method has a neutral default; a policy overrides those that it needs."""

    #: What the policy is about; identifies it in settings, keys in the state service, logs and reasons.
    subject = ""
    #: Whether ``filter`` depends on the job; if not, it is called once per machine and round, without a job.
    job_specific = False

    def hold(self, job: Job, wall_now: datetime) -> Hold | None:
        """Returns why and until when the job's tasks must not start, or None if they may."""
        return None

    def filter(self, job: Job | None, machine: MachineAttributes, wall_now: datetime) -> str | None:
        """Returns why the machine must not run the job, or any job if ``job`` is None; None if it may."""
        return None

    def score(self, job: Job, machine: MachineAttributes, wall_now: datetime) -> float:
        """Returns a score that breaks ties between machines that are otherwise equal for the job; the lowest wins."""
        return 0.0

    def capacity_reservations(self, wall_now: datetime) -> list[CapacityReservation]:
        """Returns the capacity that must be available in the fleet, as a minimum."""
        return []

    def drain(self, machine: MachineAttributes, wall_now: datetime) -> Drain | None:
        """Returns by when and why the machine must be drained, or None if it need not be."""
        return None

    def update_record(self, name: str, value: bytes | None) -> None:
        """Applies a change of one of the policy's records; None deletes it. May raise ``msgspec.DecodeError``."""

    def clear_records(self) -> None:
        """Deletes all records from memory, before they are read again from the state service."""
