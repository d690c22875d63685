"""What goes into the core (events) and what comes out of it (effects)."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

import msgspec

from gladecroft.protocol.wire import Report, WatchReply


class RequestKind(Enum):
    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    HEALTH = "health"
    REPORT = "report"
    VIEW = "view"
    #: An operator asks for the cordons, or sets or lifts one.
    LIST_CORDONS = "cordons"
    CHANGE_CORDON = "cordon"
    #: An operator asks what is agreed on shares.
    ADMISSION = "admission"
    #: A sibling tells of attempts that are proven gone.
    ATTEMPTS_ENDED = "ended"
    #: A sibling tells of machines that have reported to it.
    MACHINES_REPORTED = "heard"
    #: A sibling asks which of some machines report here.
    QUERY_REPORTING = "hears"
    #: A sibling asks for consent to go on without the state service.
    CONSENT = "consent"


class IncomingRequest(msgspec.Struct):
    """A request that waits for an answer under its number."""

    request_id: int
    kind: RequestKind
    body: bytes = b""
    job: str = ""


class CallResult(msgspec.Struct):
    """The answer to a call; status 0: unknown outcome, -1: certainly not sent."""

    call: int
    status: int
    body: bytes = b""


class WatchResult(msgspec.Struct):
    """What a watch brought. ``gap``: the changes since are lost and everything is to be read again."""

    reply: WatchReply | None = None
    gap: bool = False
    failed: bool = False


Event = IncomingRequest | CallResult | WatchResult


class Target(Enum):
    STATE = "state"
    CLOUD = "cloud"
    WORKER = "worker"
    PEER = "peer"


class Reply(msgspec.Struct):
    request_id: int
    status: int
    body: bytes = b""
    retry_after: int | None = None


class OutgoingCall(msgspec.Struct):
    call_id: int
    target: Target
    method: str
    path: str
    body: bytes | None
    timeout: timedelta
    addr: str = ""


class StartWatch(msgspec.Struct):
    """Open a watch (one at a time) from this revision on."""

    after: int


Effect = Reply | OutgoingCall | StartWatch


class ClockReading(msgspec.Struct, frozen=True):
    monotonic: timedelta
    wall: datetime


#: What users ask for, the most pressing first.
USERS_ASK = (RequestKind.CANCEL, RequestKind.POLL, RequestKind.SUBMIT)


def user_requests_last(events: list[Event]) -> list[Event]:
    """The events of a batch with what users ask for last: cancellations, polls, submissions. Others keep their order.

    In a flood of submissions reports, renewals and cancellations are not to wait behind it.
    """
    asked: dict[RequestKind, list[Event]] = {}
    others: list[Event] = []
    for event in events:
        if isinstance(event, IncomingRequest) and event.kind in USERS_ASK:
            asked.setdefault(event.kind, []).append(event)
        else:
            others.append(event)
    for verb in USERS_ASK:
        others += asked.get(verb, ())
    return others


__all__ = [
    "CallResult", "IncomingRequest", "OutgoingCall", "ClockReading", "Effect", "Event", "Reply",
    "Report", "Target", "RequestKind", "StartWatch", "WatchResult", "user_requests_last",
]  # fmt: skip
