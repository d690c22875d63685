"""Messages between controllers.

The home controller of a team is the only one that places the tasks of the team's jobs. The owner of a machine handles
its reports and sends it commands.
"""

from __future__ import annotations

import msgspec

# Paths of the requests; they are fixed by the protocol between controllers.
ENDED_ATTEMPTS_PATH = "/ended"
MACHINE_ANNOUNCEMENT_PATH = "/heard"
REPORTING_QUERY_PATH = "/hears"
CONSENT_PATH = "/consent"
#: Ended attempts per message. With ids of maximum length, the message stays below the limit on the size of a body.
MAX_ENDED_PER_MESSAGE = 300
#: Machines per message, for the same reason; their ids have at most 200 bytes.
MAX_MACHINES_PER_MESSAGE = 80
#: Cancelled jobs per message, for the same reason; their ids have at most 43 bytes.
MAX_CANCELLED_PER_MESSAGE = 900


class EndedAttempt(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """An attempt that is confirmed ended, and its outcome. ``task_number`` is that of the task within the job."""

    job_id: str
    task_number: int
    attempt: int
    done: bool
    note: str = ""
    failed: bool = False


class EndedAttempts(msgspec.Struct, frozen=True):
    """Sent by the owner of the attempts' machines to the home controller of the jobs. Valid only in this epoch."""

    epoch: int
    attempts: list[EndedAttempt]


class ReportedMachine(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """A machine that is up without a record. None of these properties ever changes."""

    name: str
    type: str
    zone: str
    spot: bool
    addr: str


class MachineAnnouncement(msgspec.Struct, frozen=True, rename={"returned": "gone"}):
    """Sent by the owner of machines, or by the leader, to all other controllers.

    ``machines`` are up without a record; ``returned`` are the ids of machines that were returned to the cloud.
    """

    machines: list[ReportedMachine]
    returned: list[str] = []


class ConsentRequest(msgspec.Struct, frozen=True):
    """Sent by a controller that can't reach the state service, to request consent under this epoch.

    With the consent of all peers it may keep replying to its machines' reports, which renews their leases.
    ``revision``: the revision up to which its cluster state is complete. Without it the reply lists no cancellations.
    """

    epoch: int
    revision: int | None = None


class CancelledJob(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """A job whose record is marked as cancelled, and the revision of that change."""

    job: str
    version: int


class ConsentReply(msgspec.Struct, frozen=True):
    """The positive reply to ``ConsentRequest``, with the known cancellations newer than the requester's revision.

    ``complete``: the list contains every such cancellation, including those that the sender acknowledged to users in
    earlier incarnations.
    """

    cancelled: list[CancelledJob] = []
    complete: bool = False


class ReportingQuery(msgspec.Struct, frozen=True):
    """In the request, machines that their owner is asked about; in the reply, those that report to it."""

    machines: list[str]
