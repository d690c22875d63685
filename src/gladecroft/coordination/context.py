"""Context shared by the components of a controller: time, outgoing calls, token buckets and the cluster state."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

import msgspec

from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.coordination.events import Effect, IncomingRequest, OutgoingCall, Reply, Target
from gladecroft.policies import PolicyEngine, build_policy_engine
from gladecroft.protocol.settings import MAX_CLOCK_DRIFT, OperatorSettings, PlatformSettings, member_ttl
from gladecroft.protocol.wire import ErrorReply, KeyNotFound, KeyValue, decode, encode

log = logging.getLogger(__name__)

MessageT = TypeVar("MessageT")
ResultHandler = Callable[[int, bytes], None]

ZERO = timedelta()
STATE_TIMEOUT = timedelta(seconds=1.2)
CLOUD_TIMEOUT = timedelta(seconds=6)
WORKER_TIMEOUT = timedelta(seconds=2)
PEER_TIMEOUT = timedelta(seconds=1)
#: Delay before a failed request is sent again.
RETRY_DELAY = timedelta(seconds=0.4)
#: Fraction of the write budget that is divided evenly among the controllers. The rest is divided in proportion to the
#: queued and running work of which each controller is the home controller.
EVEN_WRITE_SHARE = 0.4
#: Unless a request was rate-limited recently, a controller may write at this multiple of its share.
WRITE_BORROW_FACTOR = 1.7
#: A controller keeps to its share for this long after the state service has rate-limited one of its requests.
WRITE_BORROW_BACKOFF = timedelta(seconds=10)
USAGE_LOG_INTERVAL = timedelta(seconds=30)
#: Upper bound on the ratio between the rates of two monotonic clocks, each of which may drift by ``MAX_CLOCK_DRIFT``.
CLOCK_SKEW_FACTOR = 1 + 2 * MAX_CLOCK_DRIFT


class TokenBucket:
    """A token bucket that refills at ``rate`` tokens per second up to ``burst``."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self.tokens = self.burst
        self._refilled_at = ZERO

    def set_rate(self, rate: float, burst: float) -> None:
        """Change rate and burst; tokens beyond the new burst are lost."""
        self.rate, self.burst = rate, max(1.0, burst)
        self.tokens = min(self.tokens, self.burst)

    def available(self, now: timedelta) -> float:
        """Refill the bucket and return the tokens available."""
        if now > self._refilled_at:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self._refilled_at).total_seconds())
            self._refilled_at = now
        return self.tokens

    def try_take(self, now: timedelta, amount: float = 1.0, reserve: float = 0.0) -> bool:
        """Take ``amount`` tokens if at least ``reserve`` remain after that.

        If both together exceed the burst, a full bucket is sufficient.
        """
        if self.available(now) < min(amount + reserve, self.burst):
            return False
        self.tokens -= amount
        return True


