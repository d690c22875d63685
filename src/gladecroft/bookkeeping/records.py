"""Records in the state service and their keys.

g/epoch            the epoch: members, leader, machines moved away from their default owner
g/n/<controller>   member key, attached to a lease of the state service
g/j/<job>          an accepted job until it is finished
g/p/<job>/<chunk>  a chunk of the job's tasks
g/f/<job>          final record of a finished job; kept for ever
g/t/<team>         the only controller that places the team's tasks
g/m/<machine>      a machine, once there is more to record than that it has reported
g/x/<controller>   outbox: the controller's messages for others that it can't reach
g/q/<subject>/<n>  data of a policy (sorts after g/f/, so that the listing at startup includes it)
g/s/admission      admission in an overload: shares of the groups and which submissions are accepted
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
OUTBOXES = "g/x/"
POLICIES = "g/q/"
ADMISSION_PREFIX = "g/s/"
ADMISSION = "g/s/admission"

#: Names of the record kinds in log messages, by prefix.
RECORD_NAMES = {JOBS: "job", CHUNKS: "tasks", FINALS: "final state", TEAMS: "claim", MACHINES: "machine",
                OUTBOXES: "mail", POLICIES: "policy", ADMISSION_PREFIX: "admission"}  # fmt: skip

#: Bytes per task by which the length of a chunk is chosen. A task with a note may take more; the notes are dropped if
#: the value gets too large.
ESTIMATED_TASK_BYTES = 44
#: Upper bound for the bytes of a task's record without its note and machine name.
MAX_BARE_TASK_BYTES = 34

#: Prefix of the note of a failed task; the machine's name follows.
FAILED_NOTE_PREFIX = "error "


class TaskState(IntEnum):
    """Where a task stands; ACTIVE and STOPPING tasks have an attempt on a machine."""

    QUEUED = 0
    ACTIVE = 1
    STOPPING = 2
    DONE = 3


class EpochRecord(msgspec.Struct, frozen=True):
    """An epoch: its number, leader and members, and the machines moved away from their default owner."""

    number: int
    leader: str
    members: dict[str, int]
    moved: dict[str, str] = {}


class MemberRecord(msgspec.Struct, frozen=True):
    """A running controller."""

    incarnation: int


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job until it is finished."""

    spec: JobSpec
    accepted_ms: int
    cancelled: bool = False


class FinalRecord(msgspec.Struct, gc=False, frozen=True, omit_defaults=True):
    """The outcome of a finished job."""

    done: bool
    tasks: int = 0
    reason: str = ""


class TaskRecord(msgspec.Struct, gc=False, frozen=True, array_like=True, omit_defaults=True):
    """A task and its latest attempt. ``note``: why it last stopped."""

    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    machine: str = ""
    failures: int = 0
    note: str = ""
    placed_s: int = 0


class ChunkRecord(msgspec.Struct, frozen=True):
    """Consecutive tasks of a job in one value."""

    tasks: list[TaskRecord]


class TeamRecord(msgspec.Struct, gc=False, frozen=True):
    """The only controller that places the team's tasks, and its incarnation. Every placement is conditional on it."""

    home: str = ""
    incarnation: int = 0


class MachineUse(IntEnum):
    """What a machine may be used for. Tasks are placed only on machines that are UP."""

    UP = 0
    #: No report for some time.
    SILENT = 1
    #: Being reclaimed: the cloud has announced that it takes the machine away. Its tasks are stopped.
    RECLAIMING = 2
    #: It fails the tasks that it starts. Its tasks are stopped.
    FAULTY = 3
    #: Idle, and about to be returned to the cloud.
    RETURNING = 4
    #: Little used: its services are moved to other machines, its array tasks run to completion.
    DRAINING = 5
    #: Returned to the cloud. The record stays for some time, so that a delayed report does not add the machine again.
    RETURNED = 6


#: Uses in which the tasks on a machine are to be stopped or moved.
EVACUATED_USES = (MachineUse.RECLAIMING, MachineUse.FAULTY, MachineUse.DRAINING)


#: Machine type, zone, and whether it is spot capacity.
CapacityPool = tuple[str, str, bool]


class MachineRecord(msgspec.Struct, gc=False, frozen=True):
    """A machine and its use."""

    type: str
    zone: str
    spot: bool
    addr: str
    use: MachineUse = MachineUse.UP
    #: Unix time at which the cloud reclaims the machine, if it has announced it; else 0.
    until_s: int = 0

    @property
    def pool(self) -> CapacityPool:
        return self.type, self.zone, self.spot


class OutboxRecord(msgspec.Struct, gc=False, frozen=True):
    """Attempts confirmed ended under this epoch, and machines that have reported."""

    epoch: int
    ended: list[EndedAttempt] = []
    heard: list[ReportedMachine] = []


class GroupShare(msgspec.Struct, gc=False, frozen=True, array_like=True, omit_defaults=True):
    """Cores for a team's jobs of one class: below ``floor`` they precede all other jobs, above ``share`` they follow.

    Job ids are mapped to a ring of length 1. A submission is accepted if its id lies in the arc of length ``width``
    from ``begin`` on; a width of 1 or more accepts all. ``begin`` advances by ``sweep`` per second.
    """

    team: str
    job_class: str
    floor: float
    share: float
    begin: float = 0.0
    width: float = 1.0
    sweep: float = 0.0


class AdmissionRecord(msgspec.Struct, gc=False, frozen=True, omit_defaults=True):
    """The leader's decision on admission in an overload, for all controllers.

    It expires at the Unix time ``until_s`` unless renewed. ``salt`` keys the mapping of job ids to the ring, since
    users choose the ids. ``scarce``: the guarantees of the teams alone exceed the capacity.
    """

    generation: int
    level: str
    since_s: int
    until_s: int
    groups: list[GroupShare] = []
    salt: str = ""
    scarce: bool = False


def tasks_per_chunk(value_kb: float) -> int:
    """How many tasks go into a chunk, given the limit on the size of a value."""
    return max(1, int(value_kb * 1024 * 0.95) // ESTIMATED_TASK_BYTES)


def job_key(job: str) -> str:
    return JOBS + job


def final_key(job: str) -> str:
    return FINALS + job


def chunk_key(job: str, index: int) -> str:
    return f"{CHUNKS}{job}/{index}"


def team_key(team: str) -> str:
    # A team's name may contain spaces, a key may not.
    return TEAMS + team.encode().hex()


def outbox_key(controller: str) -> str:
    return OUTBOXES + controller


def policy_key(subject: str, name: str) -> str:
    return f"{POLICIES}{subject}/{name}"


def machine_key(machine: str) -> str:
    return MACHINES + machine
