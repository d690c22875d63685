"""The platform's settings file (TOML) and the operators' settings (Java properties).

The ``rename`` maps hold the names used in the settings file.
"""

from __future__ import annotations

import math
import tomllib
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from gladecroft.protocol.wire import Priority

Positive = Annotated[float, Meta(gt=0.0)]
NonNegative = Annotated[float, Meta(ge=0.0)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]

#: Names of the available policies.
KNOWN_POLICIES = frozenset({"cordon"})

#: Maximum drift of a monotonic clock, as a fraction of the elapsed time.
MAX_CLOCK_DRIFT = 0.0005


class SettingsError(Exception):
    """Invalid settings. The message names the file, if any, and the field or the fault."""


class PeerSettings(msgspec.Struct, rename={"name": "label", "zone": "site"}):
    """Another controller of the same cluster."""

    name: Name
    peer_addr: str
    zone: str = ""


class ExternalServices(msgspec.Struct):
    """Addresses of the cloud and the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """The guarantee (``cpus``, ``gpus``) and the limit (``cpus_max``, ``gpus_max``) of a team; 0 means none.

    A limit of 0 must not be taken for zero cores, or every job of the team would be rejected.
    """

    name: Name
    cpus: NonNegative
    cpus_max: NonNegative
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0

    @property
    def cpu_limit(self) -> float:
        return self.cpus_max or math.inf

    @property
    def gpu_limit(self) -> float:
        return self.gpus_max or math.inf

    @property
    def has_limit(self) -> bool:
        return self.cpus_max > 0 or self.gpus_max > 0


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """A service level objective of the platform."""

    kind: str
    within_s: float = 0.0
    share: float = 0.0
    job_class: str = ""


class WorkerSettings(msgspec.Struct):
    """Intervals of the protocol with the machines, in seconds.

    ``lease_s``: the lease of a machine on its tasks; ``cancel_s``: the time within which the tasks of a cancelled job
    must have stopped.
    """

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: NonNegative = 0.0
    gang_peer_s: NonNegative = 0.0


class StateServiceSettings(msgspec.Struct):
    """Limits of the state service: requests and writes per second, KiB per value, and operations per transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]


class CloudSettings(msgspec.Struct):
    """Limits of the cloud API. ``list_lag_s``: by how much its list of machines may lag behind the actual state."""

    rps: Positive
    list_lag_s: NonNegative


class ProcessLimits(
    msgspec.Struct, rename={"cpu_share": "core_share", "memory_mb": "ram_mb", "max_connections": "fd_limit"}
):
    """Resources of the controller process."""

    cpu_share: Positive = 1.0
    memory_mb: Positive = 256.0
    max_connections: Annotated[int, Meta(ge=32)] = 512


class ClusterSettings(msgspec.Struct, rename={"limits": "resources", "max_clock_offset_ms": "time_bound_ms"}):
    """Settings that are the same for all controllers. ``max_clock_offset_ms``: maximum error of the wall clocks."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    state: StateServiceSettings
    cloud: CloudSettings
    max_clock_offset_ms: NonNegative = 0.0
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)
    objectives: list[Objective] = []


class PlatformSettings(
    msgspec.Struct,
    rename={
        "name": "label",
        "zone": "site",
        "listen": "bind",
        "peer_listen": "peer_bind",
        "peers": "siblings",
        "services": "outside",
        "cluster": "settings",
    },
):
    """The settings file that the platform provides to a controller."""

    name: Name
    listen: str
    services: ExternalServices
    cluster: ClusterSettings
    peer_listen: str = ""
    zone: str = ""
    peers: list[PeerSettings] = []


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True, rename=lambda name: name.replace("_", ".")):
    """The operators' settings. Keys in the properties file have dots in place of underscores."""

    #: Tasks of this priority and above are placed by the high-priority placer.
    priority_line: Priority = Priority.HIGH
    offer_top: Annotated[int, Meta(ge=1, le=64)] = 4
    spot_avoiding: bool = True
    member_ttl: Annotated[float, Meta(ge=1.0, le=60.0)] = 6.0
    machine_idle: Annotated[float, Meta(ge=0.0, le=3600.0)] = 15.0
    machine_consolidate: bool = True
    machine_reserve: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.1
    #: Whether admission control gives each team and job class its floor in an overload. Enabled by default, since a day
    #: on which less than half of the work of a team or class is served counts as failed.
    admission: bool = True
    #: Names of the enabled policies, separated by commas.
    policies: str = ""

    def policy_names(self) -> list[str]:
        """The names in ``policies``, in their order."""
        return [name for name in (each.strip() for each in self.policies.split(",")) if name]


def parse_address(addr: str, field: str = "address") -> tuple[str, int]:
    """Split HOST:PORT; ``field`` names the setting or option in the error message."""
    host, colon, port = addr.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{field}: expected HOST:PORT, got {addr!r}")
    return host, int(port)


def load_platform(path: str | Path) -> PlatformSettings:
    """Read and check the platform's settings file."""
    try:
        table = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    try:
        platform = msgspec.convert(table, PlatformSettings)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    for where, addr in (
        ("bind", platform.listen),
        ("outside.cloud", platform.services.cloud),
        ("outside.state", platform.services.state),
        *(((("peer_bind", platform.peer_listen),)) if platform.peer_listen else ()),
        *((f"siblings.{peer.name}.peer_addr", peer.peer_addr) for peer in platform.peers),
    ):
        parse_address(addr, f"{path}: {where}")
    names = [team.name for team in platform.cluster.teams]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: settings.teams: duplicate name")
    workers = platform.cluster.workers
    if workers.lease_s >= workers.cancel_s:
        raise SettingsError(f"{path}: settings.workers: lease_s must be below cancel_s")
    return platform


def load_operator(path: str | Path | None) -> OperatorSettings:
    """Read and check the operators' properties; without a file every setting has its default."""
    if path is None:
        return OperatorSettings()
    # Imported only when needed, since it imports many web modules of the standard library: a sixth of the startup cost.
    from javaproperties import InvalidUEscapeError, loads

    try:
        table = loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, InvalidUEscapeError) as error:
        raise SettingsError(f"{path}: {error}") from None
    known = {field.encode_name for field in msgspec.structs.fields(OperatorSettings)}
    for key in table:
        if key not in known:
            raise SettingsError(f"{path}: {key}: unknown setting (known: {', '.join(sorted(known))})")
    try:
        operator = msgspec.convert(table, OperatorSettings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    names = operator.policy_names()
    for name in names:
        if name not in KNOWN_POLICIES:
            raise SettingsError(
                f"{path}: policies: unknown policy {name!r} (known: {', '.join(sorted(KNOWN_POLICIES))})"
            )
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: policies: duplicate name")
    return operator


def member_ttl(operator_settings: OperatorSettings, platform: PlatformSettings) -> timedelta:
    """The duration of the lease of a member key, kept well below ``cancel_s - lease_s``."""
    workers = platform.cluster.workers
    return timedelta(seconds=min(operator_settings.member_ttl, (workers.cancel_s - workers.lease_s) / 2.5))
