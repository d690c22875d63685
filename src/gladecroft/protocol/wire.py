"""Messages exchanged with users, machines, the cloud and the state service, as msgspec structs.

Attributes and enum members have the usual terms of the field. The ``rename`` maps and the enum values hold the names
used on the wire, which no other module mentions.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import UNSET, Meta, UnsetType

MAX_BODY_BYTES = 64 * 1024
JOB_ID = re.compile(r"wk-[0-9]{1,40}\Z")

Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Count = Annotated[int, Meta(ge=0)]


class JobKind(StrEnum):
    """How the tasks of a job run."""

    ARRAY = "batch"
    SERVICE = "service"
    #: All tasks run at the same time or not at all. The protocol of current deployments does not offer it to users yet.
    GANG = "group"


class Priority(StrEnum):
    """Priority classes, in descending order."""

    PRODUCTION = "production"
    HIGH = "urgent"
    NORMAL = "normal"
    LOW = "best_effort"


#: Rank of each priority; 0 is the highest priority.
PRIORITY_RANK = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}


class JobState(StrEnum):
    """The state of a job as users see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class ReportedTaskState(StrEnum):
    """The state of an attempt as its machine reports it."""

    FETCHING = "fetching"
    RUNNING = "running"
    WAITING = "waiting"
    SAVING = "flushing"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Why an attempt exited or did not start."""

    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    #: The machine lacks the free resources for it.
    NO_ROOM = "full"
    #: The machine has not discarded an earlier attempt of the task yet.
    BUSY = "busy"
    #: The machine knows no such task.
    UNKNOWN = "no_such"


class CommandOp(StrEnum):
    """What a command tells a machine to do with an attempt. FORGET: discard an attempt that has exited."""

    START = "start"
    STOP = "halt"
    FORGET = "reap"


class ListedMachineState(StrEnum):
    """The state of a machine in the cloud's list."""

    BOOTING = "starting"
    RUNNING = "running"
    FAILED = "failed"


class JobSpec(
    msgspec.Struct,
    frozen=True,
    rename={
        "id": "nameId",
        "job_class": "cohort",
        "team": "owner",
        "kind": "shape",
        "priority": "urgency",
        "tasks": "portions",
        "cpus": "cores",
        "gpus": "cards",
        "memory_gb": "memoryGb",
        "image": "recipe",
        "image_gb": "imageGb",
        "types": "flavors",
        "zone": "district",
        "one_zone": "oneZone",
        "spread": "apart",
        "spot": "leftovers",
        "estimate_s": "expectedS",
        "checkpoint_s": "snapshotS",
        "save_s": "stashS",
        "deadline_s": "dueS",
    },
):
    """A job as submitted."""

    id: str
    job_class: str
    team: str
    kind: JobKind
    priority: Priority
    tasks: Annotated[int, Meta(ge=1, le=100_000)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: str
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: Amount | None = None

    def max_tasks_per_zone(self) -> int:
        """How many of the tasks may be placed in one zone at a time."""
        return (self.tasks + 1) // 2 if self.spread else self.tasks


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"id": "nameId", "state": "status"}):
    """Reply to a user's submission, status request or cancellation.

    ``done``, ``running`` (placed tasks) and ``reason`` are set only in replies to status requests.
    """

    id: str
    state: JobState
    done: int | UnsetType = UNSET
    running: int | UnsetType = UNSET
    reason: str | UnsetType = UNSET


class ErrorReply(msgspec.Struct):
    """Body of an error reply."""

    error: str


class ReportTarget(msgspec.Struct, omit_defaults=True, rename={"report_to": "steward"}):
    """Tells a machine to which controller to report, if that is known."""

    report_to: str | None = None


class TaskReport(
    msgspec.Struct, gc=False, rename={"task": "portion", "attempt": "try", "state": "status", "exit_reason": "cause"}
):
    """An attempt in the report of its machine."""

    task: str
    attempt: Count
    state: ReportedTaskState
    exit_reason: str | None = None
    saved: bool = False


