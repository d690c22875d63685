"""Messages between controllers."""

from __future__ import annotations

import msgspec

ENDED_ATTEMPTS_PATH = "/ended"
REPORTED_MACHINES_PATH = "/heard"
REPORTING_MACHINES_PATH = "/hears"
CONSENT_PATH = "/consent"
#: Ended attempts per message; with names of maximal length it stays below the limit on the size of a body.
MAX_ENDED_PER_MESSAGE = 300
#: Machines per message, for the same reason; their names have at most 200 bytes.
MAX_MACHINES_PER_MESSAGE = 80
#: Cancelled jobs per message, for the same reason; their ids have at most 43 bytes.
MAX_CANCELLED_PER_MESSAGE = 900


class EndedAttempt(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """An attempt that is confirmed ended, and its outcome."""

    job: str
    number: int
    attempt: int
    done: bool
    note: str = ""
    failed: bool = False


class EndedAttempts(msgspec.Struct, frozen=True):
    """Sent by the owner of the machines to the home controller of the jobs. Valid only under this epoch."""

    epoch: int
    attempts: list[EndedAttempt]


class ReportedMachine(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """A machine that has reported to its owner. None of these properties ever changes."""

    name: str
    type: str
    zone: str
    spot: bool
    addr: str


class ReportedMachines(msgspec.Struct, frozen=True):
    """Sent by the owner of machines, or by the leader, to all other controllers. ``gone``: returned to the cloud."""

    machines: list[ReportedMachine]
    gone: list[str] = []


class ConsentRequest(msgspec.Struct, frozen=True):
    """Asked by a controller that can't reach the state service: may it go on answering its machines under this epoch?

    ``revision``: the revision up to which its cluster state is complete. Without it the reply lists no cancellations.
    """

    epoch: int
    revision: int | None = None


class CancelledJob(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """A job whose record is marked as cancelled, and the revision of that change."""

    job: str
    version: int


class ConsentReply(msgspec.Struct, frozen=True):
    """The positive reply to ``ConsentRequest``, with the known cancellations that are newer than the asker's revision.

    ``complete``: the list contains every such cancellation, including those that the sender confirmed to users in
    earlier incarnations.
    """

    cancelled: list[CancelledJob] = []
    complete: bool = False


class ReportingMachines(msgspec.Struct, frozen=True):
    """In a request, machines about which their owner is asked; in the reply, those whose reports it receives."""

    machines: list[str]
