"""Input events and output effects of the core."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

import msgspec

from gladecroft.protocol.wire import Report, WatchReply


class RequestKind(Enum):
    """What an incoming request asks for."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    HEALTH = "health"
    REPORT = "report"
    VIEW = "view"
    #: An operator lists the cordons.
    LIST_CORDONS = "cordons"
    #: An operator sets or lifts a cordon.
    CHANGE_CORDON = "cordon"
    #: An operator asks for the state of admission control.
    ADMISSION = "admission"
    #: A peer announces attempts that are confirmed to have ended.
    ATTEMPTS_ENDED = "ended"
    #: A peer announces machines that have reported to it.
    MACHINES_REPORTED = "heard"
    #: A peer asks which of the given machines report to this controller.
    QUERY_REPORTING = "hears"
    #: A peer asks for consent to keep answering its machines while the state service is down.
    CONSENT = "consent"


class IncomingRequest(msgspec.Struct):
    """An incoming request; its reply carries the same id."""

    request_id: int
    kind: RequestKind
    body: bytes = b""
    job: str = ""


class CallResult(msgspec.Struct):
    """The result of an outgoing call. Status 0: the outcome is unknown; -1: the call was certainly not sent."""

    call_id: int
    status: int
    body: bytes = b""


class WatchResult(msgspec.Struct):
    """The result of a watch. ``gap``: changes were missed, so all records must be read again."""

    reply: WatchReply | None = None
    gap: bool = False
    failed: bool = False


Event = IncomingRequest | CallResult | WatchResult


class Target(Enum):
    """The kind of process that an outgoing call goes to."""

    STATE = "state"
    CLOUD = "cloud"
    WORKER = "worker"
    PEER = "peer"


class Reply(msgspec.Struct):
    """Effect: answer an incoming request."""

    request_id: int
    status: int
    body: bytes = b""
    retry_after: int | None = None


class OutgoingCall(msgspec.Struct):
    """Effect: send an HTTP request and return its result as an event."""

    call_id: int
    target: Target
    method: str
    path: str
    body: bytes | None
    timeout: timedelta
    addr: str = ""


class StartWatch(msgspec.Struct):
    """Effect: open a watch for changes after this revision. At most one watch is open at a time."""

    after: int


Effect = Reply | OutgoingCall | StartWatch


class ClockReading(msgspec.Struct, frozen=True):
    """A reading of the monotonic clock and the wall clock."""

    monotonic: timedelta
    wall: datetime


#: Requests from users, most urgent first.
USER_REQUEST_PRIORITY = (RequestKind.CANCEL, RequestKind.POLL, RequestKind.SUBMIT)


def user_requests_last(events: list[Event]) -> list[Event]:
    """Sort user requests behind all other events: cancellations, then polls, then submissions.

    During a burst of submissions, reports, renewals and cancellations must not wait behind it. All other events keep
    their order.
    """
    user_requests: dict[RequestKind, list[Event]] = {}
    others: list[Event] = []
    for event in events:
        if isinstance(event, IncomingRequest) and event.kind in USER_REQUEST_PRIORITY:
            user_requests.setdefault(event.kind, []).append(event)
        else:
            others.append(event)
    for kind in USER_REQUEST_PRIORITY:
        others += user_requests.get(kind, ())
    return others


__all__ = [
    "CallResult", "IncomingRequest", "OutgoingCall", "ClockReading", "Effect", "Event", "Reply", "Report", "Target",
    "RequestKind", "StartWatch", "WatchResult", "user_requests_last",
]  # fmt: skip
