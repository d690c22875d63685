"""What goes into the core (events) and what comes out of it (effects)."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

import msgspec

from gladecroft.protocol.wire import Report, WatchReply


class Verb(Enum):
    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    HEALTH = "health"
    REPORT = "report"
    VIEW = "view"
    #: An operator asks for the cordons, or sets or lifts one.
    CORDONS = "cordons"
    CORDON = "cordon"
    #: An operator asks what is agreed on shares.
    ADMISSION = "admission"
    #: A sibling tells of attempts that are proven gone.
    ENDED = "ended"
    #: A sibling tells of machines that have reported to it.
    HEARD = "heard"
    #: A sibling asks which of some machines report here.
    HEARS = "hears"
    #: A sibling asks for consent to go on without the state service.
    CONSENT = "consent"


class Asked(msgspec.Struct):
    """A request that waits for an answer under its number."""

    number: int
    verb: Verb
    body: bytes = b""
    job: str = ""


class Answered(msgspec.Struct):
    """The answer to a call; status 0: unknown outcome, -1: certainly not sent."""

    call: int
    status: int
    body: bytes = b""


class Watched(msgspec.Struct):
    """What a watch brought. ``gap``: the changes since are lost and everything is to be read again."""

    reply: WatchReply | None = None
    gap: bool = False
    failed: bool = False


Event = Asked | Answered | Watched


class Target(Enum):
    STATE = "state"
    CLOUD = "cloud"
    WORKER = "worker"
    PEER = "peer"


class Reply(msgspec.Struct):
    number: int
    status: int
    body: bytes = b""
    retry_after: int | None = None


class Call(msgspec.Struct):
    number: int
    target: Target
    method: str
    path: str
    body: bytes | None
    limit: timedelta
    addr: str = ""


class Watch(msgspec.Struct):
    """Open a watch (one at a time) from this revision on."""

    after: int


Effect = Reply | Call | Watch


class Clock(msgspec.Struct, frozen=True):
    steady: timedelta
    wall: datetime


#: What users ask for, the most pressing first.
USERS_ASK = (Verb.CANCEL, Verb.POLL, Verb.SUBMIT)


def by_urgency(events: list[Event]) -> list[Event]:
    """The events of a batch with what users ask for last: cancellations, polls, submissions. Others keep their order.

    In a flood of submissions reports, renewals and cancellations are not to wait behind it.
    """
    asked: dict[Verb, list[Event]] = {}
    others: list[Event] = []
    for event in events:
        if isinstance(event, Asked) and event.verb in USERS_ASK:
            asked.setdefault(event.verb, []).append(event)
        else:
            others.append(event)
    for verb in USERS_ASK:
        others += asked.get(verb, ())
    return others


__all__ = [
    "Answered", "Asked", "Call", "Clock", "Effect", "Event", "Reply", "Report", "Target", "Verb", "Watch", "Watched",
    "by_urgency",
]  # fmt: skip
