"""The requests that wait for an answer, and the answers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.context import Node
from gladecroft.coordination.events import Asked, Verb
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec, JobStatus, Status

log = logging.getLogger(__name__)


class Waiting(msgspec.Struct, eq=False):
    asked: Asked
    since: timedelta
    #: A submission's job, or what is malformed in it.
    spec: JobSpec | None = None
    malformed: str = ""
    tries: int = 0


class Desk:
    def __init__(self, node: Node) -> None:
        self.node = node
        self.open: dict[int, Waiting] = {}
        #: Why a job waits, in words.
        self.reason: Callable[[Job], str] = lambda job: ""

    def close(self, waiting: Waiting) -> bool:
        return self.open.pop(waiting.asked.number, None) is not None

    def refuse(self, waiting: Waiting, status: int, why: str, retry_after: int | None = None) -> None:
        if self.close(waiting):
            log.info("%s %s refused with %d: %s", waiting.asked.verb.value, waiting.asked.job, status, why)
            self.node.refuse(waiting.asked.number, status, why, retry_after)

    def tell_final(self, waiting: Waiting, final: rec.FinalRecord) -> None:
        self.open.pop(waiting.asked.number, None)
        state = Status.DONE if final.done else Status.CANCELLED
        answer = JobStatus(waiting.asked.job, state)
        if waiting.asked.verb is Verb.POLL:
            answer.done, answer.running = final.tasks, 0
            if final.reason:
                answer.reason = final.reason
        self.node.reply(waiting.asked.number, 200, wire.encode(answer))

    def tell(self, waiting: Waiting, job: Job, status: int = 200) -> None:
        if not self.close(waiting):
            return
        if job.cancelled:
            answer = JobStatus(job.id, Status.CANCELLED)
        else:
            answer = JobStatus(job.id, Status.RUNNING if job.occupied or job.done else Status.QUEUED)
        if waiting.asked.verb is Verb.POLL:
            answer.done, answer.running = job.done, job.occupied
            reason = self.reason(job)
            if reason:
                answer.reason = reason
        self.node.reply(waiting.asked.number, status, wire.encode(answer))

    def alive(self, waiting: Waiting) -> bool:
        return waiting.asked.number in self.open