class ControllerContext:
    """State and services shared by the components of one controller.

    Its methods record effects for the caller of the core to carry out; none of them blocks.
    """

    def __init__(self, platform: PlatformSettings, operator_settings: OperatorSettings) -> None:
        self.platform = platform
        self.operator_settings = operator_settings
        self.cluster = platform.cluster
        self.name = platform.name
        self.now = ZERO
        self.wall_time = datetime.fromtimestamp(0, UTC)
        self.member_ttl = member_ttl(operator_settings, platform)
        self.machine_lease = timedelta(seconds=self.cluster.workers.lease_s)
        self.report_interval = timedelta(seconds=self.cluster.workers.report_s)
        self.cluster_state = ClusterState(self.cluster.teams, self.cluster.state.value_kb)
        #: The enabled policies; None if no policy is enabled.
        self.policy_engine: PolicyEngine | None = build_policy_engine(operator_settings.policy_names())
        if self.policy_engine is not None:
            self.cluster_state.on_policy_change, self.cluster_state.on_policy_reset = (
                self.policy_engine.update_record,
                self.policy_engine.clear_records,
            )
        self.records_loaded = False
        self.state_served_at: timedelta | None = None
        self.state_failing_since: timedelta | None = None
        controller_count = len(platform.peers) + 1
        state, cloud = self.cluster.state, self.cluster.cloud
        self.state_requests = TokenBucket(state.rps / controller_count, state.rps / controller_count)
        self.state_writes = TokenBucket(state.write_rps / controller_count, state.write_rps / controller_count)
        self.cloud_calls = TokenBucket(cloud.rps / controller_count, cloud.rps)
        #: While both user requests and the state writer wait for write budget, they take turns.
        self.users_waiting_for_budget = self.writer_waiting_for_budget = False
        self.writer_has_turn = True
        self._write_share = self.state_writes.rate
        self._controller_count = controller_count
        self._rate_limited_at: timedelta | None = None
        self._peer_addrs = {peer.name: peer.peer_addr for peer in platform.peers}
        self._effects: list[Effect] = []
        self._pending_calls: dict[int, tuple[ResultHandler, Target]] = {}
        self._last_call_id = 0
        #: Writes since the usage was last logged, by cause.
        self._writes_by_cause: Counter[str] = Counter()
        self._usage_logged_at = ZERO

    def count_writes(self, cause: str, amount: int = 1) -> None:
        """Count writes to the state service for the usage log."""
        self._writes_by_cause[cause] += amount

    def log_write_usage(self) -> None:
        """Periodically log the number of writes by cause: writes are the scarcest budget."""
        if self.now - self._usage_logged_at < USAGE_LOG_INTERVAL:
            return
        self._usage_logged_at = self.now
        if self._writes_by_cause:
            counts = ", ".join(f"{cause} {amount}" for cause, amount in self._writes_by_cause.most_common())
            log.info(
                "state service writes in the last %d s: %d (%s)",
                USAGE_LOG_INTERVAL.total_seconds(),
                self._writes_by_cause.total(),
                counts,
            )
            self._writes_by_cause.clear()

    def divide_budgets(self, controller_count: int, is_leader: bool) -> None:
        """Set this controller's share of the state service and cloud budgets; the leader has most of the latter."""
        state, cloud = self.cluster.state, self.cluster.cloud
        share = 0.95 / max(1, controller_count)
        self.state_requests.set_rate(state.rps * share, state.rps * share)
        self._controller_count = max(1, controller_count)
        self.set_write_share(1 / self._controller_count)
        # Only the leader rents and lists machines; the other controllers occasionally fetch the machine types.
        others_share = 0.05 * max(0, controller_count - 1)
        self.cloud_calls.set_rate(
            cloud.rps * (0.9 - others_share if is_leader else 0.05), cloud.rps if is_leader else 1.0
        )

    def set_write_share(self, work_share: float) -> None:
        """Set the share of the write budget from this controller's share of all queued and running work (0 to 1).

        Most writes are made by home controllers, which place the tasks of their teams' jobs. All controllers compute
        the shares from nearly the same records, so the shares add up to about 1.
        """
        even_share = EVEN_WRITE_SHARE / self._controller_count
        self._write_share = 0.95 * self.cluster.state.write_rps * (even_share + (1 - EVEN_WRITE_SHARE) * work_share)
        self.update_write_rate()

    def update_write_rate(self) -> None:
        """Update the write rate.

        The controllers are rarely all busy at once, so each may exceed its share unless it was rate-limited recently.
        """
        state = self.cluster.state
        max_rate = 0.9 * state.write_rps
        may_borrow = self._rate_limited_at is None or self.now - self._rate_limited_at > WRITE_BORROW_BACKOFF
        rate = min(max_rate, self._write_share * (WRITE_BORROW_FACTOR if may_borrow else 1.0))
        if rate != self.state_writes.rate:
            # With many controllers and a small budget, one second's share may be less than one transaction, and a
            # transaction with several writes would never be sent. The state service allows bursts, and controllers
            # rarely burst at the same time.
            self.state_writes.set_rate(rate, max(rate, min(state.txn_ops / 2, state.write_rps / 4)))

    # Calls ---------------------------------------------------------------------------------------------------

    def _start_call(
        self,
        target: Target,
        method: str,
        path: str,
        body: bytes | None,
        timeout: timedelta,
        on_result: ResultHandler,
        addr: str = "",
    ) -> None:
        self._last_call_id += 1
        self._pending_calls[self._last_call_id] = (on_result, target)
        self._effects.append(OutgoingCall(self._last_call_id, target, method, path, body, timeout, addr))

    def call_state(
        self,
        method: str,
        path: str,
        body: bytes | None,
        on_result: ResultHandler,
        *,
        writes: int = 0,
        urgent: bool = False,
        reserve: float = 4.0,
    ) -> bool:
        """Call the state service; return False if the budget does not allow it now.

        ``writes`` is the number of writes in the request, ``reserve`` the number of requests to leave in the budget for
        other callers, limited to a quarter of the burst. Urgent calls, such as lease renewals, ignore the request
        budget but not the write budget.
        """
        reserve = 0.0 if urgent else min(reserve, self.state_requests.burst / 4)
        if self.state_requests.available(self.now) < 1 + reserve and not urgent:
            return False
        if writes and not self.state_writes.try_take(self.now, writes):
            return False
        self.state_requests.tokens -= 1  # urgent calls may make the balance negative
        self._start_call(Target.STATE, method, path, body, STATE_TIMEOUT, on_result)
        return True

    def apply_read(self, key: str, status: int, body: bytes) -> bool:
        """Apply the response to a read of a record to the cluster state; False if the read has to be repeated."""
        if status == 200:
            item: KeyValue = decode(KeyValue, body)
            log.debug("record read: key=%s revision=%d", key, item.version)
            self.cluster_state.apply(key, item.value, item.version)
            return True
        if status == 404:
            revision = decode(KeyNotFound, body).revision
            log.info(
                "record read: key=%s absent at revision=%d, known here: revision=%d",
                key,
                revision,
                self.cluster_state.version(key),
            )
            self.cluster_state.apply_absence(key, revision)
            return True
        return False

    def min_interval(self, share: float, minimum: timedelta) -> timedelta:
        """Interval between state service requests, at least ``minimum``, that uses this share of the request budget."""
        return max(minimum, timedelta(seconds=1 / (share * max(1.0, self.state_requests.rate))))

    def call_cloud(self, method: str, path: str, body: bytes | None, on_result: ResultHandler) -> bool:
        """Call the cloud API; return False if the budget does not allow it now."""
        if not self.cloud_calls.try_take(self.now):
            return False
        self._start_call(Target.CLOUD, method, path, body, CLOUD_TIMEOUT, on_result)
        return True

    def post_to_worker(self, addr: str, path: str, body: bytes, on_result: ResultHandler) -> None:
        """Send a POST request to a worker."""
        self._start_call(Target.WORKER, "POST", path, body, WORKER_TIMEOUT, on_result, addr)

    def get_from_worker(self, addr: str, path: str, on_result: ResultHandler) -> None:
        """Send a GET request to a worker."""
        self._start_call(Target.WORKER, "GET", path, None, WORKER_TIMEOUT, on_result, addr)

    def call_peer(self, name: str, path: str, body: bytes, on_result: ResultHandler) -> bool:
        """Send a POST request to a peer controller; return False if its address is unknown."""
        addr = self._peer_addrs.get(name)
        if addr is None:
            return False
        self._start_call(Target.PEER, "POST", path, body, PEER_TIMEOUT, on_result, addr)
        return True

    def handle_call_result(self, call_id: int, status: int, body: bytes) -> None:
        """Track the health of the state service and pass the result to the caller's handler."""
        pending = self._pending_calls.pop(call_id, None)
        if pending is None:
            return
        on_result, target = pending
        if target is Target.STATE:
            if status in (200, 400, 404, 409, 410):
                self.state_served_at, self.state_failing_since = self.now, None
            elif status == 429:
                self._rate_limited_at = self.now
                self.update_write_rate()
            elif self.state_failing_since is None:
                self.state_failing_since = self.now
        on_result(status, body)

    def state_failing(self) -> bool:
        """Whether the latest conclusive call to the state service failed; a rate-limited call is not conclusive."""
        return self.state_failing_since is not None

    def state_down(self) -> bool:
        """Whether the state service has not served any call yet, or calls have been failing for more than a second."""
        if self.state_served_at is None:
            return True
        return self.state_failing_since is not None and self.now - self.state_failing_since > timedelta(seconds=1)

    # Replies -------------------------------------------------------------------------------------------------

    def reply(self, request_id: int, status: int, body: bytes = b"", retry_after_s: int | None = None) -> None:
        """Reply to an incoming request."""
        self._effects.append(Reply(request_id, status, body, retry_after_s))

    def reply_error(self, request_id: int, status: int, message: str, retry_after_s: int | None = None) -> None:
        """Reply to an incoming request with an error status and message."""
        self.reply(request_id, status, encode(ErrorReply(message)), retry_after_s)

    def decode_request(self, request: IncomingRequest, type_: type[MessageT]) -> MessageT | None:
        """Decode the body of a request from a peer or a worker.

        Returns None after replying 400 if the body is malformed or does not match the type.
        """
        try:
            message: MessageT = decode(type_, request.body)
        except msgspec.DecodeError as error:
            log.error("%s request rejected: its body can't be read: %s", request.kind.value, error)
            self.reply_error(request.request_id, 400, str(error))
            return None
        return message

    def emit(self, effect: Effect) -> None:
        """Add an effect to this step's output."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects recorded since the last call."""
        effects, self._effects = self._effects, []
        return effects
