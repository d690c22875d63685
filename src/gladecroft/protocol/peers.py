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
#: Maximum number of ended attempts per message. With job ids of maximum length and notes of 24 characters, the message
#: stays below ``wire.MAX_BODY_BYTES``.
MAX_ENDED_PER_MESSAGE = 300
#: Maximum number of machines per message, within the same limit on its size; machine ids of up to 200 bytes fit.
MAX_MACHINES_PER_MESSAGE = 80
#: Maximum number of cancelled jobs per message, within the same limit; their ids have at most 43 bytes.
MAX_CANCELLED_PER_MESSAGE = 900


class EndedAttempt(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """An attempt that is confirmed ended, and its outcome. ``task_number`` is that of the task within the job.

    ``done``: the task completed; ``failed``: the attempt counts as a failure of the task. An attempt that was stopped
    or lost is neither. ``note``: why the attempt ended without completing the task.
    """

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
    """A machine that is up and has no record in the state service. None of these properties ever changes.

    ``name`` is the machine's id.
    """

    name: str
    type: str
    zone: str
    spot: bool
    addr: str


class MachineAnnouncement(msgspec.Struct, frozen=True, rename={"returned": "gone"}):
    """Sent by the owner of machines, or by the leader, to other controllers.

    ``machines`` are up and have no record; ``returned`` are the ids of machines that were returned to the cloud.
    """

    machines: list[ReportedMachine]
    returned: list[str] = []


class ConsentRequest(msgspec.Struct, frozen=True):
    """Sent by a controller whose calls to the state service fail, to request consent to keep renewing machine leases.

    With the consent of all peers it may keep replying to its machines' reports in this epoch, which renews their
    leases.
    ``revision``: the revision up to which its cluster state is complete. Without it the reply lists no cancellations.
    """

    epoch: int
    revision: int | None = None


class CancelledJob(msgspec.Struct, gc=False, frozen=True, array_like=True):
    """The id of a job whose record is marked as cancelled, and the version of that record, a revision."""

    job: str
    version: int


class ConsentReply(msgspec.Struct, frozen=True):
    """The positive reply to ``ConsentRequest``, with the known cancellations newer than the requester's revision.

    A refusal is an HTTP error. ``complete``: the list contains every such cancellation of an unfinished job, including
    those that the replying controller acknowledged to users in earlier incarnations.
    """

    cancelled: list[CancelledJob] = []
    complete: bool = False


class ReportingQuery(msgspec.Struct, frozen=True):
    """Ids of machines: in the query, those that their owner is asked about; in the reply, those that report to it."""

    machines: list[str]
