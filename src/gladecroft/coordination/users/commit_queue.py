"""Commits acceptances and cancellations of jobs in batches."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import RequestKind
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.users.pending import PendingRequest, PendingRequests
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

#: A queue of more submissions and cancellations than this counts as a burst.
BURST_SIZE = 4


class CommitQueue:
    """Queue of submissions and cancellations that are to be committed.

    ``route`` queues a request again to be confirmed, committed or looked up, ``look_up`` queues it until its job has
    been looked up in the state service, and ``reply_from_cache`` replies to it from the cluster state or, if it is a
    cancellation of an active job, queues its commit (False if the cluster state lacks the job).
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        pending: PendingRequests,
        route: Callable[[PendingRequest], None],
        look_up: Callable[[PendingRequest], None],
        reply_from_cache: Callable[[PendingRequest], bool],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.pending = pending
        self._route = route
        self._look_up = look_up
        self._reply_from_cache = reply_from_cache
        self._queue: deque[PendingRequest] = deque()
        self._in_flight = False

    def __len__(self) -> int:
        return len(self._queue)

    def append(self, entry: PendingRequest) -> None:
        """Queue a submission of an unknown job or a cancellation of a known job."""
        self._queue.append(entry)

    def flush(self) -> None:
        """Commit a batch of acceptances and cancellations in one transaction."""
        context = self.context
        # Short queues are committed immediately. During a burst, this queue and the state writer take turns;
        # otherwise no accepted job would be placed until the burst is over.
        is_burst = len(self._queue) > BURST_SIZE
        context.users_waiting_for_budget = is_burst
        if self._in_flight or not self._queue:
            return
        budget_is_low = context.state_writes.available(context.now) < min(BURST_SIZE, context.state_writes.burst)
        if is_burst and (budget_is_low or context.writer_waiting_for_budget and context.writer_has_turn):
            return
        max_ops = min(context.cluster.state.txn_ops, max(1, int(context.state_writes.available(context.now))))
        conditions = {rec.EPOCH: self.cluster_state.version(rec.EPOCH)}
        batch: dict[str, tuple[rec.JobRecord, list[PendingRequest]]] = {}
        ops: list[wire.Put] = []
        txn_bytes = 300
        while self._queue and len(ops) < max_ops and len(conditions) + 2 <= 4 * context.cluster.state.txn_ops:
            entry = self._queue[0]
            job_id = entry.request.job_id
            job = self.cluster_state.jobs.get(job_id)
            if not self.pending.is_open(entry):
                self._queue.popleft()
                continue
            if job_id in batch:
                if entry.request.kind is not RequestKind.SUBMIT or batch[job_id][0].cancelled:
                    break
                self._queue.popleft()
                batch[job_id][1].append(entry)
                continue
            if entry.request.kind is RequestKind.SUBMIT:
                if job is not None or job_id in self.cluster_state.final_records:
                    self._queue.popleft()
                    self._route(entry) if job is not None else self._reply_from_cache(entry)
                    continue
                assert entry.spec is not None
                record = rec.JobRecord(entry.spec, int(context.wall_time.timestamp() * 1000))
                expected_versions = {rec.job_key(job_id): 0, rec.final_key(job_id): 0}
            else:
                if job is None or job.cancelled:
                    self._queue.popleft()
                    self._route(entry) if job_id not in self.cluster_state.final_records else self._reply_from_cache(
                        entry
                    )
                    continue
                record = rec.JobRecord(job.spec, job.record.accepted_ms, True)
                expected_versions = {rec.job_key(job_id): job.version}
            value = msgspec.json.encode(record)
            txn_bytes += len(value) + 300
            if txn_bytes > 60_000 and ops:
                break
            self._queue.popleft()
            conditions.update(expected_versions)
            ops.append(wire.Put(rec.job_key(job_id), msgspec.Raw(value)))
            batch[job_id] = (record, [entry])
        if not ops:
            return
        body = wire.encode(wire.Txn([wire.Condition(*pair) for pair in conditions.items()], list(ops)))

        def requeue() -> None:
            for _, entries in reversed(list(batch.values())):
                self._queue.extendleft(reversed([entry for entry in entries if self.pending.is_open(entry)]))

        def on_commit_result(status: int, body: bytes) -> None:
            self._in_flight = False
            context.count_writes("accepted or cancelled" if status == 200 else f"refused ({status})", len(ops))
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                for op in ops:
                    self.cluster_state.apply(op.key, op.value, revision)
                for job_id, (record, entries) in batch.items():
                    self._on_committed(job_id, record, entries)
            elif status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
                for job_id in list(batch):
                    if rec.job_key(job_id) in failed or rec.final_key(job_id) in failed:
                        for entry in batch.pop(job_id)[1]:
                            self._look_up(entry)
                requeue()
                if rec.EPOCH in failed:
                    self.membership.refresh_epoch()
            elif status in (-1, 429, 503):
                requeue()
            else:
                # The outcome is unknown, or the commit was rejected: the current records in the state service decide.
                # If the job has no record yet, a commit of unknown outcome may still create it later.
                for _, entries in batch.values():
                    for entry in entries:
                        self._look_up(entry)

        if context.call_state("POST", wire.COMMIT_PATH, body, on_commit_result, writes=len(ops)):
            self._in_flight = True
            context.writer_has_turn = True
        else:
            requeue()

    def _on_committed(self, job_id: str, record: rec.JobRecord, entries: list[PendingRequest]) -> None:
        """Reply to the requests for a job whose record has been committed."""
        job = self.cluster_state.jobs.get(job_id)
        if record.cancelled:
            log.info("job %s: cancelled by its user", job_id)
        else:
            spec = record.spec
            log.info("job %s: accepted, %d tasks of %s for %s with %g cores for %g s each", job_id, spec.tasks,
                     spec.job_class, spec.team, spec.cpus, spec.estimate_s)  # fmt: skip
        for index, entry in enumerate(entries):
            if job is not None:
                self.pending.reply_status(
                    entry, job, 201 if index == 0 and entry.request.kind is RequestKind.SUBMIT else 200
                )
            else:
                self._reply_from_cache(entry)
