"""Looks up jobs in the state service that are missing from the cluster state.

A compare-only commit (conditions without writes) checks for many jobs together whether they exist, so that polls for
jobs that were never submitted cannot use up the request budget that other requests need. Only records that were found
to exist are read, in the order in which they were found, and only while a user waits for the reply.

The result of a check or read is used only for the requests that arrived before it was sent: a later request may come
from a user who has already seen a newer state at another controller. Final records never change, so they are used for
all requests.
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
    """The requests that wait for the lookup of their job.

    ``on_lookup_done`` is called with each request and whether its job exists.
    """

    def __init__(
        self,
        context: ControllerContext,
        pending: PendingRequests,
        on_lookup_done: Callable[[PendingRequest, bool], None],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.pending = pending
        self._on_lookup_done = on_lookup_done
        #: Waiting requests by job id; the jobs that have waited longest come first.
        self._entries: dict[str, list[PendingRequest]] = {}
        #: The record keys of jobs that exist and must be read, by job id; and the ids of jobs with a call in flight.
        self._keys_to_read: dict[str, str] = {}
        self._in_flight: set[str] = set()
        self._reads_in_flight = 0
        self._check_in_flight = False
        self._last_check_sent_at = timedelta(days=-1)
        self._retry_at = timedelta(days=-1)

    def __len__(self) -> int:
        return len(self._entries)

    def look_up(self, entry: PendingRequest, known_to_exist: bool = False) -> None:
        """Queue a request for its job to be looked up by ``flush``.

        ``known_to_exist``: the job's record is read without a check.
        """
        self._entries.setdefault(entry.request.job_id, []).append(entry)
        if known_to_exist:
            self._keys_to_read.setdefault(entry.request.job_id, rec.job_key(entry.request.job_id))

    def flush(self) -> None:
        """Send reads and checks for the queued requests, as the request budget allows."""
        if not self._entries or self.context.now < self._retry_at:
            return
        for job_id in [
            job_id for job_id in self._entries if job_id not in self._in_flight and not self._has_open_entry(job_id)
        ]:
            # No user waits for a reply any more. If such jobs were kept, they would be requested repeatedly, and
            # MAX_READS_IN_FLIGHT of them would block all other jobs.
            del self._entries[job_id]
            self._keys_to_read.pop(job_id, None)
        for job_id in [job_id for job_id in self._keys_to_read if job_id not in self._entries]:
            del self._keys_to_read[job_id]  # all its requests were answered with the final record
        for job_id in list(self._keys_to_read):
            if self._reads_in_flight >= MAX_READS_IN_FLIGHT or not self._read(job_id, self._keys_to_read[job_id]):
                break
        min_interval = self.context.min_interval(CHECK_REQUEST_FRACTION, CHECK_INTERVAL)
        if not self._check_in_flight and self.context.now - self._last_check_sent_at >= min_interval:
            self._check_existence()

    def _has_open_entry(self, job_id: str) -> bool:
        return any(self.pending.is_open(entry) for entry in self._entries[job_id])

    def _take_entries(self, job_id: str) -> list[PendingRequest]:
        """Mark the job as in flight and return the requests that its result is for: all that have arrived so far."""
        self._in_flight.add(job_id)
        return self._entries.pop(job_id)

    def _requeue(self, entries_by_job: dict[str, list[PendingRequest]]) -> None:
        """Put requests whose lookup failed or is not finished back, in front of those that have arrived since."""
        if entries_by_job:
            requeued = {job_id: entries + self._entries.pop(job_id, []) for job_id, entries in entries_by_job.items()}
            self._entries = {**requeued, **self._entries}

    def _finish(self, entries: list[PendingRequest], exists: bool) -> None:
        for entry in entries:
            if self.pending.is_open(entry):
                self._on_lookup_done(entry, exists)

    def _delay_retry(self) -> None:
        self._retry_at = self.context.now + RETRY_DELAY

    def _check_existence(self) -> None:
        """Check, for as many jobs as fit into one transaction, whether their job record and final record are absent.

        The job record is replaced by the final record in one transaction, so both are absent only if the job does not
        exist. Status 200 means that the keys of all these jobs are absent, 409 names the keys that exist.
        """
        max_jobs = max(1, 2 * self.context.cluster.state.txn_ops)
        batch = [
            job_id for job_id in self._entries if job_id not in self._in_flight and job_id not in self._keys_to_read
        ][:max_jobs]
        if not batch:
            return

        def on_commit_result(status: int, body: bytes) -> None:
            self._check_in_flight = False
            self._in_flight.difference_update(batch)
            if status not in (200, 409):
                self._requeue(entries_by_job)
                self._delay_retry()
                return
            reply: wire.TxnReply = wire.decode(wire.TxnReply, body)
            failed = set(reply.failed) if status == 409 else set()
            for job_id in batch:
                keys = [key for key in (rec.job_key(job_id), rec.final_key(job_id)) if key in failed]
                if keys:
                    self._keys_to_read[job_id] = keys[0]
                else:
                    self.cluster_state.apply_absence(rec.job_key(job_id), reply.revision)
                    self._finish(entries_by_job.pop(job_id), False)
            self._requeue(entries_by_job)

        entries_by_job: dict[str, list[PendingRequest]] = {}
        conditions = [
            wire.Condition(key, 0) for job_id in batch for key in (rec.job_key(job_id), rec.final_key(job_id))
        ]
        if self.context.call_state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), on_commit_result):
            self._check_in_flight, self._last_check_sent_at = True, self.context.now
            entries_by_job = {job_id: self._take_entries(job_id) for job_id in batch}

    def _read(self, job_id: str, key: str) -> bool:
        """Read a record that exists. If a job record is absent, it has just been replaced by the final record.

        Returns False if the request budget does not allow the read now.
        """
        entries: list[PendingRequest] = []

        def on_read_result(status: int, body: bytes) -> None:
            self._reads_in_flight -= 1
            self._in_flight.discard(job_id)
            if key == rec.final_key(job_id):
                self._handle_final_read(job_id, entries, status, body)
            elif not self.context.apply_read(key, status, body):
                self._retry_lookup(job_id, entries)
            elif status == 200:
                self._finish(entries, True)
            else:
                self._requeue({job_id: entries})
                self._keys_to_read[job_id] = rec.final_key(job_id)

        if not self.context.call_state("GET", wire.key_path(key), None, on_read_result):
            return False
        del self._keys_to_read[job_id]
        entries = self._take_entries(job_id)
        self._reads_in_flight += 1
        return True

    def _handle_final_read(self, job_id: str, entries: list[PendingRequest], status: int, body: bytes) -> None:
        if status != 200:
            self._retry_lookup(job_id, entries)
            return
        item: wire.KeyValue = wire.decode(wire.KeyValue, body)
        self.cluster_state.add_final(job_id, wire.decode(rec.FinalRecord, bytes(item.value)))
        self._finish(entries + self._entries.pop(job_id, []), True)

    def _retry_lookup(self, job_id: str, entries: list[PendingRequest]) -> None:
        """Look the job up again from the start, after a delay."""
        self._requeue({job_id: entries})
        self._delay_retry()
