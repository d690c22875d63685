"""The form of what is kept in the state service.

g/epoch            the epoch: members, leader, machines moved by hand of the split
g/n/<controller>   member key, on a state lease
g/j/<job>          an accepted job until it is over
g/p/<job>/<chunk>  its tasks, CHUNK of them
g/f/<job>          a job that is over; kept for ever
g/t/<team>         the controller that alone places a team's tasks
g/m/<machine>      a machine of which there is more to say than that it is up
g/x/<controller>   what this controller has to tell others that it can't reach
g/q/<subject>/<n>  what a policy keeps (sorts after g/f/, so that a start reads it)
g/s/admission      in an overload: who comes first, and whose submissions are taken, for all controllers alike
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from gladecroft.protocol.peers import EndedAttempt, ReportedMachine
from gladecroft.protocol.wire import JobSpec

ROOT = "g/"
EPOCH = "g/epoch"
MEMBERS = "g/n/"
JOBS = "g/j/"
CHUNKS = "g/p/"
FINALS = "g/f/"
TEAMS = "g/t/"
MACHINES = "g/m/"
MAIL = "g/x/"
POLICIES = "g/q/"
SHARES = "g/s/"
ADMISSION = "g/s/admission"

#: What the records are called, by prefix.
RECORD_NAMES = {JOBS: "job", CHUNKS: "tasks", FINALS: "final state", TEAMS: "claim", MACHINES: "machine", MAIL: "mail",
          POLICIES: "policy", SHARES: "admission"}  # fmt: skip

#: Bytes by which the tasks of a chunk are counted. With a note a record may take more: notes go if a value gets too
#: big.
TASK_BYTES = 44
#: What a task's record takes at the most besides its note and its machine's name.
BARE_TASK_BYTES = 34


#: Begins the note of a task that failed, whose machine follows.
FAILED_NOTE_PREFIX = "error "


class TaskState(IntEnum):
    QUEUED = 0
    ACTIVE = 1
    STOPPING = 2
    DONE = 3


class EpochRecord(msgspec.Struct, frozen=True):
    number: int
    leader: str
    members: dict[str, int]
    moved: dict[str, str] = {}


class MemberRecord(msgspec.Struct, frozen=True):
    incarnation: int


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    spec: JobSpec
    accepted_ms: int
    cancelled: bool = False


class FinalRecord(msgspec.Struct, gc=False, frozen=True, omit_defaults=True):
    done: bool
    tasks: int = 0
    reason: str = ""


class TaskRecord(msgspec.Struct, gc=False, frozen=True, array_like=True, omit_defaults=True):
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    machine: str = ""
    failures: int = 0
    note: str = ""
    placed_s: int = 0


class ChunkRecord(msgspec.Struct, frozen=True):
    tasks: list[TaskRecord]


class TeamRecord(msgspec.Struct, gc=False, frozen=True):
    """Who alone places the team's tasks, in which incarnation. Every placement is conditional on it."""

    home: str = ""
    incarnation: int = 0


class MachineUse(IntEnum):
    """What a machine may be used for; only UP ones are placed on."""

    UP = 0
    #: Not heard for some time.
    SILENT = 1
    #: The cloud takes it away soon: its work is stopped.
    RECLAIMING = 2
    #: It fails what it starts: its work is stopped.
    FAULTY = 3
    #: Idle, and about to be returned.
    RETURNING = 4
    #: Little used: its services move elsewhere, its arrays' tasks run to their end.
    DRAINING = 5
    #: Returned. The record stays for some time, so that a report held up by the network does not bring it back.
    RETURNED = 6


#: Uses in which what is on a machine is to be stopped or moved.
CLEARING = (MachineUse.RECLAIMING, MachineUse.FAULTY, MachineUse.DRAINING)


#: A machine's type and zone, and whether it is a cheap one (spot).
CapacityPool = tuple[str, str, bool]


class MachineRecord(msgspec.Struct, gc=False, frozen=True):
    type: str
    zone: str
    spot: bool
    addr: str
    use: MachineUse = MachineUse.UP
    #: When the cloud takes it away, if it has said so, by the time of day.
    until_s: int = 0

    @property
    def pool(self) -> CapacityPool:
        return self.type, self.zone, self.spot


class OutboxRecord(msgspec.Struct, gc=False, frozen=True):
    """Ends of attempts, proven under this epoch, and machines that have reported: as ``protocol.peers`` has them."""

    epoch: int
    ended: list[EndedAttempt] = []
    heard: list[ReportedMachine] = []


class GroupShare(msgspec.Struct, gc=False, frozen=True, array_like=True, omit_defaults=True):
    """Of a team's jobs of one class, in cores: below ``floor`` they come before all others, above ``share`` after.

    ``begin`` and ``width``: the part of the circle of job ids whose submissions are taken; a width of 1 or more: all.
    ``sweep``: by how much ``begin`` moves on with each second.
    """

    team: str
    job_class: str
    floor: float
    share: float
    begin: float = 0.0
    width: float = 1.0
    sweep: float = 0.0


class AdmissionRecord(msgspec.Struct, gc=False, frozen=True, omit_defaults=True):
    """What the leader has decided for all in an overload. It counts until ``until_s`` by the time of day, so that one
    that nobody renews ends by itself. ``salt`` keys the order of job ids: users choose these. ``scarce``: the teams'
    guarantees alone are more than there is.
    """

    generation: int
    level: str
    since_s: int
    until_s: int
    groups: list[GroupShare] = []
    salt: str = ""
    scarce: bool = False


def chunk_size(value_kb: float) -> int:
    return max(1, int(value_kb * 1024 * 0.95) // TASK_BYTES)


def job_key(job: str) -> str:
    return JOBS + job


def final_key(job: str) -> str:
    return FINALS + job


def chunk_key(job: str, index: int) -> str:
    return f"{CHUNKS}{job}/{index}"


def team_key(team: str) -> str:
    # Keys hold no spaces; a team's name may.
    return TEAMS + team.encode().hex()


def outbox_key(controller: str) -> str:
    return MAIL + controller


def policy_key(subject: str, name: str) -> str:
    return f"{POLICIES}{subject}/{name}"


def machine_key(machine: str) -> str:
    return MACHINES + machine
