"""Records in the state service and their keys.

The home controller of a team is the only one that places the tasks of the team's jobs. The owner of a machine handles
its reports and sends it commands; by default it is chosen by hash.

g/epoch            the epoch: members, leader, machines moved away from their default owner
g/n/<controller>   member key, attached to a lease of the state service
g/j/<job>          an accepted job until it is finished
g/p/<job>/<chunk>  a chunk of the job's tasks
g/f/<job>          final record of a finished job; kept forever
g/t/<team>         claim of the team by its home controller; the team's name is in hex
g/m/<machine>      a machine; one that is up and has been announced to all controllers needs no record
g/x/<controller>   outbox: the controller's messages for others that it can't reach
g/q/<subject>/<n>  data of a policy (sorts after g/f/, so that the listing at startup includes it)
g/s/admission      admission in an overload: shares of the groups, and which submissions are accepted
"""

from __future__ import annotations

from datetime import timedelta
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

#: Bytes per task that the number of tasks in a chunk is based on. Tasks with notes may take more; the notes are dropped
#: if the value gets too large.
ESTIMATED_TASK_BYTES = 44
#: Upper bound on the encoded size of a task's record without its note and machine.
MAX_BARE_TASK_BYTES = 34

#: Records whose deletion would let a late copy of the transaction that created them take effect again are kept longer
#: than a message can be delayed, which may be minutes.
TOMBSTONE_RETENTION = timedelta(minutes=10)

#: Prefix of the note of a failed task; the machine's id follows.
FAILED_NOTE_PREFIX = "error "


class TaskState(IntEnum):
    """The state of a task; ACTIVE and STOPPING tasks have an attempt on a machine."""

    QUEUED = 0
    ACTIVE = 1
    STOPPING = 2
    DONE = 3


class EpochRecord(msgspec.Struct, frozen=True):
    """An epoch: its number, leader and members, and the machines moved away from their default owner.

    ``members`` maps each member to its incarnation, ``moved`` each moved machine to its owner.
    """

    number: int
    leader: str
    members: dict[str, int]
    moved: dict[str, str] = {}


class MemberRecord(msgspec.Struct, frozen=True):
    """Member key of a running controller."""

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
    """A task and its latest attempt. ``note``: why the attempt stopped or is to be stopped."""

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
    """Claim of a team by its home controller. Every placement of the team's tasks is conditional on it."""

    home: str = ""
    incarnation: int = 0


class MachineLifecycle(IntEnum):
    """The lifecycle state of a machine. Tasks are placed only on machines that are UP."""

    UP = 0
    #: No report for some time, or known only by its reports and missing from the cloud's list.
    SILENT = 1
    #: The cloud has announced that it will reclaim the machine. Its tasks are stopped, except array tasks without
    #: checkpoints that are estimated to end in time.
    RECLAIMING = 2
    #: Found to be the cause of task failures. Its tasks are stopped.
    FAULTY = 3
    #: Idle, and about to be returned to the cloud.
    RETURNING = 4
    #: Little used: its services are moved to other machines, its array tasks run to completion.
    DRAINING = 5
    #: Returned to the cloud. The record is kept for some time, so that a delayed report does not add the machine again.
    RETURNED = 6


#: Lifecycle states in which the tasks on a machine are to be stopped or moved.
EVACUATED_LIFECYCLES = (MachineLifecycle.RECLAIMING, MachineLifecycle.FAULTY, MachineLifecycle.DRAINING)


#: Machine type, zone, and whether it is spot capacity.
CapacityPool = tuple[str, str, bool]


class MachineRecord(msgspec.Struct, gc=False, frozen=True, rename={"lifecycle": "use"}):
    """A machine and its lifecycle state."""

    type: str
    zone: str
    spot: bool
    addr: str
    lifecycle: MachineLifecycle = MachineLifecycle.UP
    #: Unix time at which the cloud will reclaim the machine; 0 if it has not announced that.
    until_s: int = 0

    @property
    def pool(self) -> CapacityPool:
        return self.type, self.zone, self.spot


class OutboxRecord(msgspec.Struct, gc=False, frozen=True, rename={"reported_machines": "heard"}):
    """Attempts confirmed ended under this epoch, and machines that have reported and have no record yet."""

    epoch: int
    ended: list[EndedAttempt] = []
    reported_machines: list[ReportedMachine] = []


class GroupShare(msgspec.Struct, gc=False, frozen=True, array_like=True, omit_defaults=True):
    """The admission decision for a group, that is, a team's jobs of one class.

    While the group uses fewer cores than ``floor_cpus``, its jobs precede those of other groups. Once it uses
    ``share_cpus``, they follow, unless the team's guarantee applies to the group.

    Job ids are mapped to a ring of length 1. A submission is accepted if its id lies in the arc of length ``width``
    from ``begin`` on; a width of 1 or more accepts all. ``begin`` changes only from one generation of the record to the
    next: by ``sweep`` for each second of the publish interval.
    """

    team: str
    job_class: str
    floor_cpus: float
    share_cpus: float
    begin: float = 0.0
    width: float = 1.0
    sweep: float = 0.0


class AdmissionRecord(
    msgspec.Struct,
    gc=False,
    frozen=True,
    omit_defaults=True,
    rename={"guaranteed_demand_exceeds_capacity": "scarce"},
):
    """The leader's decision on admission in an overload, for all controllers.

    It expires at the Unix time ``until_s`` unless renewed. ``salt`` keys the mapping of job ids to the ring, so that
    users, who choose the ids, can't choose the position. ``guaranteed_demand_exceeds_capacity``: the teams'
    demand for cores within their guarantees exceeds the capacity by itself.
    """

    generation: int
    level: str
    since_s: int
    until_s: int
    groups: list[GroupShare] = []
    salt: str = ""
    guaranteed_demand_exceeds_capacity: bool = False


def tasks_per_chunk(value_kb: float) -> int:
    """Maximum number of tasks in a chunk, given the limit on the size of a value in KiB."""
    return max(1, int(value_kb * 1024 * 0.95) // ESTIMATED_TASK_BYTES)


def job_key(job_id: str) -> str:
    return JOBS + job_id


def final_key(job_id: str) -> str:
    return FINALS + job_id


def chunk_key(job_id: str, index: int) -> str:
    return f"{CHUNKS}{job_id}/{index}"


def team_key(team: str) -> str:
    # Hex, since a team's name may contain spaces and a key may not.
    return TEAMS + team.encode().hex()


def outbox_key(controller: str) -> str:
    return OUTBOXES + controller


def policy_key(subject: str, name: str) -> str:
    return f"{POLICIES}{subject}/{name}"


def machine_key(machine_id: str) -> str:
    return MACHINES + machine_id
