"""Looks up jobs in the state service that the cluster state lacks.

Whether jobs exist at all is checked for many at once by a compare-only commit, so that polls for jobs that were never
submitted can't use up the request budget that other requests need. Only records that exist are read, those requested
first before the others, and only as long as a user waits for the answer.

A record that is read answers only the requests that arrived before the read was sent: a later one may come from a user
who has already seen something newer at another controller. Final records never change, so they answer all requests.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import RETRY_DELAY, ControllerContext
from gladecroft.coordination.users.pending import PendingRequest, PendingRequests
from gladecroft.protocol import wire

MAX_READS_IN_FLIGHT = 16
CHECK_INTERVAL = timedelta(milliseconds=100)
#: Largest fraction of a controller's request budget that is spent on checking whether jobs exist.
CHECK_REQUEST_FRACTION = 1 / 4


class Lookups:
    """The requests that wait for a job's record; ``found`` is called for each with whether the job exists."""

    def __init__(
        self, context: ControllerContext, pending: PendingRequests, found: Callable[[PendingRequest, bool], None]
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.pending = pending
        self._found = found
        #: Waiting requests by job; the jobs that have waited longest come first.
        self._entries: dict[str, list[PendingRequest]] = {}
        #: The record keys of jobs that exist and must be read, and the jobs with a request in flight.
        self._keys_to_read: dict[str, str] = {}
        self._in_flight: set[str] = set()
        self._reads_in_flight = 0
        self._check_in_flight = False
        self._checked_at = timedelta(days=-1)
        self._retry_at = timedelta(days=-1)

    def __len__(self) -> int:
        return len(self._entries)

    def look_up(self, entry: PendingRequest, exists: bool = False) -> None:
        """Queue a request for its job to be looked up by ``flush``, which runs at the end of every step.

        ``exists``: the job is known to exist, so its record is read without a check.
        """
        self._entries.setdefault(entry.request.job, []).append(entry)
        if exists:
            self._keys_to_read.setdefault(entry.request.job, rec.job_key(entry.request.job))

    def flush(self) -> None:
        """Send reads and checks for the queued requests, as the request budget allows."""
        if not self._entries or self.context.now < self._retry_at:
            return
        for name in [name for name in self._entries if name not in self._in_flight and not self._has_open_entry(name)]:
            # Nobody waits for the answer any more. If such jobs were kept, each would be requested again and again, and
            # as few as MAX_READS_IN_FLIGHT of them would block all others.
            del self._entries[name]
            self._keys_to_read.pop(name, None)
        for name in [name for name in self._keys_to_read if name not in self._entries]:
            del self._keys_to_read[name]  # a final record has answered all its requests
        for name in list(self._keys_to_read):
            if self._reads_in_flight >= MAX_READS_IN_FLIGHT or not self._read(name, self._keys_to_read[name]):
                break
        min_interval = self.context.min_interval(CHECK_REQUEST_FRACTION, CHECK_INTERVAL)
        if not self._check_in_flight and self.context.now - self._checked_at >= min_interval:
            self._check_existence()

    def _has_open_entry(self, name: str) -> bool:
        return any(self.pending.is_open(entry) for entry in self._entries[name])

    def _take_entries(self, name: str) -> list[PendingRequest]:
        """Mark the job as in flight and return the requests that its answer is for: all that have arrived so far."""
        self._in_flight.add(name)
        return self._entries.pop(name)

    def _requeue(self, entries_by_job: dict[str, list[PendingRequest]]) -> None:
        """Put requests that got no answer back, in front of those that have arrived since."""
        if entries_by_job:
            requeued = {name: entries + self._entries.pop(name, []) for name, entries in entries_by_job.items()}
            self._entries = {**requeued, **self._entries}

    def _finish(self, entries: list[PendingRequest], exists: bool) -> None:
        for entry in entries:
            if self.pending.is_open(entry):
                self._found(entry, exists)

    def _delay_retry(self) -> None:
        self._retry_at = self.context.now + RETRY_DELAY

    def _check_existence(self) -> None:
        """Check for as many jobs as one transaction can hold that they have neither a job record nor a final one.

        One transaction replaces the job record by the final one, so both are missing at once only if the job does not
        exist.
        """
        max_jobs = max(1, 2 * self.context.cluster.state.txn_ops)
        batch = [name for name in self._entries if name not in self._in_flight and name not in self._keys_to_read][
            :max_jobs
        ]
        if not batch:
            return

        def then(status: int, body: bytes) -> None:
            self._check_in_flight = False
            self._in_flight.difference_update(batch)
            if status not in (200, 409):
                self._requeue(entries_by_job)
                self._delay_retry()
                return
            reply: wire.TxnReply = wire.decode(wire.TxnReply, body)
            failed = set(reply.failed) if status == 409 else set()
            for name in batch:
                keys = [key for key in (rec.job_key(name), rec.final_key(name)) if key in failed]
                if keys:
                    self._keys_to_read[name] = keys[0]
                else:
                    self.cluster_state.apply(rec.job_key(name), None, reply.revision)
                    self._finish(entries_by_job.pop(name), False)
            self._requeue(entries_by_job)

        entries_by_job: dict[str, list[PendingRequest]] = {}
        conditions = [wire.Condition(key, 0) for name in batch for key in (rec.job_key(name), rec.final_key(name))]
        if self.context.call_state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), then):
            self._check_in_flight, self._checked_at = True, self.context.now
            entries_by_job = {name: self._take_entries(name) for name in batch}

    def _read(self, name: str, key: str) -> bool:
        """Read a record that exists; if a job record is missing, it has just been replaced by the final one."""
        entries: list[PendingRequest] = []

        def then(status: int, body: bytes) -> None:
            self._reads_in_flight -= 1
            self._in_flight.discard(name)
            if status == 200:
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                if key == rec.final_key(name):
                    self.cluster_state.add_final(name, wire.decode(rec.FinalRecord, bytes(item.value)))
                    entries.extend(self._entries.pop(name, ()))
                else:
                    self.cluster_state.apply(item.key, item.value, item.version)
                self._finish(entries, True)
                return
            self._requeue({name: entries})
            if status == 404 and key != rec.final_key(name):
                self.cluster_state.apply(key, None, wire.decode(wire.KeyNotFound, body).revision)
                self._keys_to_read[name] = rec.final_key(name)
            else:
                self._delay_retry()  # the job is looked up again from the start

        if not self.context.call_state("GET", wire.key_path(key), None, then):
            return False
        del self._keys_to_read[name]
        entries = self._take_entries(name)
        self._reads_in_flight += 1
        return True
