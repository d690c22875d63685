"""Messages between operators and a controller, on the address that only operators and peers can reach.

The field names are those on the wire.
"""

from __future__ import annotations

from datetime import UTC, datetime
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

VIEW_PATH = "/view"
CORDONS_PATH = "/cordons"
ADMISSION_PATH = "/admission"


def format_utc(at: datetime) -> str:
    """Format a point in time for log messages, reasons shown to users and operator commands."""
    return f"{at:%Y-%m-%d %H:%M:%S} UTC"


def format_until(until_s: int) -> str:
    """Format the end of a period, given in Unix time, as a suffix; empty if the period has no end (0)."""
    return f" until {format_utc(datetime.fromtimestamp(until_s, UTC))}" if until_s else ""


class CordonScope(Enum):
    """What kind of object the name in a cordon denotes."""

    MACHINE = "machine"
    TYPE = "type"
    ZONE = "zone"


class CordonRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Set a cordon or, with ``lift``, remove it.

    ``why`` and ``by`` are the reason and the operator, as entered. ``until_s``: Unix time at which the cordon expires;
    0 for never.
    """

    scope: CordonScope
    name: Annotated[str, Meta(min_length=1, max_length=200)]
    why: Annotated[str, Meta(max_length=200)] = ""
    by: Annotated[str, Meta(max_length=80)] = ""
    until_s: Annotated[int, Meta(ge=0, le=1 << 40)] = 0
    lift: bool = False


class CordonInfo(msgspec.Struct, frozen=True, omit_defaults=True):
    """A cordon that is set. ``until_s``: Unix time at which it expires; 0 if it stays until an operator lifts it."""

    scope: CordonScope
    name: str
    why: str = ""
    by: str = ""
    since_s: int = 0
    until_s: int = 0


class CordonStatus(CordonInfo, frozen=True, omit_defaults=True):
    """A cordon, and the number of machines that it excludes from placement."""

    machines: int = 0


class CordonList(msgspec.Struct, frozen=True):
    """All cordons that are set and have not expired."""

    cordons: list[CordonStatus]


class GroupStatus(msgspec.Struct, frozen=True):
    """A group, that is, a team's jobs of one class: the number of unfinished jobs, and numbers of cores.

    ``used``: held by placed tasks; ``waiting``: requested by queued tasks; ``floor``, ``share``: set by the admission
    decision. ``taken``: the fraction of new submissions accepted within the minute during which users retry (1: all).
    """

    team: str
    job_class: str
    jobs: int
    used: float
    waiting: float
    floor: float | None = None
    share: float | None = None
    taken: float = 1.0


class AdmissionStatus(msgspec.Struct, frozen=True):
    """The admission decision in force, if any, and the usage of each group.

    ``level``: open (no restriction), shaping (floors and shares apply) or shedding (submissions are rejected as well).
    """

    level: str
    generation: int
    since_s: int
    until_s: int
    groups: list[GroupStatus]
