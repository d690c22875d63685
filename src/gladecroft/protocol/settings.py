"""The platform's settings file (TOML) and the operators' own settings (Java-style properties)."""

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

#: The policies that there are.
POLICIES = frozenset({"cordon"})

#: Steady clocks may disagree by this share of a span.
MAX_CLOCK_DRIFT = 0.0005


class SettingsError(Exception):
    """The settings can't be used; the text names the file and the field."""


class PeerSettings(msgspec.Struct, rename={"name": "label", "zone": "site"}):
    name: Name
    peer_addr: str
    zone: str = ""


class ExternalServices(msgspec.Struct):
    cloud: str
    state: str


class Team(msgspec.Struct):
    name: Name
    cpus: NonNegative
    cpus_max: NonNegative
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0

    # A 0 stands for "none": no guarantee, and no limit. (Read as a limit of nothing, every job of such a team would be
    # refused for good.)

    @property
    def cpu_limit(self) -> float:
        return self.cpus_max or math.inf

    @property
    def gpu_limit(self) -> float:
        return self.gpus_max or math.inf

    @property
    def limited(self) -> bool:
        return self.cpus_max > 0 or self.gpus_max > 0


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    kind: str
    within_s: float = 0.0
    share: float = 0.0
    job_class: str = ""


class WorkerSettings(msgspec.Struct):
    report_s: Positive
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: NonNegative = 0.0
    gang_peer_s: NonNegative = 0.0


class StateServiceSettings(msgspec.Struct):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]


class CloudSettings(msgspec.Struct):
    rps: Positive
    list_lag_s: NonNegative


class ProcessLimits(
    msgspec.Struct, rename={"cpu_share": "core_share", "memory_mb": "ram_mb", "max_connections": "fd_limit"}
):
    cpu_share: Positive = 1.0
    memory_mb: Positive = 256.0
    max_connections: Annotated[int, Meta(ge=32)] = 512


class ClusterSettings(msgspec.Struct, rename={"limits": "resources", "clock_off_ms": "time_bound_ms"}):
    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    state: StateServiceSettings
    cloud: CloudSettings
    clock_off_ms: NonNegative = 0.0
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
    """What the platform hands to every controller."""

    name: Name
    listen: str
    services: ExternalServices
    cluster: ClusterSettings
    peer_listen: str = ""
    zone: str = ""
    peers: list[PeerSettings] = []

    @property
    def lease(self) -> timedelta:
        return timedelta(seconds=self.cluster.workers.lease_s)


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True, rename=lambda name: name.replace("_", ".")):
    """The operators' own settings. In the properties file the words of a key are joined by dots."""

    priority_line: Priority = Priority.HIGH
    offer_top: Annotated[int, Meta(ge=1, le=64)] = 4
    spot_avoiding: bool = True
    member_ttl: Annotated[float, Meta(ge=1.0, le=60.0)] = 6.0
    machine_idle: Annotated[float, Meta(ge=0.0, le=3600.0)] = 15.0
    machine_consolidate: bool = True
    machine_reserve: Annotated[float, Meta(ge=0.0, le=10.0)] = 0.1
    #: Whether in an overload the leader sees to it that each team and class has at least its floor. By the rules less
    #: than half of a class or team served is a failed day, so it is on unless the operators say otherwise.
    admission: bool = True
    #: The policies that are switched on, by name, with commas between.
    policies: str = ""

    def policy_names(self) -> list[str]:
        return [name for name in (each.strip() for each in self.policies.split(",")) if name]


def parse_address(addr: str, where: str = "address") -> tuple[str, int]:
    host, colon, port = addr.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{where}: expected HOST:PORT, got {addr!r}")
    return host, int(port)


def load_platform(path: str | Path) -> PlatformSettings:
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
        raise SettingsError(f"{path}: settings.teams: a name stands twice")
    workers = platform.cluster.workers
    if workers.lease_s >= workers.cancel_s:
        raise SettingsError(f"{path}: settings.workers: lease_s must be below cancel_s")
    return platform


def load_operator(path: str | Path | None) -> OperatorSettings:
    """Read the operators' properties; without a file every setting has its default."""
    if path is None:
        return OperatorSettings()
    # Only when used: it brings half of the standard library's web modules, a sixth of what a start costs.
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
        if name not in POLICIES:
            raise SettingsError(f"{path}: policies: unknown policy {name!r} (known: {', '.join(sorted(POLICIES))})")
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: policies: a name stands twice")
    return operator


def member_ttl(operator_settings: OperatorSettings, platform: PlatformSettings) -> timedelta:
    """The member lease, kept well under what a cancellation leaves after a machine's lease."""
    workers = platform.cluster.workers
    return timedelta(seconds=min(operator_settings.member_ttl, (workers.cancel_s - workers.lease_s) / 2.5))
