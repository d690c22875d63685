"""Handles submissions, polls and cancellations.

A reply never reports anything that is not committed, nor anything older than another controller may have reported:
before a reply is given from the cluster state, a compare-only commit for many jobs at once confirms that it is up to
date. Final records never change and need no confirmation. Requests that cannot be decided now are refused at once.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.admission.window import hash_position
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.events import IncomingRequest, RequestKind
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.users.commit_queue import CommitQueue
from gladecroft.coordination.users.lookups import Lookups
from gladecroft.coordination.users.pending import PendingRequest, PendingRequests
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec

TIMEOUTS = {
    RequestKind.SUBMIT: timedelta(seconds=3),
    RequestKind.CANCEL: timedelta(seconds=3),
    RequestKind.POLL: timedelta(seconds=1.4),
}
RETRY_AFTER_SECONDS = {429: 10, 503: 1}
#: With admission control: the fraction of the pending requests up to which each kind is accepted, so that a burst of
#: submissions leaves capacity for polls, and a burst of polls for cancellations.
QUEUE_FRACTION = {RequestKind.SUBMIT: 0.5, RequestKind.POLL: 0.8, RequestKind.CANCEL: 1.0}
CONFIRM_INTERVAL = timedelta(milliseconds=100)
#: Largest fraction of a controller's request budget that is spent on confirming replies. Each commit confirms many, and
#: even the smallest budget keeps some requests for changes.
CONFIRM_REQUEST_FRACTION = 1 / 3
EXPIRY_INTERVAL = timedelta(milliseconds=100)
#: Pending requests and unfinished jobs that are accepted per MB of a controller's memory limit. Every controller holds
#: all jobs, and a job with its tasks takes several kilobytes.
REQUESTS_PER_MB = 10
JOBS_PER_MB = 30


class UserRequestHandler:
    """Replies to users' requests, or passes them on to be confirmed, committed or looked up first.

    ``check_fit`` returns None if a job fits a machine type, the reason if it fits none, and False if the machine types
    are not known yet.
    """

    def __init__(
        self, context: ControllerContext, membership: Membership, check_fit: Callable[[JobSpec], str | None | bool]
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.pending = PendingRequests(context)
        self._check_fit = check_fit
        #: Gives the seconds after which to repeat the submission of a job whose group is over its quota; None for a job
        #: that is accepted. Unset without admission control.
        self.retry_delay: Callable[[JobSpec], int | None] | None = None
        self._lookups = Lookups(context, self.pending, self._on_lookup)
        self._commit_queue = CommitQueue(
            context, membership, self.pending, self._route, self._lookups.look_up, self._reply_from_cache
        )
        self._to_confirm: dict[str, list[PendingRequest]] = {}
        self._confirm_in_flight = False
        self._confirmed_at = timedelta(days=-1)
        self._expired_at = timedelta(days=-1)

    def queue_lengths(self) -> dict[str, int]:
        """The lengths of the internal queues, as the view of a controller shows them."""
        return {"confirm": len(self._to_confirm), "changes": len(self._commit_queue), "reads": len(self._lookups)}

    def handle(self, request: IncomingRequest) -> None:
        """Reply to a new request, or keep it pending until its job is confirmed, committed or read."""
        context = self.context
        entry = PendingRequest(request, context.now)
        if request.kind is RequestKind.SUBMIT:
            try:
                entry.spec = wire.parse_job(request.body)
                request.job = entry.spec.id
            except ValueError as error:
                # A repeated submission of a known job is never rejected for good, even if it is malformed: if it names
                # a job, the job is looked up first.
                job_id = wire.submitted_job_id(request.body)
                if job_id is None:
                    context.reply_error(request.request_id, 400, str(error))
                    return
                request.job, entry.malformed = job_id, str(error)
        final = self.cluster_state.final_records.get(request.job)
        if final is not None:
            self.pending.reply_final(entry, final)
            return
        if not context.records_loaded:
            context.reply_error(request.request_id, 503, "starting: the records are not read yet", 1)
            return
        if context.state_down():
            context.reply_error(
                request.request_id, 503, "the state service does not answer", self._retry_after(request.job, 2)
            )
            return
        max_requests = (
            REQUESTS_PER_MB
            * context.cluster.limits.memory_mb
            * (QUEUE_FRACTION[request.kind] if self.retry_delay else 1.0)
        )
        if len(self.pending.by_id) >= max_requests:
            context.reply_error(request.request_id, 429, "too many requests wait", self._retry_after(request.job, 3))
            return
        self.pending.by_id[request.request_id] = entry
        self._route(entry)

    def _route(self, entry: PendingRequest) -> None:
        """Queue a request to be confirmed, committed or looked up."""
        request = entry.request
        job = self.cluster_state.jobs.get(request.job)
        if job is not None:
            if request.kind is RequestKind.CANCEL and not job.cancelled:
                self._commit_queue.append(entry)
            else:
                self._to_confirm.setdefault(request.job, []).append(entry)
            return
        if request.kind is RequestKind.SUBMIT:
            spec = entry.spec
            # A job that is known elsewhere may have a spec that is no longer feasible; it is looked up before it is
            # rejected.
            if spec is None or entry.lookups_done == 0 and self._rejection(spec) is not None:
                self._lookups.look_up(entry)
            else:
                self._commit_queue.append(entry)
            return
        self._lookups.look_up(entry)

    def _retry_after(self, job: str, base: int | None) -> int | None:
        """The seconds until a retry, spread so that users who are refused together do not come back together."""
        if self.retry_delay is None or base is None:
            return base
        return base + int(hash_position(self.context.name, job) * (2 * base + 1))

    def _rejection(self, spec: JobSpec) -> tuple[int, str] | None:
        """HTTP status and reason if a new job must not be accepted, else None."""
        infeasible = self.cluster_state.infeasible_reason(spec)
        if infeasible is not None:
            return 422, infeasible
        fit_error = self._check_fit(spec)
        if fit_error is False:
            return 503, "the machine types are not known yet"
        if isinstance(fit_error, str):
            return 422, fit_error
        # Checked last: a job that can never run is rejected as such whatever the load.
        if len(self.cluster_state.jobs) >= JOBS_PER_MB * self.context.cluster.limits.memory_mb:
            return 429, "too many jobs are unfinished"
        if self.retry_delay is not None and self.retry_delay(spec) is not None:
            return 429, f"too many jobs of {spec.team}, {spec.job_class}, are unfinished"
        return None

    def _reply_from_cache(self, entry: PendingRequest) -> bool:
        """Reply from the cluster state, which must be confirmed to be up to date for the job; False if it lacks it."""
        name = entry.request.job
        final = self.cluster_state.final_records.get(name)
        if final is not None:
            self.pending.reply_final(entry, final)
            return True
        job = self.cluster_state.jobs.get(name)
        if job is None:
            return False
        if entry.request.kind is RequestKind.CANCEL and not job.cancelled:
            self._commit_queue.append(entry)
        else:
            self.pending.reply_status(entry, job)
        return True

    def tick(self) -> None:
        """Refuse requests that have timed out, then send confirmations, commits and lookups."""
        context = self.context
        down = context.state_down()
        is_due = context.now - self._expired_at >= EXPIRY_INTERVAL
        if is_due:
            self._expired_at = context.now
        for entry in list(self.pending.by_id.values()) if is_due else ():
            if down:
                retry_after = self._retry_after(entry.request.job, 2)
                self.pending.refuse(entry, 503, "the state service does not answer", retry_after)
            elif context.now - entry.received_at > TIMEOUTS[entry.request.kind]:
                self.pending.refuse(
                    entry, 503, "the state service was too slow", self._retry_after(entry.request.job, 1)
                )
        if not context.records_loaded:
            return
        self._commit_queue.flush()
        self._flush_confirm()
        self._lookups.flush()

    def _flush_confirm(self) -> None:
        """Confirm by one compare-only commit that the records of as many jobs as possible are up to date."""
        context = self.context
        min_interval = context.min_interval(CONFIRM_REQUEST_FRACTION, CONFIRM_INTERVAL)
        if self._confirm_in_flight or not self._to_confirm or context.now - self._confirmed_at < min_interval:
            return
        conditions: list[wire.Condition] = []
        batch: dict[str, list[PendingRequest]] = {}
        for name in list(self._to_confirm):
            if len(batch) >= 4 * self.context.cluster.state.txn_ops:
                break
            entries = [entry for entry in self._to_confirm.pop(name) if self.pending.is_open(entry)]
            job = self.cluster_state.jobs.get(name)
            if not entries:
                continue
            if job is None:
                for entry in entries:
                    if not self._reply_from_cache(entry):
                        self._lookups.look_up(entry)
                continue
            batch[name] = entries
            conditions.append(wire.Condition(rec.job_key(name), job.version))
        if not batch:
            return

        def then(status: int, body: bytes) -> None:
            self._confirm_in_flight = False
            failed: set[str] = set()
            if status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
            elif status != 200:
                self._requeue(batch)
                return
            for name, entries in batch.items():
                # A record that has changed still exists, as job record or as final record; the watch may have delivered
                # the final one by now.
                confirmed = rec.job_key(name) not in failed or name in self.cluster_state.final_records
                for entry in entries:
                    if not confirmed or not self._reply_from_cache(entry):
                        self._lookups.look_up(entry, exists=True)

        # Confirmations take precedence over lookups and changes, so that requests about known jobs are always served.
        if context.call_state("POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), then, reserve=1.0):
            self._confirm_in_flight = True
            self._confirmed_at = context.now
        else:
            self._requeue(batch)

    def _requeue(self, batch: dict[str, list[PendingRequest]]) -> None:
        """Put a batch that was not confirmed back, in front of newer requests; behind them it could wait forever."""
        newer, self._to_confirm = self._to_confirm, batch
        for name, entries in newer.items():
            self._to_confirm.setdefault(name, []).extend(entries)

    def _on_lookup(self, entry: PendingRequest, exists: bool) -> None:
        """Continue with a request whose job has been looked up."""
        if not exists:
            self._on_unknown_job(entry)
        elif not self._reply_from_cache(entry):
            self._lookups.look_up(entry, exists=True)  # changed again, no longer in the cluster state

    def _on_unknown_job(self, entry: PendingRequest) -> None:
        """Reply that the job does not exist, or accept it if the request is a submission."""
        if entry.request.kind is not RequestKind.SUBMIT:
            if self.pending.remove(entry):
                self.context.reply_error(entry.request.request_id, 404, "no such job")
            return
        if entry.spec is None:
            self.pending.refuse(entry, 400, entry.malformed)
            return
        rejection = self._rejection(entry.spec)
        if rejection is not None:
            delay = self.retry_delay(entry.spec) if self.retry_delay is not None and rejection[0] == 429 else None
            retry_after = delay or self._retry_after(entry.spec.id, RETRY_AFTER_SECONDS.get(rejection[0]))
            self.pending.refuse(entry, rejection[0], rejection[1], retry_after)
        else:
            entry.lookups_done += 1
            self._commit_queue.append(entry)