class Report(
    msgspec.Struct,
    rename={
        "machine": "hearth",
        "addr": "endpoint",
        "type": "flavor",
        "zone": "district",
        "spot": "leftovers",
        "session": "shift",
        "seq": "tally",
        "token": "baton",
        "notice_s": "warningS",
        "tasks": "portions",
    },
):
    """A machine's periodic report.

    ``seq`` orders the reports of a session. ``token`` is the highest fencing token that the machine has received.
    ``notice_s``: seconds until the cloud reclaims the machine, if it has announced that.
    """

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: Count
    seq: Count
    token: Count = 0
    notice_s: float | None = None
    tasks: list[TaskReport] = []


class Command(
    msgspec.Struct,
    gc=False,
    omit_defaults=True,
    rename={"op": "verb", "task": "portion", "attempt": "try", "grace_s": "mercyS"},
):
    """A command for one attempt. ``grace_s``: seconds that it has to save its work before it is killed."""

    op: CommandOp
    task: str
    attempt: int
    grace_s: float | UnsetType = UNSET


class Commands(msgspec.Struct, omit_defaults=True, rename={"token": "baton", "session": "shift", "commands": "orders"}):
    """Commands for a machine, under the fencing token of the sender."""

    token: int
    commands: list[Command]
    session: int | UnsetType = UNSET


class MachineType(
    msgspec.Struct,
    rename={
        "name": "label",
        "cpus": "cores",
        "gpus": "cards",
        "memory_gb": "memoryGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "pullGbPerS",
        "price": "rate",
        "spot_price": "marketPrice",
        "boot_s": "bootS",
        "zones": "districts",
    },
):
    """A machine type that the cloud offers."""

    name: str
    cpus: Amount
    memory_gb: Amount
    price: Amount
    spot_price: Amount
    boot_s: Amount
    zones: list[str]
    gpus: Amount = 0.0
    cache_gb: Amount = 0.0
    fetch_gb_per_s: Amount = 0.0


class MachineTypes(msgspec.Struct, rename={"types": "flavors"}):
    """The machine types that the cloud offers."""

    types: list[MachineType]


class RentalRequest(
    msgspec.Struct,
    rename={"request": "booking", "type": "flavor", "zone": "district", "spot": "leftovers", "count": "number"},
):
    """Request to rent machines. ``request`` is an idempotency key."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hearths"}):
    """Ids of machines in requests to the cloud and its responses."""

    machines: list[str]


class ListedMachine(
    msgspec.Struct,
    rename={
        "id": "nameId",
        "addr": "endpoint",
        "type": "flavor",
        "zone": "district",
        "spot": "leftovers",
        "state": "status",
        "age_s": "ageS",
    },
):
    """A machine in the cloud's list."""

    id: str
    type: str
    zone: str
    spot: bool
    state: ListedMachineState
    addr: str | None = None
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "hearths", "more": "truncated"}):
    """A page of the cloud's list of machines."""

    machines: list[ListedMachine]
    more: bool = False


class Condition(msgspec.Struct, gc=False, rename={"version": "stamp"}):
    """Condition of a transaction: the key has this version; 0 if it must not exist."""

    key: str
    version: int


class Put(msgspec.Struct, gc=False, omit_defaults=True, rename={"key": "write", "value": "data", "lease": "tenure"}):
    """Write of a key. Without ``lease``, the key is detached from any lease."""

    key: str
    value: msgspec.Raw
    lease: int | UnsetType = UNSET


class Delete(msgspec.Struct, gc=False, rename={"key": "drop"}):
    """Deletion of a key."""

    key: str


class Txn(msgspec.Struct, omit_defaults=True, rename={"conditions": "if", "ops": "apply"}):
    """A transaction of the state service: all operations are applied if all conditions hold."""

    conditions: list[Condition]
    ops: list[Any] = []


class TxnReply(msgspec.Struct, rename={"revision": "ledger"}):
    """Response to a transaction: the revision of the commit, or the keys whose conditions failed."""

    revision: int = 0
    failed: list[str] = []


