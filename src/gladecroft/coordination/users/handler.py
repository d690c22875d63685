"""Submissions, polls and cancellations.

Nothing is told before it is committed, and nothing older than what any controller may have told: an answer from
the picture is first confirmed by a compare-only commit (many jobs a request), except final states, which never
change. What can't be decided now is refused at once.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.admission.window import position
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest, RequestKind
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.users.commit_queue import CommitQueue
from gladecroft.coordination.users.lookups import Lookups
from gladecroft.coordination.users.pending import PendingRequest, PendingRequests
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec

WAIT_LIMIT = {
    RequestKind.SUBMIT: timedelta(seconds=3),
    RequestKind.CANCEL: timedelta(seconds=3),
    RequestKind.POLL: timedelta(seconds=1.4),
}
RETRY_AFTER = {429: 10, 503: 1}
#: What part of all requests that may wait each kind may take up, if shares are agreed: a flood of submissions leaves
#: room for polls, and one of polls for cancellations.
OPEN_TO = {RequestKind.SUBMIT: 0.5, RequestKind.POLL: 0.8, RequestKind.CANCEL: 1.0}
CONFIRM_EVERY = timedelta(milliseconds=100)
#: At most this part of a controller's requests confirms answers; each confirms many. So even the smallest budget has
#: some left for what must be changed.
CONFIRMS = 1 / 3
LOOK_EVERY = timedelta(milliseconds=100)
#: Requests that may wait, and accepted jobs that may be unfinished, for each MB that a controller may hold. A job
#: with its tasks takes some kilobytes, in every controller.
WAITING_PER_MB = 10
JOBS_PER_MB = 30


class UserRequestHandler:
    def __init__(
        self, context: ControllerContext, membership: Membership, fits: Callable[[JobSpec], str | None | bool]
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.pending = PendingRequests(context)
        self._fits = fits
        #: After how many seconds a new job is to be submitted again for which there is no room in its group (None: it
        #: is taken); None: shares are not agreed on at all.
        self.retry_delay: Callable[[JobSpec], int | None] | None = None
        self._lookups = Lookups(context, self.pending, self._found)
        self._changes = CommitQueue(
            context, membership, self.pending, self._route, self._lookups.look_up, self._reply_from_cache
        )
        self._to_confirm: dict[str, list[PendingRequest]] = {}
        self._confirming = False
        self._confirmed_at = timedelta(days=-1)
        self._looked_at = timedelta(days=-1)

    def queue_lengths(self) -> dict[str, int]:
        return {"confirm": len(self._to_confirm), "changes": len(self._changes), "reads": len(self._lookups)}

    def handle(self, request: IncomingRequest) -> None:
        context = self.context
        waiting = PendingRequest(request, context.now)
        if request.kind is RequestKind.SUBMIT:
            try:
                waiting.spec = wire.parse_job(request.body)
                request.job = waiting.spec.id
            except ValueError as error:
                # A repeated submission of a known job is never refused for good, whatever it looks like: so one that
                # names a job is looked up first.
                named = wire.submitted_job_id(request.body)
                if named is None:
                    context.reply_error(request.request_id, 400, str(error))
                    return
                request.job, waiting.malformed = named, str(error)
        final = self.cluster_state.final_records.get(request.job)
        if final is not None:
            self.pending.tell_final(waiting, final)
            return
        if not context.records_loaded:
            context.reply_error(request.request_id, 503, "starting: the records are not read yet", 1)
            return
        if context.state_down():
            context.reply_error(
                request.request_id, 503, "the state service does not answer", self._retry_after(request.job, 2)
            )
            return
        most = WAITING_PER_MB * context.cluster.limits.memory_mb * (OPEN_TO[request.kind] if self.retry_delay else 1.0)
        if len(self.pending.open) >= most:
            context.reply_error(request.request_id, 429, "too many requests wait", self._retry_after(request.job, 3))
            return
        self.pending.open[request.request_id] = waiting
        self._route(waiting)

    def _route(self, waiting: PendingRequest) -> None:
        request = waiting.request
        job = self.cluster_state.jobs.get(request.job)
        if job is not None:
            if request.kind is RequestKind.CANCEL and not job.cancelled:
                self._changes.append(waiting)
            else:
                self._to_confirm.setdefault(request.job, []).append(waiting)
            return
        if request.kind is RequestKind.SUBMIT:
            spec = waiting.spec
            # A known job may have a spec that no longer fits; so it is looked up before it is judged.
            if spec is None or waiting.tries == 0 and self._judge(spec) is not None:
                self._lookups.look_up(waiting)
            else:
                self._changes.append(waiting)
            return
        self._lookups.look_up(waiting)

    def _retry_after(self, job: str, usual: int | None) -> int | None:
        """Spread, so that those who are refused together do not come back together."""
        if self.retry_delay is None or usual is None:
            return usual
        return usual + int(position(self.context.name, job) * (2 * usual + 1))

    def _judge(self, spec: JobSpec) -> tuple[int, str] | None:
        never = self.cluster_state.infeasible_reason(spec)
        if never is not None:
            return 422, never
        fits = self._fits(spec)
        if fits is False:
            return 503, "the machine types are not known yet"
        if isinstance(fits, str):
            return 422, fits
        # What can never run is told so, whatever the load.
        if len(self.cluster_state.jobs) >= JOBS_PER_MB * self.context.cluster.limits.memory_mb:
            return 429, "too many jobs are unfinished"
        if self.retry_delay is not None and self.retry_delay(spec) is not None:
            return 429, f"too many jobs of {spec.team}, {spec.job_class}, are unfinished"
        return None

    def _reply_from_cache(self, waiting: PendingRequest) -> bool:
        """Answer from the picture, which has just been shown to be up to date for this job."""
        name = waiting.request.job
        final = self.cluster_state.final_records.get(name)
        if final is not None:
            self.pending.tell_final(waiting, final)
            return True
        job = self.cluster_state.jobs.get(name)
        if job is None:
            return False
        if waiting.request.kind is RequestKind.CANCEL and not job.cancelled:
            self._changes.append(waiting)
        else:
            self.pending.tell(waiting, job)
        return True

    def tick(self) -> None:
        context = self.context
        down = context.state_down()
        look = context.now - self._looked_at >= LOOK_EVERY
        if look:
            self._looked_at = context.now
        for waiting in list(self.pending.open.values()) if look else ():
            if down:
                after = self._retry_after(waiting.request.job, 2)
                self.pending.refuse(waiting, 503, "the state service does not answer", after)
            elif context.now - waiting.since > WAIT_LIMIT[waiting.request.kind]:
                self.pending.refuse(
                    waiting, 503, "the state service was too slow", self._retry_after(waiting.request.job, 1)
                )
        if not context.records_loaded:
            return
        self._changes.flush()
        self._flush_confirm()
        self._lookups.flush()

    def _flush_confirm(self) -> None:
        context = self.context
        pause = context.min_interval(CONFIRMS, CONFIRM_EVERY)
        if self._confirming or not self._to_confirm or context.now - self._confirmed_at < pause:
            return
        conditions: list[wire.Condition] = []
        batch: dict[str, list[PendingRequest]] = {}
        for name in list(self._to_confirm):
            if len(batch) >= 4 * self.context.cluster.state.txn_ops:
                break
            group = [waiting for waiting in self._to_confirm.pop(name) if self.pending.is_open(waiting)]
            job = self.cluster_state.jobs.get(name)
            if not group:
                continue
            if job is None:
                for waiting in group:
                    if not self._reply_from_cache(waiting):
                        self._lookups.look_up(waiting)
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
                self._put_back(batch)
                return
            for name, group in batch.items():
                # What has changed is there still, live or final; the watch may have brought its final state by now.
                known = rec.job_key(name) not in failed or name in self.cluster_state.final_records
                for waiting in group:
                    if not known or not self._reply_from_cache(waiting):
                        self._lookups.look_up(waiting, exists=True)

        # Before lookups and what is to be changed: those who ask about known jobs are served whatever else is asked
        # for.
        if context.call_state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), then, reserve=1.0):
            self._confirming = True
            self._confirmed_at = context.now
        else:
            self._put_back(batch)

    def _put_back(self, batch: dict[str, list[PendingRequest]]) -> None:
        """What could not be confirmed comes first the next time: put behind what has come since, it could wait for
        ever."""
        later, self._to_confirm = self._to_confirm, batch
        for name, group in later.items():
            self._to_confirm.setdefault(name, []).extend(group)

    def _found(self, waiting: PendingRequest, known: bool) -> None:
        """A job's records have been read."""
        if not known:
            self._unknown(waiting)
        elif not self._reply_from_cache(waiting):
            self._lookups.look_up(
                waiting, exists=True
            )  # it has changed again since, and the picture no longer holds it

    def _unknown(self, waiting: PendingRequest) -> None:
        """The store has no such job."""
        if waiting.request.kind is not RequestKind.SUBMIT:
            if self.pending.close(waiting):
                self.context.reply_error(waiting.request.request_id, 404, "no such job")
            return
        if waiting.spec is None:
            self.pending.refuse(waiting, 400, waiting.malformed)
            return
        verdict = self._judge(waiting.spec)
        if verdict is not None:
            turn = self.retry_delay(waiting.spec) if self.retry_delay is not None and verdict[0] == 429 else None
            after = turn or self._retry_after(waiting.spec.id, RETRY_AFTER.get(verdict[0]))
            self.pending.refuse(waiting, verdict[0], verdict[1], after)
        else:
            waiting.tries += 1
            self._changes.append(waiting)
