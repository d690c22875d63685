"""Every message of the outside protocols as a msgspec struct.

Attributes carry the field's usual terms; the ``rename`` maps hold the names used on the wire, and no other
module mentions those.
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
    ARRAY = "batch"
    SERVICE = "service"
    #: All tasks run at the same time or not at all. The deployments' protocol does not offer it to users yet.
    GANG = "group"


class Priority(StrEnum):
    PRODUCTION = "production"
    HIGH = "urgent"
    NORMAL = "normal"
    LOW = "best_effort"


#: Smaller is more important.
PRIORITY_RANK = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}


class JobState(StrEnum):
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


class ReportedTaskState(StrEnum):
    FETCHING = "fetching"
    RUNNING = "running"
    WAITING = "waiting"
    SAVING = "flushing"
    EXITED = "exited"


class ExitReason(StrEnum):
    DONE = "done"
    STOPPED = "halted"
    ERROR = "error"
    NO_ROOM = "full"
    BUSY = "busy"
    UNKNOWN = "no_such"


class CommandOp(StrEnum):
    START = "start"
    STOP = "halt"
    FORGET = "reap"


class MachineState(StrEnum):
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
    """A job as its user submits it."""

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
        """How many of the tasks may be in one zone at a time."""
        return (self.tasks + 1) // 2 if self.spread else self.tasks


class JobStatus(msgspec.Struct, omit_defaults=True, rename={"id": "nameId", "state": "status"}):
    id: str
    state: JobState
    done: int | UnsetType = UNSET
    running: int | UnsetType = UNSET
    reason: str | UnsetType = UNSET


class ErrorReply(msgspec.Struct):
    error: str


class ReportTarget(msgspec.Struct, omit_defaults=True, rename={"report_to": "steward"}):
    report_to: str | None = None


class TaskReport(
    msgspec.Struct, gc=False, rename={"task": "portion", "attempt": "try", "state": "status", "exit_reason": "cause"}
):
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
    op: CommandOp
    task: str
    attempt: int
    grace_s: float | UnsetType = UNSET


class Commands(msgspec.Struct, omit_defaults=True, rename={"token": "baton", "session": "shift", "commands": "orders"}):
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
    types: list[MachineType]


class RentalRequest(
    msgspec.Struct,
    rename={"request": "booking", "type": "flavor", "zone": "district", "spot": "leftovers", "count": "number"},
):
    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "hearths"}):
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
    id: str
    type: str
    zone: str
    spot: bool
    state: MachineState
    addr: str | None = None
    age_s: float = 0.0


class MachineList(msgspec.Struct, rename={"machines": "hearths", "more": "truncated"}):
    machines: list[ListedMachine]
    more: bool = False


class Condition(msgspec.Struct, gc=False, rename={"version": "stamp"}):
    key: str
    version: int


class Put(msgspec.Struct, gc=False, omit_defaults=True, rename={"key": "write", "value": "data", "lease": "tenure"}):
    key: str
    value: msgspec.Raw
    lease: int | UnsetType = UNSET


class Delete(msgspec.Struct, gc=False, rename={"key": "drop"}):
    key: str


class Txn(msgspec.Struct, omit_defaults=True, rename={"conditions": "if", "ops": "apply"}):
    conditions: list[Condition]
    ops: list[Any] = []


class TxnReply(msgspec.Struct, rename={"revision": "ledger"}):
    revision: int = 0
    failed: list[str] = []


class KeyValue(msgspec.Struct, gc=False, rename={"value": "data", "version": "stamp"}):
    key: str
    value: msgspec.Raw
    version: int


class KeyNotFound(msgspec.Struct, rename={"revision": "ledger"}):
    revision: int


class RangeReply(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "ledger"}):
    items: list[KeyValue]
    revision: int
    more: bool = False


class WatchEvent(
    msgspec.Struct, gc=False, rename={"put": "write", "delete": "drop", "value": "data", "version": "stamp"}
):
    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"null")


class WatchReply(msgspec.Struct, rename={"revision": "ledger", "events": "log"}):
    revision: int
    events: list[WatchEvent] = []


class LeaseRequest(msgspec.Struct, rename={"ttl_ms": "ttlMs"}):
    ttl_ms: int


class LeaseReply(msgspec.Struct, rename={"lease": "tenure"}):
    lease: int


def encode(message: Any) -> bytes:
    return msgspec.json.encode(message)


_DECODERS: dict[Any, msgspec.json.Decoder[Any]] = {}


def decode(kind: Any, body: bytes) -> Any:
    """Decode one message; raises ``msgspec.DecodeError`` (or its subclass ``ValidationError``)."""
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.json.Decoder(kind)
    return decoder.decode(body)


def parse_job(body: bytes) -> JobSpec:
    """Decode a submission; ``ValueError`` says what is wrong with it."""
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
    id: str


def submitted_job_id(body: bytes) -> str | None:
    """The job that a submission names, though it may be malformed else; None: it names none."""
    try:
        name: str = decode(JobReference, body).id
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return name if JOB_ID.match(name) else None


# Paths of the outside interfaces.
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
    return f"{GRANTS_PATH}/{lease}/renew"


def key_path(key: str) -> str:
    return f"{STORE_PATH}/{key}"


def range_path(prefix: str, after: str | None, limit: int) -> str:
    tail = f"&after={after}" if after else ""
    return f"{STORE_PATH}?prefix={prefix}{tail}&page={limit}"


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    return f"/watch?prefix={prefix}&after={after}&blockMs={wait_ms}"


def list_machines_path(after: str | None, limit: int) -> str:
    tail = f"after={after}&" if after else ""
    return f"{MACHINES_PATH}?{tail}page={limit}"
