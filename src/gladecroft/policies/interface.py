"""What a policy may say to the core, and nothing else: hold, filter, score, demand, drain, and the records it keeps.

A policy is asked, it never acts. It does no I/O and takes the time from its caller. It may be wrong, late or broken:
then it is not heard for a round, and the core goes on by its own rules.
"""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool


class MachineAttributes(msgspec.Struct, frozen=True):
    """A machine, or one that is yet to be rented (no name)."""

    name: str
    type: str
    zone: str
    spot: bool

    @staticmethod
    def from_pool(name: str, pool: CapacityPool) -> MachineAttributes:
        return MachineAttributes(name, *pool)


class Hold(msgspec.Struct, frozen=True):
    """A job's tasks are not to start before this instant. Hints that never end are not heard: a job would starve."""

    until: datetime
    why: str


class CapacityDemand(msgspec.Struct, frozen=True):
    """Room that is to be there at an instant: so many cores on machines of a type and zone ("": any)."""

    cpus: float
    needed_at: datetime
    type: str = ""
    zone: str = ""

    def matches(self, type: str, zone: str) -> bool:
        """Whether machines of this type in this zone count."""
        return self.type in ("", type) and self.zone in ("", zone)


class Drain(msgspec.Struct, frozen=True):
    """A machine is to be empty by an instant. What can save gets ``grace`` for it before."""

    deadline: datetime
    checkpoint_grace: timedelta
    reason: str


class Policy:
    """One subject's rules. Each question has an answer that says nothing; a policy overrides those it has a say in."""

    #: The subject's name, in settings, logs and reasons.
    subject = ""
    #: Whether ``filter`` looks at the job; if not, it is asked once a machine and round, with no job.
    by_job = False

    def hold(self, job: Job, now: datetime) -> Hold | None:
        """May the job's tasks start now? If not, why, and until when at the latest."""
        return None

    def filter(self, job: Job | None, place: MachineAttributes, now: datetime) -> str | None:
        """Why the machine may not take the job (None: whichever); None if it may."""
        return None

    def score(self, job: Job, place: MachineAttributes, now: datetime) -> float:
        """How well the machine suits the job, among those that the design ranks equal. The least is the best."""
        return 0.0

    def demand(self, now: datetime) -> list[CapacityDemand]:
        """Room that is to exist."""
        return []

    def drain(self, place: MachineAttributes, now: datetime) -> Drain | None:
        """Is the machine to be emptied, and by when?"""
        return None

    def take(self, name: str, value: bytes | None) -> None:
        """One of the policy's own records has changed; None: it is gone. May raise ``msgspec.DecodeError``."""

    def forget(self) -> None:
        """All records are about to be read anew."""
