"""What controllers say to each other."""

from __future__ import annotations

import msgspec

ENDED_ATTEMPTS_PATH = "/ended"
REPORTED_MACHINES_PATH = "/heard"
REPORTING_MACHINES_PATH = "/hears"
CONSENT_PATH = "/consent"
#: How many ends go into one message at the most; with the longest names it stays under the limit of a body.
MAX_ENDED_PER_MESSAGE = 300
#: The same for machines; names are at most 200 bytes long.
MAX_MACHINES_PER_MESSAGE = 80
#: The same for cancelled jobs, whose names are at most 43 bytes long.
MAX_CANCELLED_PER_MESSAGE = 900


class EndedAttempt(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """An attempt that is proven gone, and how it ended."""

    job: str
    number: int
    attempt: int
    done: bool
    note: str = ""
    failed: bool = False


class EndedAttempts(msgspec.Struct, frozen=True):
    """From the owner of the machines to the home of the jobs. The proofs hold under this epoch only."""

    epoch: int
    attempts: list[EndedAttempt]


class ReportedMachine(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """A machine that has reported to its owner. What is told of it never changes."""

    name: str
    type: str
    zone: str
    spot: bool
    addr: str


class ReportedMachines(msgspec.Struct, frozen=True):
    """From the owner of machines, or the leader, to all other controllers. ``gone``: returned to the cloud."""

    machines: list[ReportedMachine]
    gone: list[str] = []


class ConsentRequest(msgspec.Struct, frozen=True):
    """From a controller that the state service does not serve: may it go on answering its machines under this epoch?

    ``revision``: up to which its picture holds all that was committed. Without it nothing is told of cancellations.
    """

    epoch: int
    revision: int | None = None


class CancelledJob(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """A job whose record has been marked as cancelled, and the revision of that change."""

    job: str
    version: int


class ConsentReply(msgspec.Struct, frozen=True):
    """The answer to ``ConsentWanted``: yes, and the cancellations known to the sender that are newer than the asker's
    revision. ``complete``: these are all of them, and all that the sender, in whatever life, has ever told a user."""

    cancelled: list[CancelledJob] = []
    complete: bool = False


class ReportingMachines(msgspec.Struct, frozen=True):
    """Machines about which their owner is asked, and, in its answer, those of them that it hears."""

    machines: list[str]
