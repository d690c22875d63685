"""The requests that wait for an answer, and the answers."""

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
    request: IncomingRequest
    since: timedelta
    #: A submission's job, or what is malformed in it.
    spec: JobSpec | None = None
    malformed: str = ""
    tries: int = 0


class PendingRequests:
    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.open: dict[int, PendingRequest] = {}
        #: Why a job waits, in words.
        self.wait_reason: Callable[[Job], str] = lambda job: ""

    def close(self, waiting: PendingRequest) -> bool:
        return self.open.pop(waiting.request.request_id, None) is not None

    def refuse(self, waiting: PendingRequest, status: int, why: str, retry_after: int | None = None) -> None:
        if self.close(waiting):
            log.info("%s %s refused with %d: %s", waiting.request.kind.value, waiting.request.job, status, why)
            self.context.reply_error(waiting.request.request_id, status, why, retry_after)

    def tell_final(self, waiting: PendingRequest, final: rec.FinalRecord) -> None:
        self.open.pop(waiting.request.request_id, None)
        state = JobState.DONE if final.done else JobState.CANCELLED
        answer = JobStatus(waiting.request.job, state)
        if waiting.request.kind is RequestKind.POLL:
            answer.done, answer.running = final.tasks, 0
            if final.reason:
                answer.reason = final.reason
        self.context.reply(waiting.request.request_id, 200, wire.encode(answer))

    def tell(self, waiting: PendingRequest, job: Job, status: int = 200) -> None:
        if not self.close(waiting):
            return
        if job.cancelled:
            answer = JobStatus(job.id, JobState.CANCELLED)
        else:
            answer = JobStatus(job.id, JobState.RUNNING if job.placed_count or job.done_count else JobState.QUEUED)
        if waiting.request.kind is RequestKind.POLL:
            answer.done, answer.running = job.done_count, job.placed_count
            reason = self.wait_reason(job)
            if reason:
                answer.reason = reason
        self.context.reply(waiting.request.request_id, status, wire.encode(answer))

    def is_open(self, waiting: PendingRequest) -> bool:
        return waiting.request.request_id in self.open
