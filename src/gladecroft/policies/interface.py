"""The interface between policies and the core: holds, filters, scores, demands, drains and a policy's own records.

The core queries policies; they never act by themselves. A policy does no I/O and takes the time from its caller. One
that is slow, fails or returns an invalid value is ignored for a round, and the core goes on without it.
"""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool


class MachineAttributes(msgspec.Struct, frozen=True):
    """What a policy sees of a machine, or of one that could be rented (its name is empty)."""

    name: str
    type: str
    zone: str
    spot: bool

    @staticmethod
    def from_pool(name: str, pool: CapacityPool) -> MachineAttributes:
        return MachineAttributes(name, *pool)


class Hold(msgspec.Struct, frozen=True):
    """Keeps a job's tasks from starting before an instant. Every hold ends, or the job could starve."""

    until: datetime
    reason: str


class CapacityDemand(msgspec.Struct, frozen=True):
    """Cores that must be available at an instant on machines of a type and zone; an empty string stands for any."""

    cpus: float
    needed_at: datetime
    type: str = ""
    zone: str = ""

    def matches(self, type: str, zone: str) -> bool:
        """Whether machines of this type and zone count towards the demand."""
        return self.type in ("", type) and self.zone in ("", zone)


class Drain(msgspec.Struct, frozen=True):
    """Asks for a machine to be empty by a deadline; tasks get ``checkpoint_grace`` before it to save checkpoints."""

    deadline: datetime
    checkpoint_grace: timedelta
    reason: str


class Policy:
    """Base class of policies. Each method has a neutral default; a policy overrides those that it needs."""

    #: Name of the policy in settings, keys, logs and reasons.
    subject = ""
    #: Whether ``filter`` depends on the job; if not, it is called once per machine and round, without a job.
    job_specific = False

    def hold(self, job: Job, now: datetime) -> Hold | None:
        """Returns why and until when the job's tasks must not start, or None if they may."""
        return None

    def filter(self, job: Job | None, machine: MachineAttributes, now: datetime) -> str | None:
        """Returns why the machine must not run the job, or any job if ``job`` is None; None if it may."""
        return None

    def score(self, job: Job, machine: MachineAttributes, now: datetime) -> float:
        """Ranks machines that the placers consider equal for the job; the lowest score is the best."""
        return 0.0

    def demand(self, now: datetime) -> list[CapacityDemand]:
        """Returns the capacity that must be available."""
        return []

    def drain(self, machine: MachineAttributes, now: datetime) -> Drain | None:
        """Returns by when and why the machine must be drained, or None if it need not be."""
        return None

    def update_record(self, name: str, value: bytes | None) -> None:
        """Applies a change of one of the policy's records; None deletes it. May raise ``msgspec.DecodeError``."""

    def clear_records(self) -> None:
        """Drops all records, before they are read again from the state service."""
