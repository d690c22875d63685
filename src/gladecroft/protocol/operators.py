"""What operators say to a controller, on the address that only they and siblings reach."""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

VIEW_PATH = "/view"
CORDONS_PATH = "/cordons"


class Scope(Enum):
    """What a cordon's name is the name of."""

    MACHINE = "machine"
    TYPE = "type"
    ZONE = "zone"


class CordonOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Set a cordon or, with ``lift``, end it. ``until_s``: when it ends by itself, in seconds of the time of day."""

    scope: Scope
    name: Annotated[str, Meta(min_length=1, max_length=200)]
    why: Annotated[str, Meta(max_length=200)] = ""
    by: Annotated[str, Meta(max_length=80)] = ""
    until_s: Annotated[int, Meta(ge=0, le=1 << 40)] = 0
    lift: bool = False


class CordonShown(msgspec.Struct, frozen=True, omit_defaults=True):
    """A cordon as operators see it, and how many machines it shuts."""

    scope: Scope
    name: str
    why: str = ""
    by: str = ""
    since_s: int = 0
    until_s: int = 0
    machines: int = 0


class Cordons(msgspec.Struct, frozen=True):
    cordons: list[CordonShown]
