"""Asks the state service about jobs that the picture does not tell of.

Whether there is such a job at all is asked for many jobs at once, by a commit that only compares: so users who ask for
jobs that nobody submitted can't use up the requests that others' questions need. Only what there is gets read, oldest
questions first, and nothing is asked for any more once nobody waits for it.

What is read answers those who had asked before it was sent, and nobody else: who asks meanwhile may have been told
something newer elsewhere. Only final states, which never change, answer everybody.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import RETRY_DELAY, ControllerContext
from gladecroft.coordination.users.pending import PendingRequest, PendingRequests
from gladecroft.protocol import wire

READS_AT_ONCE = 16
CHECK_EVERY = timedelta(milliseconds=100)
#: At most this part of a controller's requests asks whether there is a job.
CHECKS = 1 / 4


class Lookups:
    """``found`` is told of each request that waited for a job's records, and whether the store has the job."""

    def __init__(
        self, context: ControllerContext, pending: PendingRequests, found: Callable[[PendingRequest, bool], None]
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.pending = pending
        self._found = found
        #: Who waits, by job; the jobs asked longest ago first.
        self._waiting: dict[str, list[PendingRequest]] = {}
        #: Jobs that there are, to be read; those that are asked about right now.
        self._to_read: dict[str, str] = {}
        self._asking: set[str] = set()
        self._reading = 0
        self._checking = False
        self._checked_at = timedelta(days=-1)
        self._not_before = timedelta(days=-1)

    def __len__(self) -> int:
        return len(self._waiting)

    def look_up(self, request: PendingRequest, exists: bool = False) -> None:
        """Have a request's job looked up; ``flush``, which ends every step, asks for many at once. ``there``: it is
        known that there is such a job, so it is read without asking for that first."""
        self._waiting.setdefault(request.request.job, []).append(request)
        if exists:
            self._to_read.setdefault(request.request.job, rec.job_key(request.request.job))

    def flush(self) -> None:
        if not self._waiting or self.context.now < self._not_before:
            return
        for name in [name for name in self._waiting if name not in self._asking and not self._wanted(name)]:
            # Nobody waits any more. Kept, each would be asked for again and again, and sixteen such kept all others
            # out.
            del self._waiting[name]
            self._to_read.pop(name, None)
        for name in [name for name in self._to_read if name not in self._waiting]:
            del self._to_read[name]  # a final state has answered all meanwhile
        for name in list(self._to_read):
            if self._reading >= READS_AT_ONCE or not self._read(name, self._to_read[name]):
                break
        pause = self.context.min_interval(CHECKS, CHECK_EVERY)
        if not self._checking and self.context.now - self._checked_at >= pause:
            self._check()

    def _wanted(self, name: str) -> bool:
        return any(self.pending.is_open(waiting) for waiting in self._waiting[name])

    def _ask(self, name: str) -> list[PendingRequest]:
        """Those whom the request about a job that is being sent answers: all who have asked so far."""
        self._asking.add(name)
        return self._waiting.pop(name)

    def _put_back(self, groups: dict[str, list[PendingRequest]]) -> None:
        """The request told them nothing: they wait on, before those who have come since."""
        if groups:
            back = {name: group + self._waiting.pop(name, []) for name, group in groups.items()}
            self._waiting = {**back, **self._waiting}

    def _finish(self, group: list[PendingRequest], known: bool) -> None:
        for waiting in group:
            if self.pending.is_open(waiting):
                self._found(waiting, known)

    def _again(self) -> None:
        self._not_before = self.context.now + RETRY_DELAY

    def _check(self) -> None:
        """Compare: neither a live record nor a final one, for as many jobs as one transaction can hold.

        A job goes from the first to the second in one transaction, so both are absent at once only if there is no such
        job.
        """
        most = max(1, 2 * self.context.cluster.state.txn_ops)
        batch = [name for name in self._waiting if name not in self._asking and name not in self._to_read][:most]
        if not batch:
            return

        def then(status: int, body: bytes) -> None:
            self._checking = False
            self._asking.difference_update(batch)
            if status not in (200, 409):
                self._put_back(groups)
                self._again()
                return
            reply: wire.TxnReply = wire.decode(wire.TxnReply, body)
            failed = set(reply.failed) if status == 409 else set()
            for name in batch:
                keys = [key for key in (rec.job_key(name), rec.final_key(name)) if key in failed]
                if keys:
                    self._to_read[name] = keys[0]
                else:
                    self.cluster_state.apply(rec.job_key(name), None, reply.revision)
                    self._finish(groups.pop(name), False)
            self._put_back(groups)

        groups: dict[str, list[PendingRequest]] = {}
        conditions = [wire.Condition(key, 0) for name in batch for key in (rec.job_key(name), rec.final_key(name))]
        if self.context.call_state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), then):
            self._checking, self._checked_at = True, self.context.now
            groups = {name: self._ask(name) for name in batch}

    def _read(self, name: str, key: str) -> bool:
        """Read a record that there is. A live one that is gone has just become a final one."""
        group: list[PendingRequest] = []

        def then(status: int, body: bytes) -> None:
            self._reading -= 1
            self._asking.discard(name)
            if status == 200:
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                if key == rec.final_key(name):
                    self.cluster_state.add_final(name, wire.decode(rec.FinalRecord, bytes(item.value)))
                    group.extend(self._waiting.pop(name, ()))
                else:
                    self.cluster_state.apply(item.key, item.value, item.version)
                self._finish(group, True)
                return
            self._put_back({name: group})
            if status == 404 and key != rec.final_key(name):
                self.cluster_state.apply(key, None, wire.decode(wire.KeyNotFound, body).revision)
                self._to_read[name] = rec.final_key(name)
            else:
                self._again()  # asked about anew

        if not self.context.call_state("GET", wire.key_path(key), None, then):
            return False
        del self._to_read[name]
        group = self._ask(name)
        self._reading += 1
        return True
