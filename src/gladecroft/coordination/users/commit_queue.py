"""Commits acceptances and cancellations, many at a time."""

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

#: More than so many submissions and cancellations waiting are a wave.
WAVE = 4


class CommitQueue:
    """``route`` takes a request on again, ``read`` has its job read, ``tell_known`` answers it from the picture."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        pending: PendingRequests,
        route: Callable[[PendingRequest], None],
        read: Callable[[PendingRequest], None],
        tell_known: Callable[[PendingRequest], bool],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.pending = pending
        self._route = route
        self._read = read
        self._tell_known = tell_known
        self._waiting: deque[PendingRequest] = deque()
        self._changing = False

    def __len__(self) -> int:
        return len(self._waiting)

    def append(self, waiting: PendingRequest) -> None:
        self._waiting.append(waiting)

    def flush(self) -> None:
        """Commit a batch of acceptances and cancellations."""
        context = self.context
        # Single submissions are taken at once. A wave takes turns with placing: without that it kept all that was
        # accepted from being placed.
        wave = len(self._waiting) > WAVE
        context.users_need_writes = wave
        if self._changing or not self._waiting:
            return
        few = context.state_writes.available(context.now) < min(WAVE, context.state_writes.burst)
        if wave and (few or context.state_writer_needs_writes and context.state_writer_first):
            return
        ops_limit = min(context.cluster.state.txn_ops, max(1, int(context.state_writes.available(context.now))))
        conditions = {rec.EPOCH: self.cluster_state.version(rec.EPOCH)}
        batch: dict[str, tuple[rec.JobRecord, list[PendingRequest]]] = {}
        ops: list[wire.Put] = []
        size = 300
        while self._waiting and len(ops) < ops_limit and len(conditions) + 2 <= 4 * context.cluster.state.txn_ops:
            waiting = self._waiting[0]
            name = waiting.request.job
            job = self.cluster_state.jobs.get(name)
            if not self.pending.is_open(waiting):
                self._waiting.popleft()
                continue
            if name in batch:
                if waiting.request.kind is not RequestKind.SUBMIT or batch[name][0].cancelled:
                    break
                self._waiting.popleft()
                batch[name][1].append(waiting)
                continue
            if waiting.request.kind is RequestKind.SUBMIT:
                if job is not None or name in self.cluster_state.final_records:
                    self._waiting.popleft()
                    self._route(waiting) if job is not None else self._tell_known(waiting)
                    continue
                assert waiting.spec is not None
                record = rec.JobRecord(waiting.spec, int(context.wall_time.timestamp() * 1000))
                versions = {rec.job_key(name): 0, rec.final_key(name): 0}
            else:
                if job is None or job.cancelled:
                    self._waiting.popleft()
                    self._route(waiting) if name not in self.cluster_state.final_records else self._tell_known(waiting)
                    continue
                record = rec.JobRecord(job.spec, job.record.accepted_ms, True)
                versions = {rec.job_key(name): job.version}
            value = msgspec.json.encode(record)
            size += len(value) + 300
            if size > 60_000 and ops:
                break
            self._waiting.popleft()
            conditions.update(versions)
            ops.append(wire.Put(rec.job_key(name), msgspec.Raw(value)))
            batch[name] = (record, [waiting])
        if not ops:
            return
        body = wire.encode(wire.Txn([wire.Condition(*pair) for pair in conditions.items()], list(ops)))

        def put_back() -> None:
            for _, group in reversed(list(batch.values())):
                self._waiting.extendleft(reversed([waiting for waiting in group if self.pending.is_open(waiting)]))

        def then(status: int, body: bytes) -> None:
            self._changing = False
            context.count_writes("accepted or cancelled" if status == 200 else f"refused ({status})", len(ops))
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                for op in ops:
                    self.cluster_state.apply(op.key, op.value, revision)
                for name, (record, group) in batch.items():
                    self._committed(name, record, group)
            elif status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
                for name in list(batch):
                    if rec.job_key(name) in failed or rec.final_key(name) in failed:
                        for waiting in batch.pop(name)[1]:
                            self._read(waiting)
                put_back()
                if rec.EPOCH in failed:
                    self.membership.refresh_epoch()
            elif status in (-1, 429, 503):
                put_back()
            else:
                # Unknown outcome: what the store has now decides; a job not there may still come later.
                for _, group in batch.values():
                    for waiting in group:
                        self._read(waiting)

        if context.call_state("POST", wire.COMMIT_PATH, body, then, writes=len(ops)):
            self._changing = True
            context.state_writer_first = True
        else:
            put_back()

    def _committed(self, name: str, record: rec.JobRecord, group: list[PendingRequest]) -> None:
        job = self.cluster_state.jobs.get(name)
        if record.cancelled:
            log.info("job %s: cancelled by its user", name)
        else:
            spec = record.spec
            log.info("job %s: accepted, %d tasks of %s for %s with %g cores for %g s each", name, spec.tasks,
                     spec.job_class, spec.team, spec.cpus, spec.estimate_s)  # fmt: skip
        for index, waiting in enumerate(group):
            if job is not None:
                self.pending.tell(
                    waiting, job, 201 if index == 0 and waiting.request.kind is RequestKind.SUBMIT else 200
                )
            else:
                self._tell_known(waiting)
