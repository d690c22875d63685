"""Submissions, polls and cancellations.

Nothing is told before it is committed, and nothing older than what any controller may have told: an answer from
the picture is first confirmed by a compare-only commit (many jobs a request), except final states, which never
change. What can't be decided now is refused at once.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.picture import Job
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.messages import Asked, Verb
from gladecroft.coordination.node import Node
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec, JobStatus, Status

log = logging.getLogger(__name__)

WAIT_LIMIT = {
    Verb.SUBMIT: timedelta(seconds=3),
    Verb.CANCEL: timedelta(seconds=3),
    Verb.POLL: timedelta(seconds=1.4),
}
RETRY_AFTER = {429: 10, 503: 1}
CONFIRM_EVERY = timedelta(milliseconds=100)
#: More than so many submissions and cancellations waiting are a wave.
WAVE = 4
LOOK_EVERY = timedelta(milliseconds=100)
READS_AT_ONCE = 16
#: Requests that may wait, and accepted jobs that may be unfinished, for each MB that a controller may hold. A job
#: with its tasks takes some kilobytes, in every controller.
WAITING_PER_MB = 10
JOBS_PER_MB = 30


class Waiting(msgspec.Struct, eq=False):
    asked: Asked
    since: timedelta
    spec: JobSpec | None = None
    tries: int = 0


class Users:
    def __init__(self, node: Node, membership: Membership, fits: Callable[[JobSpec], str | None | bool]) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self._fits = fits
        self._open: dict[int, Waiting] = {}
        self._confirm: dict[str, list[Waiting]] = {}
        self._changes: deque[Waiting] = deque()
        self._reads: dict[str, list[Waiting]] = {}
        self._reading: set[str] = set()
        self._confirming = False
        self._changing = False
        self._confirmed_at = timedelta(days=-1)
        self._looked_at = timedelta(days=-1)
        self.reason: Callable[[Job], str] = lambda job: ""

    def queue_lengths(self) -> dict[str, int]:
        return {"confirm": len(self._confirm), "changes": len(self._changes), "reads": len(self._reads)}

    # Requests ------------------------------------------------------------------------------------------------

    def asked(self, asked: Asked) -> None:
        node = self.node
        waiting = Waiting(asked, node.now)
        if asked.verb is Verb.SUBMIT:
            try:
                waiting.spec = wire.parse_job(asked.body)
            except ValueError as error:
                node.refuse(asked.number, 400, str(error))
                return
            asked.job = waiting.spec.id
        final = self.picture.finals.get(asked.job)
        if final is not None:
            self._tell_final(waiting, final)
            return
        if not node.loaded:
            node.refuse(asked.number, 503, "starting: the records are not read yet", 1)
            return
        if node.state_down():
            node.refuse(asked.number, 503, "the state service does not answer", 2)
            return
        if len(self._open) >= WAITING_PER_MB * node.cluster.limits.memory_mb:
            node.refuse(asked.number, 429, "too many requests wait", 3)
            return
        self._open[asked.number] = waiting
        self._route(waiting)

    def _route(self, waiting: Waiting) -> None:
        asked = waiting.asked
        job = self.picture.jobs.get(asked.job)
        if job is not None:
            if asked.verb is Verb.CANCEL and not job.cancelled:
                self._changes.append(waiting)
            else:
                self._confirm.setdefault(asked.job, []).append(waiting)
            return
        if asked.verb is Verb.SUBMIT:
            spec = waiting.spec
            assert spec is not None
            # A known job may have a spec that no longer fits; so it is looked up before it is judged.
            if waiting.tries == 0 and self._judge(spec) is not None:
                self._read(waiting)
            else:
                self._changes.append(waiting)
            return
        self._read(waiting)

    def _judge(self, spec: JobSpec) -> tuple[int, str] | None:
        never = self.picture.never_runs(spec)
        if never is not None:
            return 422, never
        if len(self.picture.jobs) >= JOBS_PER_MB * self.node.cluster.limits.memory_mb:
            return 429, "too many jobs are unfinished"
        fits = self._fits(spec)
        if fits is False:
            return 503, "the machine types are not known yet"
        if isinstance(fits, str):
            return 422, fits
        return None

    # Answers -------------------------------------------------------------------------------------------------

    def _close(self, waiting: Waiting) -> bool:
        return self._open.pop(waiting.asked.number, None) is not None

    def _refuse(self, waiting: Waiting, status: int, why: str, retry_after: int | None = None) -> None:
        if self._close(waiting):
            log.info("%s %s refused with %d: %s", waiting.asked.verb.value, waiting.asked.job, status, why)
            self.node.refuse(waiting.asked.number, status, why, retry_after)

    def _tell_final(self, waiting: Waiting, final: rec.FinalRecord) -> None:
        self._open.pop(waiting.asked.number, None)
        state = Status.DONE if final.done else Status.CANCELLED
        answer = JobStatus(waiting.asked.job, state)
        if waiting.asked.verb is Verb.POLL:
            answer.done, answer.running = final.tasks, 0
            if final.reason:
                answer.reason = final.reason
        self.node.reply(waiting.asked.number, 200, wire.encode(answer))

    def _tell(self, waiting: Waiting, job: Job, status: int = 200) -> None:
        if not self._close(waiting):
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

    def _tell_known(self, waiting: Waiting) -> bool:
        """Answer from the picture, which has just been shown to be up to date for this job."""
        name = waiting.asked.job
        final = self.picture.finals.get(name)
        if final is not None:
            self._tell_final(waiting, final)
            return True
        job = self.picture.jobs.get(name)
        if job is None:
            return False
        if waiting.asked.verb is Verb.CANCEL and not job.cancelled:
            self._changes.append(waiting)
        else:
            self._tell(waiting, job)
        return True

    # Work ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        node = self.node
        down = node.state_down()
        look = node.now - self._looked_at >= LOOK_EVERY
        if look:
            self._looked_at = node.now
        for waiting in list(self._open.values()) if look else ():
            if down:
                self._refuse(waiting, 503, "the state service does not answer", 2)
            elif node.now - waiting.since > WAIT_LIMIT[waiting.asked.verb]:
                self._refuse(waiting, 503, "the state service was too slow", 1)
        if not node.loaded:
            return
        self._flush_changes()
        self._flush_confirm()
        self._flush_reads()

    def _alive(self, waiting: Waiting) -> bool:
        return waiting.asked.number in self._open

    def _flush_confirm(self) -> None:
        node = self.node
        if self._confirming or not self._confirm or node.now - self._confirmed_at < CONFIRM_EVERY:
            return
        conditions: list[wire.Condition] = []
        batch: dict[str, list[Waiting]] = {}
        for name in list(self._confirm):
            if len(batch) >= 4 * self.node.cluster.state.txn_ops:
                break
            group = [waiting for waiting in self._confirm.pop(name) if self._alive(waiting)]
            job = self.picture.jobs.get(name)
            if not group:
                continue
            if job is None:
                for waiting in group:
                    if not self._tell_known(waiting):
                        self._read(waiting)
                continue
            batch[name] = group
            conditions.append(wire.Condition(rec.job_key(name), job.version))
        if not batch:
            return

        def then(status: int, body: bytes) -> None:
            self._confirming = False
            failed: set[str] = set()
            if status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
            elif status != 200:
                for name, group in batch.items():
                    self._confirm.setdefault(name, []).extend(group)
                return
            for name, group in batch.items():
                for waiting in group:
                    if rec.job_key(name) in failed or not self._tell_known(waiting):
                        self._read(waiting)

        if node.state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), then):
            self._confirming = True
            self._confirmed_at = node.now
        else:
            self._confirm.update(batch)

    def _read(self, waiting: Waiting) -> None:
        self._reads.setdefault(waiting.asked.job, []).append(waiting)
        self._flush_reads()

    def _flush_reads(self) -> None:
        for name in list(self._reads):
            if len(self._reading) >= READS_AT_ONCE:
                return
            if name in self._reading:
                continue
            if not self._start_read(name):
                return

    def _start_read(self, name: str) -> bool:
        """Read the job's record, then its final record: a job goes from the first to the second, never back."""
        node = self.node

        def finish(known: bool) -> None:
            self._reading.discard(name)
            for waiting in self._reads.pop(name, []):
                if not self._alive(waiting):
                    continue
                if known and self._tell_known(waiting):
                    continue
                self._unknown(waiting)

        def retry() -> None:
            self._reading.discard(name)

        def live(status: int, body: bytes) -> None:
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.apply(item.key, item.value, item.version)
                finish(True)
            elif status == 404:
                self.picture.apply(rec.job_key(name), None, wire.decode(wire.Missing, body).revision)
                if not node.state("GET", wire.key_path(rec.final_key(name)), None, final, urgent=True):
                    retry()
            else:
                retry()

        def final(status: int, body: bytes) -> None:
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.note_final(name, wire.decode(rec.FinalRecord, bytes(item.value)))
                finish(True)
            elif status == 404:
                finish(False)
            else:
                retry()

        if not node.state("GET", wire.key_path(rec.job_key(name)), None, live):
            return False
        self._reading.add(name)
        return True

    def _unknown(self, waiting: Waiting) -> None:
        """The store has no such job."""
        if waiting.asked.verb is not Verb.SUBMIT:
            if self._close(waiting):
                self.node.refuse(waiting.asked.number, 404, "no such job")
            return
        assert waiting.spec is not None
        verdict = self._judge(waiting.spec)
        if verdict is not None:
            self._refuse(waiting, verdict[0], verdict[1], RETRY_AFTER.get(verdict[0]))
        else:
            waiting.tries += 1
            self._changes.append(waiting)

    def _flush_changes(self) -> None:
        """Commit a batch of acceptances and cancellations."""
        node = self.node
        # Single submissions are taken at once. A wave takes turns with placing: without that it kept all that was
        # accepted from being placed.
        wave = len(self._changes) > WAVE
        node.users_want = wave
        if self._changing or not self._changes:
            return
        few = node.writes.look(node.now) < min(WAVE, node.writes.burst)
        if wave and (few or node.ledger_wants and node.ledgers_turn):
            return
        ops_limit = min(node.cluster.state.txn_ops, max(1, int(node.writes.look(node.now))))
        conditions = {rec.EPOCH: self.picture.version(rec.EPOCH)}
        batch: dict[str, tuple[rec.JobRecord, list[Waiting]]] = {}
        ops: list[wire.Put] = []
        size = 300
        while self._changes and len(ops) < ops_limit and len(conditions) + 2 <= 4 * node.cluster.state.txn_ops:
            waiting = self._changes[0]
            name = waiting.asked.job
            job = self.picture.jobs.get(name)
            if not self._alive(waiting):
                self._changes.popleft()
                continue
            if name in batch:
                if waiting.asked.verb is not Verb.SUBMIT or batch[name][0].cancelled:
                    break
                self._changes.popleft()
                batch[name][1].append(waiting)
                continue
            if waiting.asked.verb is Verb.SUBMIT:
                if job is not None or name in self.picture.finals:
                    self._changes.popleft()
                    self._route(waiting) if job is not None else self._tell_known(waiting)
                    continue
                assert waiting.spec is not None
                record = rec.JobRecord(waiting.spec, int(node.wall.timestamp() * 1000))
                versions = {rec.job_key(name): 0, rec.final_key(name): 0}
            else:
                if job is None or job.cancelled:
                    self._changes.popleft()
                    self._route(waiting) if name not in self.picture.finals else self._tell_known(waiting)
                    continue
                record = rec.JobRecord(job.spec, job.record.accepted_ms, True)
                versions = {rec.job_key(name): job.version}
            value = msgspec.json.encode(record)
            size += len(value) + 300
            if size > 60_000 and ops:
                break
            self._changes.popleft()
            conditions.update(versions)
            ops.append(wire.Put(rec.job_key(name), msgspec.Raw(value)))
            batch[name] = (record, [waiting])
        if not ops:
            return
        body = wire.encode(wire.Txn([wire.Condition(*pair) for pair in conditions.items()], list(ops)))

        def put_back() -> None:
            for _, group in reversed(list(batch.values())):
                self._changes.extendleft(reversed([waiting for waiting in group if self._alive(waiting)]))

        def then(status: int, body: bytes) -> None:
            self._changing = False
            node.spend("accepted or cancelled" if status == 200 else f"refused ({status})", len(ops))
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                for op in ops:
                    self.picture.apply(op.key, op.value, revision)
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

        if node.state("POST", wire.COMMIT_PATH, body, then, writes=len(ops)):
            self._changing = True
            node.ledgers_turn = True
        else:
            put_back()

    def _committed(self, name: str, record: rec.JobRecord, group: list[Waiting]) -> None:
        job = self.picture.jobs.get(name)
        if record.cancelled:
            log.info("job %s: cancelled by its user", name)
        else:
            log.info("job %s: accepted, %d tasks of %s for %s", name, record.spec.tasks, record.spec.job_class,
                     record.spec.team)  # fmt: skip
        for index, waiting in enumerate(group):
            if job is not None:
                self._tell(waiting, job, 201 if index == 0 and waiting.asked.verb is Verb.SUBMIT else 200)
            else:
                self._tell_known(waiting)
