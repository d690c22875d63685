"""What the parts of the core share: time, calls out, budgets, the picture."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import TypeVar

import msgspec

from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.coordination.events import Effect, IncomingRequest, OutgoingCall, Reply, Target
from gladecroft.policies import Panel, switched_on
from gladecroft.protocol.settings import MAX_CLOCK_DRIFT, OperatorSettings, PlatformSettings, member_ttl
from gladecroft.protocol.wire import ErrorReply, decode, encode

log = logging.getLogger(__name__)

T = TypeVar("T")
Handler = Callable[[int, bytes], None]

ZERO = timedelta()
STATE_LIMIT = timedelta(seconds=1.2)
CLOUD_TIMEOUT = timedelta(seconds=6)
WORKER_LIMIT = timedelta(seconds=2)
PEER_LIMIT = timedelta(seconds=1)
#: How long after a request that was not served it is made again.
RETRY_DELAY = timedelta(seconds=0.4)
#: The part of the writes that is shared evenly, whatever the work.
EVEN = 0.4
LEND = 1.7
LEND_AFTER = timedelta(seconds=10)
ACCOUNT_EVERY = timedelta(seconds=30)
#: Two steady clocks may disagree by twice the drift of one.
CLOCK_SKEW_FACTOR = 1 + 2 * MAX_CLOCK_DRIFT


class TokenBucket:
    """A token bucket."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = max(1.0, burst)
        self.tokens = self.burst
        self._at = ZERO

    def set(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, max(1.0, burst)
        self.tokens = min(self.tokens, self.burst)

    def available(self, now: timedelta) -> float:
        if now > self._at:
            self.tokens = min(self.burst, self.tokens + self.rate * (now - self._at).total_seconds())
            self._at = now
        return self.tokens

    def take(self, now: timedelta, amount: float = 1.0, floor: float = 0.0) -> bool:
        """Take if that leaves at least ``floor``; an amount over the burst waits for a full bucket."""
        if self.available(now) < min(amount + floor, self.burst):
            return False
        self.tokens -= amount
        return True


class ControllerContext:
    """One controller's shared ground. Its methods only note effects; nothing here waits."""

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
        #: The policies that are switched on, as one; None: none is.
        self.panel: Panel | None = switched_on(operator_settings.policy_names())
        if self.panel is not None:
            self.cluster_state.on_policy_change, self.cluster_state.on_policy_reset = self.panel.take, self.panel.forget
        self.records_loaded = False
        self.state_served_at: timedelta | None = None
        self.state_bad_since: timedelta | None = None
        nodes = len(platform.peers) + 1
        state, cloud = self.cluster.state, self.cluster.cloud
        self.state_requests = TokenBucket(state.rps / nodes, state.rps / nodes)
        self.state_writes = TokenBucket(state.write_rps / nodes, state.write_rps / nodes)
        self.cloud_calls = TokenBucket(cloud.rps / nodes, cloud.rps)
        #: Acceptances and the ledger take turns at the writes while both want more than there are.
        self.users_need_writes = self.state_writer_needs_writes = False
        self.state_writer_first = True
        self._write_share = self.state_writes.rate
        self._live = nodes
        self._refused_at: timedelta | None = None
        self._peer_addrs = {peer.name: peer.peer_addr for peer in platform.peers}
        self._effects: list[Effect] = []
        self._calls: dict[int, tuple[Handler, Target]] = {}
        self._next_call = 0
        #: What the state service's changes went into since the last account, by cause.
        self._spent: Counter[str] = Counter()
        self._account_at = ZERO

    def count_writes(self, cause: str, amount: int = 1) -> None:
        self._spent[cause] += amount

    def account(self) -> None:
        """Log now and then what the changes were used for: they are the scarcest budget."""
        if self.now - self._account_at < ACCOUNT_EVERY:
            return
        self._account_at = self.now
        if self._spent:
            parts = ", ".join(f"{cause} {amount}" for cause, amount in self._spent.most_common())
            log.info("changes in the last %d s: %d: %s", ACCOUNT_EVERY.total_seconds(), self._spent.total(), parts)
            self._spent.clear()

    def share(self, live: int, leader: bool) -> None:
        """Divide the state service's and the cloud's budgets among the live controllers."""
        state, cloud = self.cluster.state, self.cluster.cloud
        part = 0.95 / max(1, live)
        self.state_requests.set(state.rps * part, state.rps * part)
        self._live = max(1, live)
        self.set_write_share(1 / self._live)
        # Only the leader rents and lists; the others ask for the machine types now and then.
        few = 0.05 * max(0, live - 1)
        self.cloud_calls.set(cloud.rps * (0.9 - few if leader else 0.05), cloud.rps if leader else 1.0)

    def set_write_share(self, work: float) -> None:
        """Most writes are made by the homes of waiting and running jobs: they are shared by how much of all that work
        (0 to 1) is placed here, the rest evenly. All controllers see nearly the same work, so the shares add up."""
        even = EVEN / self._live
        self._write_share = 0.95 * self.cluster.state.write_rps * (even + (1 - EVEN) * work)
        self.update_write_rate()

    def update_write_rate(self) -> None:
        """Controllers are seldom busy all at once: as long as none is refused, each may use more than its share."""
        state = self.cluster.state
        most = 0.9 * state.write_rps
        calm = self._refused_at is None or self.now - self._refused_at > LEND_AFTER
        share = min(most, self._write_share * (LEND if calm else 1.0))
        if share != self.state_writes.rate:
            # Where many share few changes, a second's worth of a share may be less than one transaction: then nothing
            # that needs several would ever begin. The service allows bursts, and seldom do all want one at once.
            self.state_writes.set(share, max(share, min(state.txn_ops / 2, state.write_rps / 4)))

    # Calls ---------------------------------------------------------------------------------------------------

    def _call(
        self,
        target: Target,
        method: str,
        path: str,
        body: bytes | None,
        limit: timedelta,
        then: Handler,
        addr: str = "",
    ) -> None:
        self._next_call += 1
        self._calls[self._next_call] = (then, target)
        self._effects.append(OutgoingCall(self._next_call, target, method, path, body, limit, addr))

    def call_state(
        self,
        method: str,
        path: str,
        body: bytes | None,
        then: Handler,
        *,
        writes: int = 0,
        urgent: bool = False,
        reserve: float = 4.0,
    ) -> bool:
        """Ask the state service. False if the budget does not allow it now: ``floor`` requests are left to others;
        renewals are ``urgent``."""
        reserve = 0.0 if urgent else min(reserve, self.state_requests.burst / 4)
        if self.state_requests.available(self.now) < 1 + reserve and not urgent:
            return False
        if writes and not self.state_writes.take(self.now, writes):
            return False
        self.state_requests.tokens -= 1  # renewals may overdraw
        self._call(Target.STATE, method, path, body, STATE_LIMIT, then)
        return True

    def min_interval(self, part: float, least: timedelta) -> timedelta:
        """How long apart requests to the state service are that may take up at most this part of the budget."""
        return max(least, timedelta(seconds=1 / (part * max(1.0, self.state_requests.rate))))

    def call_cloud(self, method: str, path: str, body: bytes | None, then: Handler) -> bool:
        if not self.cloud_calls.take(self.now):
            return False
        self._call(Target.CLOUD, method, path, body, CLOUD_TIMEOUT, then)
        return True

    def post_to_worker(self, addr: str, path: str, body: bytes, then: Handler) -> None:
        self._call(Target.WORKER, "POST", path, body, WORKER_LIMIT, then, addr)

    def get_from_worker(self, addr: str, path: str, then: Handler) -> None:
        self._call(Target.WORKER, "GET", path, None, WORKER_LIMIT, then, addr)

    def call_peer(self, name: str, path: str, body: bytes, then: Handler) -> bool:
        """Tell a sibling something; False if its address is not known."""
        addr = self._peer_addrs.get(name)
        if addr is None:
            return False
        self._call(Target.PEER, "POST", path, body, PEER_LIMIT, then, addr)
        return True

    def answered(self, call: int, status: int, body: bytes) -> None:
        known = self._calls.pop(call, None)
        if known is None:
            return
        then, target = known
        if target is Target.STATE:
            if status in (200, 400, 404, 409, 410):
                self.state_served_at, self.state_bad_since = self.now, None
            elif status == 429:
                self._refused_at = self.now
                self.update_write_rate()
            elif self.state_bad_since is None:
                self.state_bad_since = self.now
        then(status, body)

    def unserved(self) -> bool:
        """Whether the state service's last answer was none, or that it does not serve this controller."""
        return self.state_bad_since is not None

    def state_down(self) -> bool:
        """The state service has not served this controller for a while."""
        if self.state_served_at is None:
            return True
        return self.state_bad_since is not None and self.now - self.state_bad_since > timedelta(seconds=1)

    # Answers -------------------------------------------------------------------------------------------------

    def reply(self, number: int, status: int, body: bytes = b"", retry_after: int | None = None) -> None:
        self._effects.append(Reply(number, status, body, retry_after))

    def reply_error(self, number: int, status: int, why: str, retry_after: int | None = None) -> None:
        self.reply(number, status, encode(ErrorReply(why)), retry_after)

    def decode_request(self, request: IncomingRequest, type_: type[T]) -> T | None:
        """What another controller or a machine says; None: it is malformed, or of a version that can't be read, and is
        refused with 400."""
        try:
            message: T = decode(type_, request.body)
        except msgspec.DecodeError as error:
            log.error("%s: refused what can't be read: %s", request.kind.value, error)
            self.reply_error(request.request_id, 400, str(error))
            return None
        return message

    def effect(self, effect: Effect) -> None:
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
