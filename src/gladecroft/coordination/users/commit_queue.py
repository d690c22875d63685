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

#: More queued submissions and cancellations than this are a burst.
BURST_SIZE = 4


class CommitQueue:
    """Queue of submissions and cancellations that are to be committed.

    ``route`` handles a request from the start again, ``look_up`` has its job read from the state service, and
    ``reply_from_cache`` replies to it from the cluster state.
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
        """Queue a submission of an unknown job, or a cancellation of a known one."""
        self._queue.append(entry)

    def flush(self) -> None:
        """Commit a batch of acceptances and cancellations in one transaction."""
        context = self.context
        # Single submissions are committed at once. A burst takes turns with the state writer; otherwise no accepted
        # job would be placed while it lasts.
        is_burst = len(self._queue) > BURST_SIZE
        context.users_need_writes = is_burst
        if self._in_flight or not self._queue:
            return
        budget_is_low = context.state_writes.available(context.now) < min(BURST_SIZE, context.state_writes.burst)
        if is_burst and (budget_is_low or context.state_writer_needs_writes and context.state_writer_first):
            return
        ops_limit = min(context.cluster.state.txn_ops, max(1, int(context.state_writes.available(context.now))))
        conditions = {rec.EPOCH: self.cluster_state.version(rec.EPOCH)}
        batch: dict[str, tuple[rec.JobRecord, list[PendingRequest]]] = {}
        ops: list[wire.Put] = []
        size = 300
        while self._queue and len(ops) < ops_limit and len(conditions) + 2 <= 4 * context.cluster.state.txn_ops:
            entry = self._queue[0]
            name = entry.request.job
            job = self.cluster_state.jobs.get(name)
            if not self.pending.is_open(entry):
                self._queue.popleft()
                continue
            if name in batch:
                if entry.request.kind is not RequestKind.SUBMIT or batch[name][0].cancelled:
                    break
                self._queue.popleft()
                batch[name][1].append(entry)
                continue
            if entry.request.kind is RequestKind.SUBMIT:
                if job is not None or name in self.cluster_state.final_records:
                    self._queue.popleft()
                    self._route(entry) if job is not None else self._reply_from_cache(entry)
                    continue
                assert entry.spec is not None
                record = rec.JobRecord(entry.spec, int(context.wall_time.timestamp() * 1000))
                versions = {rec.job_key(name): 0, rec.final_key(name): 0}
            else:
                if job is None or job.cancelled:
                    self._queue.popleft()
                    self._route(entry) if name not in self.cluster_state.final_records else self._reply_from_cache(
                        entry
                    )
                    continue
                record = rec.JobRecord(job.spec, job.record.accepted_ms, True)
                versions = {rec.job_key(name): job.version}
            value = msgspec.json.encode(record)
            size += len(value) + 300
            if size > 60_000 and ops:
                break
            self._queue.popleft()
            conditions.update(versions)
            ops.append(wire.Put(rec.job_key(name), msgspec.Raw(value)))
            batch[name] = (record, [entry])
        if not ops:
            return
        body = wire.encode(wire.Txn([wire.Condition(*pair) for pair in conditions.items()], list(ops)))

        def requeue() -> None:
            for _, entries in reversed(list(batch.values())):
                self._queue.extendleft(reversed([entry for entry in entries if self.pending.is_open(entry)]))

        def then(status: int, body: bytes) -> None:
            self._in_flight = False
            context.count_writes("accepted or cancelled" if status == 200 else f"refused ({status})", len(ops))
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                for op in ops:
                    self.cluster_state.apply(op.key, op.value, revision)
                for name, (record, entries) in batch.items():
                    self._committed(name, record, entries)
            elif status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
                for name in list(batch):
                    if rec.job_key(name) in failed or rec.final_key(name) in failed:
                        for entry in batch.pop(name)[1]:
                            self._look_up(entry)
                requeue()
                if rec.EPOCH in failed:
                    self.membership.refresh_epoch()
            elif status in (-1, 429, 503):
                requeue()
            else:
                # Unknown outcome: the records that the store has now decide. A job that is missing may still be created
                # later by this commit.
                for _, entries in batch.values():
                    for entry in entries:
                        self._look_up(entry)

        if context.call_state("POST", wire.COMMIT_PATH, body, then, writes=len(ops)):
            self._in_flight = True
            context.state_writer_first = True
        else:
            requeue()

    def _committed(self, name: str, record: rec.JobRecord, entries: list[PendingRequest]) -> None:
        """Answer the requests of a job whose record has been committed."""
        job = self.cluster_state.jobs.get(name)
        if record.cancelled:
            log.info("job %s: cancelled by its user", name)
        else:
            spec = record.spec
            log.info("job %s: accepted, %d tasks of %s for %s with %g cores for %g s each", name, spec.tasks,
                     spec.job_class, spec.team, spec.cpus, spec.estimate_s)  # fmt: skip
        for index, entry in enumerate(entries):
            if job is not None:
                self.pending.reply_status(
                    entry, job, 201 if index == 0 and entry.request.kind is RequestKind.SUBMIT else 200
                )
            else:
                self._reply_from_cache(entry)
