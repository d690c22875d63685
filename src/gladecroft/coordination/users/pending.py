"""Users' requests that have no reply yet, and the replies to them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest, RequestKind
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec, JobState, JobStatus

log = logging.getLogger(__name__)


class PendingRequest(msgspec.Struct, eq=False):
    """A user's request, the time at which it was received, and the progress of its handling."""

    request: IncomingRequest
    received_at: timedelta
    #: The spec of the submitted job; None if the body is malformed or the request is not a submission.
    spec: JobSpec | None = None
    #: What is malformed in the body of a submission.
    parse_error: str = ""
    #: Lookups that found that the submitted job does not exist, after which the submission was queued for commit.
    not_found_count: int = 0


class PendingRequests:
    """The requests that have no reply yet, by request id."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.by_id: dict[int, PendingRequest] = {}
        #: Returns the reason, shown to users, why tasks of the job wait; empty if there is none. It is called for every
        #: poll of an unfinished job, whatever its state.
        self.wait_reason: Callable[[Job], str] = lambda job: ""

    def remove(self, entry: PendingRequest) -> bool:
        """Remove a request; return False if its reply has already been sent."""
        return self.by_id.pop(entry.request.request_id, None) is not None

    def reject(self, entry: PendingRequest, status: int, reason: str, retry_after_s: int | None = None) -> None:
        """Reply with an error status."""
        if self.remove(entry):
            # Operators' tools match "refused with".
            log.info("%s %s refused with %d: %s", entry.request.kind.value, entry.request.job_id, status, reason)
            self.context.reply_error(entry.request.request_id, status, reason, retry_after_s)

    def reply_final(self, entry: PendingRequest, final: rec.FinalRecord) -> None:
        """Reply with the final record of the job."""
        self.by_id.pop(entry.request.request_id, None)  # a new request may not have been added
        state = JobState.DONE if final.done else JobState.CANCELLED
        reply = JobStatus(entry.request.job_id, state)
        if entry.request.kind is RequestKind.POLL:
            # The final record of a cancelled job has the number of its done tasks, too.
            reply.done, reply.running = final.tasks, 0
            if final.reason:
                reply.reason = final.reason
        log.debug("answer: job=%s state=%s basis=final_record", entry.request.job_id, state.value)
        self.context.reply(entry.request.request_id, 200, wire.encode(reply))

    def reply_status(self, entry: PendingRequest, job: Job, http_status: int = 200) -> None:
        """Reply with the current status of the job; ``status`` is the HTTP status."""
        if not self.remove(entry):
            return
        if job.cancelled:
            reply = JobStatus(job.id, JobState.CANCELLED)
        else:
            reply = JobStatus(job.id, JobState.RUNNING if job.placed_count or job.done_count else JobState.QUEUED)
        if entry.request.kind is RequestKind.POLL:
            # Placed tasks are reported as running.
            reply.done, reply.running = job.done_count, job.placed_count
            reason = self.wait_reason(job)
            if reason:
                reply.reason = reason
        log.debug("answer: job=%s state=%s basis=confirmed_record revision=%d", job.id, reply.state.value, job.version)
        self.context.reply(entry.request.request_id, http_status, wire.encode(reply))

    def is_open(self, entry: PendingRequest) -> bool:
        """Return whether the request still has no reply."""
        return entry.request.request_id in self.by_id
