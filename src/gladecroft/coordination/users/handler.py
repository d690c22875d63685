"""Handles submissions, polls and cancellations.

A reply reflects only committed state, and no older state than another controller may have reported: before a request
for a known job is answered from the cluster state, a compare-only commit (conditions without writes) for many jobs
together confirms that the cluster state is up to date. Final records never change and need no confirmation. Requests
for jobs without a known final record are rejected at once while the records are not loaded, the state service is down
or too many requests are pending.
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
#: Default delay before a rejected submission is retried, by HTTP status; admission control may set another for 429.
SUBMIT_RETRY_AFTER_SECONDS = {429: 10, 503: 1}
#: With admission control: each kind of request is accepted while the number of pending requests is below this fraction
#: of its maximum. A burst of submissions thus leaves capacity for polls, and a burst of polls for cancellations.
MAX_PENDING_FRACTION = {RequestKind.SUBMIT: 0.5, RequestKind.POLL: 0.8, RequestKind.CANCEL: 1.0}
CONFIRM_INTERVAL = timedelta(milliseconds=100)
#: Largest fraction of a controller's request budget that is spent on confirmations. Each confirmation covers many jobs,
#: and with even the smallest budget some requests are left for writes.
CONFIRM_REQUEST_FRACTION = 1 / 3
EXPIRY_INTERVAL = timedelta(milliseconds=100)
#: Maximum pending requests and maximum unfinished jobs per MB of a controller's memory limit. Every controller keeps
#: all jobs in memory, and a job with its tasks takes several kilobytes.
REQUESTS_PER_MB = 10
JOBS_PER_MB = 30


class UserRequestHandler:
    """Replies to users' requests, or queues them to be confirmed, committed or looked up first.

    ``check_fit`` returns None if a job fits a machine type, the reason if it fits no machine type, and False if the
    machine types are not known yet.
    """

    def __init__(
        self, context: ControllerContext, membership: Membership, check_fit: Callable[[JobSpec], str | None | bool]
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.pending = PendingRequests(context)
        self._check_fit = check_fit
        #: Returns None for a job that admission control accepts, else the seconds after which to retry the submission.
        #: The attribute is None without admission control.
        self.retry_delay: Callable[[JobSpec], int | None] | None = None
        self._lookups = Lookups(context, self.pending, self._on_lookup)
        self._commit_queue = CommitQueue(
            context, membership, self.pending, self._route, self._lookups.look_up, self._reply_from_cache
        )
        self._to_confirm: dict[str, list[PendingRequest]] = {}
        self._confirm_in_flight = False
        self._last_confirm_sent_at = timedelta(days=-1)
        self._last_expiry_at = timedelta(days=-1)

    def queue_lengths(self) -> dict[str, int]:
        """Return the numbers of jobs to confirm, of requests to commit and of jobs to look up, for the status view."""
        return {"confirm": len(self._to_confirm), "changes": len(self._commit_queue), "reads": len(self._lookups)}

    def handle(self, request: IncomingRequest) -> None:
        """Reply to a new request, or keep it pending until its job's state is confirmed, committed or looked up."""
        context = self.context
        entry = PendingRequest(request, context.now)
        if request.kind is RequestKind.SUBMIT:
            try:
                entry.spec = wire.parse_job(request.body)
                request.job_id = entry.spec.id
            except ValueError as error:
                # A repeated submission of a known job is never rejected with a permanent error, even if it is
                # malformed: if it contains a valid job id, the job is looked up first.
                job_id = wire.submitted_job_id(request.body)
                if job_id is None:
                    context.reply_error(request.request_id, 400, str(error))
                    return
                request.job_id, entry.parse_error = job_id, str(error)
        final = self.cluster_state.final_records.get(request.job_id)
        if final is not None:
            self.pending.reply_final(entry, final)
            return
        if not context.records_loaded:
            context.reply_error(request.request_id, 503, "starting: the records are not read yet", 1)
            return
        if context.state_down():
            context.reply_error(
                request.request_id, 503, "the state service does not answer", self._retry_after(request.job_id, 2)
            )
            return
        max_requests = (
            REQUESTS_PER_MB
            * context.cluster.limits.memory_mb
            * (MAX_PENDING_FRACTION[request.kind] if self.retry_delay else 1.0)
        )
        if len(self.pending.by_id) >= max_requests:
            context.reply_error(request.request_id, 429, "too many requests wait", self._retry_after(request.job_id, 3))
            return
        self.pending.by_id[request.request_id] = entry
        self._route(entry)

    def _route(self, entry: PendingRequest) -> None:
        """Queue a request to be confirmed, committed or looked up."""
        request = entry.request
        job = self.cluster_state.jobs.get(request.job_id)
        if job is not None:
            if request.kind is RequestKind.CANCEL and not job.cancelled:
                self._commit_queue.append(entry)
            else:
                self._to_confirm.setdefault(request.job_id, []).append(entry)
            return
        if request.kind is RequestKind.SUBMIT:
            spec = entry.spec
            # Another controller may have accepted the job although this one would reject it as a new job, so it is
            # looked up before it is rejected.
            if spec is None or entry.not_found_count == 0 and self._rejection(spec) is not None:
                self._lookups.look_up(entry)
            else:
                self._commit_queue.append(entry)
            return
        self._lookups.look_up(entry)

    def _retry_after(self, job_id: str, base_s: int | None) -> int | None:
        """Return the seconds until a retry.

        With admission control, they are spread so that users who are rejected together do not retry together.
        """
        if self.retry_delay is None or base_s is None:
            return base_s
        return base_s + int(hash_position(self.context.name, job_id) * (2 * base_s + 1))

    def _rejection(self, spec: JobSpec) -> tuple[int, str] | None:
        """Return the HTTP status and the reason if a new job must not be accepted, else None."""
        infeasible = self.cluster_state.infeasible_reason(spec)
        if infeasible is not None:
            return 422, infeasible
        fit_error = self._check_fit(spec)
        if fit_error is False:
            return 503, "the machine types are not known yet"
        if isinstance(fit_error, str):
            return 422, fit_error
        # Load limits are checked last: a job that can never run is rejected permanently, whatever the load.
        if len(self.cluster_state.jobs) >= JOBS_PER_MB * self.context.cluster.limits.memory_mb:
            return 429, "too many jobs are unfinished"
        if self.retry_delay is not None and self.retry_delay(spec) is not None:
            return 429, f"too many jobs of {spec.team}, {spec.job_class}, are unfinished"
        return None

    def _reply_from_cache(self, entry: PendingRequest) -> bool:
        """Reply from the cluster state, or queue the commit if the request cancels an active job.

        The cluster state must be confirmed to be up to date for the job. Returns False if it contains neither the job
        nor its final record.
        """
        job_id = entry.request.job_id
        final = self.cluster_state.final_records.get(job_id)
        if final is not None:
            self.pending.reply_final(entry, final)
            return True
        job = self.cluster_state.jobs.get(job_id)
        if job is None:
            return False
        if entry.request.kind is RequestKind.CANCEL and not job.cancelled:
            self._commit_queue.append(entry)
        else:
            self.pending.reply_status(entry, job)
        return True

    def tick(self) -> None:
        """Reject requests that have timed out, then send commits, confirmations and lookups.

        While the state service is down, all pending requests are rejected.
        """
        context = self.context
        state_is_down = context.state_down()
        expiry_is_due = context.now - self._last_expiry_at >= EXPIRY_INTERVAL
        if expiry_is_due:
            self._last_expiry_at = context.now
        for entry in list(self.pending.by_id.values()) if expiry_is_due else ():
            if state_is_down:
                retry_after_s = self._retry_after(entry.request.job_id, 2)
                self.pending.reject(entry, 503, "the state service does not answer", retry_after_s)
            elif context.now - entry.received_at > TIMEOUTS[entry.request.kind]:
                self.pending.reject(
                    entry, 503, "the state service was too slow", self._retry_after(entry.request.job_id, 1)
                )
        if not context.records_loaded:
            return
        self._commit_queue.flush()
        self._flush_confirm()
        self._lookups.flush()

    def _flush_confirm(self) -> None:
        """Confirm by one compare-only commit, for as many jobs as possible, that the cluster state is up to date."""
        context = self.context
        min_interval = context.min_interval(CONFIRM_REQUEST_FRACTION, CONFIRM_INTERVAL)
        if self._confirm_in_flight or not self._to_confirm or context.now - self._last_confirm_sent_at < min_interval:
            return
        conditions: list[wire.Condition] = []
        batch: dict[str, list[PendingRequest]] = {}
        for job_id in list(self._to_confirm):
            if len(batch) >= 4 * self.context.cluster.state.txn_ops:
                break
            entries = [entry for entry in self._to_confirm.pop(job_id) if self.pending.is_open(entry)]
            job = self.cluster_state.jobs.get(job_id)
            if not entries:
                continue
            if job is None:
                for entry in entries:
                    if not self._reply_from_cache(entry):
                        self._lookups.look_up(entry)
                continue
            batch[job_id] = entries
            conditions.append(wire.Condition(rec.job_key(job_id), job.version))
        if not batch:
            return

        def on_confirm_result(status: int, body: bytes) -> None:
            self._confirm_in_flight = False
            failed: set[str] = set()
            if status == 409:
                failed = set(wire.decode(wire.TxnReply, body).failed)
            elif status != 200:
                self._requeue(batch)
                return
            for job_id, entries in batch.items():
                # If the job record has changed, the job still exists, as a job record or as a final record. The watch
                # may have delivered the final record by now.
                can_reply = rec.job_key(job_id) not in failed or job_id in self.cluster_state.final_records
                for entry in entries:
                    if not can_reply or not self._reply_from_cache(entry):
                        self._lookups.look_up(entry, known_to_exist=True)

        # Confirmations may use all but one request of the budget. Lookups and commits must leave more, unless the
        # budget is very small, so that they do not hold up requests for known jobs.
        if context.call_state(
            "POST", wire.COMMIT_PATH, wire.encode(wire.Txn(conditions)), on_confirm_result, reserve=1.0
        ):
            self._confirm_in_flight = True
            self._last_confirm_sent_at = context.now
        else:
            self._requeue(batch)

    def _requeue(self, batch: dict[str, list[PendingRequest]]) -> None:
        """Put a batch that was not confirmed back in front of newer requests; behind them it could wait forever."""
        newer, self._to_confirm = self._to_confirm, batch
        for job_id, entries in newer.items():
            self._to_confirm.setdefault(job_id, []).extend(entries)

    def _on_lookup(self, entry: PendingRequest, exists: bool) -> None:
        """Continue with a request whose job has been looked up."""
        if not exists:
            self._on_unknown_job(entry)
        elif not self._reply_from_cache(entry):
            self._lookups.look_up(entry, known_to_exist=True)  # its job record has been replaced by a final record

    def _on_unknown_job(self, entry: PendingRequest) -> None:
        """Reply that the job does not exist; if the request is a submission, queue its commit or reject it."""
        if entry.request.kind is not RequestKind.SUBMIT:
            if self.pending.remove(entry):
                self.context.reply_error(entry.request.request_id, 404, "no such job")
            return
        if entry.spec is None:
            self.pending.reject(entry, 400, entry.parse_error)
            return
        rejection = self._rejection(entry.spec)
        if rejection is not None:
            delay_s = self.retry_delay(entry.spec) if self.retry_delay is not None and rejection[0] == 429 else None
            retry_after_s = delay_s or self._retry_after(entry.spec.id, SUBMIT_RETRY_AFTER_SECONDS.get(rejection[0]))
            self.pending.reject(entry, rejection[0], rejection[1], retry_after_s)
        else:
            entry.not_found_count += 1
            self._commit_queue.append(entry)
