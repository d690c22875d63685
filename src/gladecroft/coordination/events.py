"""Input events and output effects of the core."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

import msgspec

from gladecroft.protocol.wire import Report, WatchReply


class RequestKind(Enum):
    """What an incoming request asks for. The first three kinds come from users."""

    SUBMIT = "submit"
    POLL = "poll"
    CANCEL = "cancel"
    HEALTH = "health"
    #: A machine reports its attempts; the reply renews its lease.
    REPORT = "report"
    #: An operator asks for a summary of this controller's state.
    GET_CONTROLLER_STATUS = "view"
    #: An operator lists the cordons.
    LIST_CORDONS = "cordons"
    #: An operator sets or lifts a cordon.
    CHANGE_CORDON = "cordon"
    #: An operator asks for the state of admission control.
    GET_ADMISSION_STATUS = "admission"
    #: A peer announces attempts that are confirmed to have ended.
    ANNOUNCE_ENDED_ATTEMPTS = "ended"
    #: A peer announces machines that are up without a record, and machines that were returned to the cloud.
    ANNOUNCE_MACHINES = "heard"
    #: A peer asks which of the given machines report to this controller.
    QUERY_REPORTING = "hears"
    #: A peer asks for consent to keep renewing the leases of its machines while the state service is down.
    REQUEST_CONSENT = "consent"


class IncomingRequest(msgspec.Struct):
    """An incoming request; its reply carries the same request id.

    ``job_id`` is set for POLL and CANCEL, and for SUBMIT once the body has been read.
    """

    request_id: int
    kind: RequestKind
    body: bytes = b""
    job_id: str = ""


class CallResult(msgspec.Struct):
    """The result of an outgoing call. Status 0: the outcome is unknown; -1: the call was definitely not sent."""

    call_id: int
    status: int
    body: bytes = b""


class WatchResult(msgspec.Struct):
    """The result of a watch.

    ``gap``: changes were missed, so all records must be read again. ``failed``: the watch ended with an error and is
    opened again at the same revision.
    """

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
    """Effect: reply to an incoming request. ``retry_after_s``: time after which the requester may try again."""

    request_id: int
    status: int
    body: bytes = b""
    retry_after_s: int | None = None


class OutgoingCall(msgspec.Struct):
    """Effect: send an HTTP request and return its result as a ``CallResult`` event.

    ``addr`` is the address of the worker or peer; it is empty for the state service and the cloud.
    """

    call_id: int
    target: Target
    method: str
    path: str
    body: bytes | None
    timeout: timedelta
    addr: str = ""


class StartWatch(msgspec.Struct):
    """Effect: open a watch for changes after the revision ``after``. At most one watch is open at a time."""

    after: int


Effect = Reply | OutgoingCall | StartWatch


class ClockReading(msgspec.Struct, frozen=True):
    """A reading of the monotonic clock and the wall clock."""

    monotonic: timedelta
    wall: datetime


#: Requests from users, most urgent first.
USER_REQUEST_ORDER = (RequestKind.CANCEL, RequestKind.POLL, RequestKind.SUBMIT)


def user_requests_last(events: list[Event]) -> list[Event]:
    """Sort user requests behind all other events: cancellations, then polls, then submissions.

    A burst of submissions must not delay machine reports, lease renewals and cancellations. All other events keep their
    order.
    """
    user_requests: dict[RequestKind, list[Event]] = {}
    others: list[Event] = []
    for event in events:
        if isinstance(event, IncomingRequest) and event.kind in USER_REQUEST_ORDER:
            user_requests.setdefault(event.kind, []).append(event)
        else:
            others.append(event)
    for kind in USER_REQUEST_ORDER:
        others += user_requests.get(kind, ())
    return others


__all__ = [
    "CallResult", "IncomingRequest", "OutgoingCall", "ClockReading", "Effect", "Event", "Reply", "Report", "Target",
    "RequestKind", "StartWatch", "WatchResult", "user_requests_last",
]  # fmt: skip
