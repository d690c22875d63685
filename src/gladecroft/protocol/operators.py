"""What operators say to a controller, on the address that only they and siblings reach."""

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
    """An instant as logs, reasons and commands write it."""
    return f"{at:%Y-%m-%d %H:%M:%S} UTC"


def format_until(until_s: int) -> str:
    """The end of something, by the time of day, to be put after other words; nothing if it has none (0)."""
    return f" until {format_utc(datetime.fromtimestamp(until_s, UTC))}" if until_s else ""


class CordonScope(Enum):
    """What a cordon's name is the name of."""

    MACHINE = "machine"
    TYPE = "type"
    ZONE = "zone"


class CordonRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Set a cordon or, with ``lift``, end it. ``until_s``: when it ends by itself, in seconds of the time of day."""

    scope: CordonScope
    name: Annotated[str, Meta(min_length=1, max_length=200)]
    why: Annotated[str, Meta(max_length=200)] = ""
    by: Annotated[str, Meta(max_length=80)] = ""
    until_s: Annotated[int, Meta(ge=0, le=1 << 40)] = 0
    lift: bool = False


class CordonInfo(msgspec.Struct, frozen=True, omit_defaults=True):
    """A cordon that is set. ``until_s``: when it ends, by the time of day; 0: when an operator lifts it."""

    scope: CordonScope
    name: str
    why: str = ""
    by: str = ""
    since_s: int = 0
    until_s: int = 0


class CordonStatus(CordonInfo, frozen=True, omit_defaults=True):
    """A cordon as operators see it, and how many machines it shuts."""

    machines: int = 0


class CordonList(msgspec.Struct, frozen=True):
    cordons: list[CordonStatus]


class GroupStatus(msgspec.Struct, frozen=True):
    """A team's jobs of one class: unfinished jobs, and cores in use, waited for, guaranteed as floor and due as share.

    ``taken``: the part of new submissions, by their users' minute of tries, that is taken (1: all)."""

    team: str
    job_class: str
    jobs: int
    used: float
    waiting: float
    floor: float | None = None
    share: float | None = None
    taken: float = 1.0


class AdmissionStatus(msgspec.Struct, frozen=True):
    """What is agreed. ``level``: open (nothing is), shaping (floors and shares count), shedding (some are refused)."""

    level: str
    generation: int
    since_s: int
    until_s: int
    groups: list[GroupStatus]