class KeyValue(msgspec.Struct, gc=False, rename={"value": "data", "version": "stamp"}):
    """A key with its value and version."""

    key: str
    value: msgspec.Raw
    version: int


class KeyNotFound(msgspec.Struct, rename={"revision": "ledger"}):
    """Response for a key that does not exist, as of a revision."""

    revision: int


class RangeReply(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "ledger"}):
    """Response to a listing: a page of the keys with a prefix."""

    items: list[KeyValue]
    revision: int
    more: bool = False


class WatchEvent(
    msgspec.Struct, gc=False, rename={"put": "write", "delete": "drop", "value": "data", "version": "stamp"}
):
    """One change in the watch log: ``put`` or ``delete`` holds the key."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class WatchReply(msgspec.Struct, rename={"revision": "ledger", "events": "log"}):
    """Response to a watch: the changes since the requested revision."""

    revision: int
    events: list[WatchEvent] = []


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "ttlMs"}):
    """Request for a lease of the state service."""

    ttl_ms: int


class LeaseReply(msgspec.Struct, rename={"lease": "tenure"}):
    """Response with the id of the lease."""

    lease: int


def encode(message: Any) -> bytes:
    """Encode one message as JSON."""
    return msgspec.json.encode(message)


_DECODERS: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode(kind: Any, body: bytes) -> Any:
    """Decode one message.

    Raises ``msgspec.DecodeError`` or its subclass ``ValidationError``; for invalid UTF-8 in a string also
    ``UnicodeDecodeError``, and for deeply nested values ``RecursionError``.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.json.Decoder(kind)
    return decoder.decode(body)


def parse_job(body: bytes) -> JobSpec:
    """Decode and check a submission. Raises ``ValueError`` with a message for the user."""
    try:
        spec: JobSpec = decode(JobSpec, body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    if not JOB_ID.match(spec.id):
        raise ValueError("the job id must be wk- and digits")
    for name in ("team", "image", "job_class"):
        if len(getattr(spec, name)) > 200:
            raise ValueError(f"{name} is too long")
    return spec


class JobReference(msgspec.Struct, rename={"id": "nameId"}):
    """The job id alone, out of a submission that may otherwise be malformed."""

    id: str


def submitted_job_id(body: bytes) -> str | None:
    """The job id in a submission that may otherwise be malformed, or None if there is no valid one."""
    try:
        job_id: str = decode(JobReference, body).id
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return job_id if JOB_ID.match(job_id) else None


# Paths of the HTTP interfaces.
SUBMIT_PATH = "/work"
CANCEL_SUFFIX = "abort"
REPORT_PATH = "/agent/beat"
HEALTH_PATH = "/healthz"
COMMANDS_PATH = "/commands"
STATUS_PATH = "/status"
TYPES_PATH = "/machine_types"
MACHINES_PATH = "/hosts"
RETURN_PATH = "/hosts/return"
STORE_PATH = "/store"
COMMIT_PATH = "/commit"
GRANTS_PATH = "/grants"


def renew_lease_path(lease: int) -> str:
    """Path for renewing a lease of the state service."""
    return f"{GRANTS_PATH}/{lease}/renew"


def key_path(key: str) -> str:
    """Path for reading one key."""
    return f"{STORE_PATH}/{key}"


def range_path(prefix: str, after: str | None, limit: int) -> str:
    """Path for listing up to ``limit`` keys with a prefix, from the first one after ``after``."""
    tail = f"&after={after}" if after else ""
    return f"{STORE_PATH}?prefix={prefix}{tail}&page={limit}"


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    """Path for a long poll of the changes after a revision."""
    return f"/watch?prefix={prefix}&after={after}&blockMs={wait_ms}"


def list_machines_path(after: str | None, limit: int) -> str:
    """Path for listing up to ``limit`` machines, from the first one after ``after``."""
    tail = f"after={after}&" if after else ""
    return f"{MACHINES_PATH}?{tail}page={limit}"
