"""Membership of the controller group: epochs, leader, machine ownership, and whether this controller is active.

Each controller's member key is attached to a lease in the state service. Every change to the member keys is followed by
a new epoch record. All other commits are conditional on that record, so a commit based on an older epoch fails.

A controller is *active*, that is, allowed to act, for one member lease after a *confirmed renewal*. A renewal is
confirmed once the lease is renewed, a commit with conditions but no writes has shown that the epoch and the member key
are as this controller knows them, and the watch has reached the revision of that commit.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, RETRY_DELAY, ControllerContext
from gladecroft.coordination.events import StartWatch, WatchResult
from gladecroft.coordination.membership.assignment import Assignment
from gladecroft.coordination.membership.epochs import fit_to_size, next_epoch, proposal_delay
from gladecroft.coordination.membership.record_loader import RecordLoader
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

#: The low bits of a fencing token are a counter within the epoch; the bits above them are the epoch number.
TOKEN_BITS = 24
#: Minimum time from one epoch to the next if the next one only moves machines, so that many moves share one epoch.
MIN_MOVE_EPOCH_INTERVAL = timedelta(seconds=1.5)
#: If the watch has not confirmed a renewal after this time, its lag is logged.
WATCH_LAG_LOG_THRESHOLD = timedelta(seconds=2.5)
#: A move request is dropped if its machine has not been moved after this time; it can be made again.
MOVE_REQUEST_TTL = timedelta(seconds=5)
#: At each new epoch, a controller is inactive until its watch has delivered the epoch. An inactive period up to this
#: length does not interrupt the active time (see ``active_for``), since no update is lost in it.
MAX_INACTIVE_GAP = timedelta(seconds=1)
#: Minimum time between opening one watch and the next.
MIN_WATCH_INTERVAL = timedelta(milliseconds=100)
#: Maximum fraction of a controller's request budget that is spent on watches.
WATCH_REQUEST_FRACTION = 1 / 5


class Membership:
    """Joins this controller to the group, maintains its membership, and proposes new epochs."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        zones = {peer.name: peer.zone for peer in context.platform.peers} | {context.name: context.platform.zone}
        self.assignment = Assignment(context.cluster_state, zones)
        self.owner = self.assignment.owner
        self.home = self.assignment.home
        self.job_home = self.assignment.job_home
        self.record_loader = RecordLoader(context, self.tick)
        self.lease_id: int | None = None
        self.incarnation: int | None = None
        self.epoch_seen_at = timedelta()
        self.epoch_change_pending = False
        #: Whether the current epoch directly follows the last one handled here, so that none was missed, and this
        #: controller is in both in the same incarnation, or in neither.
        self.epoch_continuous = False
        self._epoch_incarnation: int | None = None
        #: Until when this controller may act, and when the latest confirmed renewal was sent.
        self.active_until = timedelta(days=-1)
        self.renewed_at = timedelta(days=-1)
        self._newest_epoch = -1
        self._active_since = timedelta()
        self._last_active_at = timedelta(days=-1)
        self._pending_renewals: list[tuple[timedelta, int]] = []
        self._last_renewal_at = timedelta(days=-1)
        self._next_attempt_at: dict[str, timedelta] = {}
        self._watch_open = False
        self._next_watch_at = timedelta()
        self._epoch_outdated_since: timedelta | None = None
        self._last_seen_epoch = -1
        #: Machines that this controller requests to own, with their owner and the time at the request.
        self._move_requests: dict[str, tuple[str | None, timedelta]] = {}

    # Queries -------------------------------------------------------------------------------------------------

    @property
    def epoch(self) -> rec.EpochRecord | None:
        return self.cluster_state.epoch

    def is_member(self) -> bool:
        """Whether the current epoch includes this incarnation of this controller."""
        epoch = self.cluster_state.epoch
        return (
            epoch is not None
            and self.incarnation is not None
            and (epoch.members.get(self.context.name) == self.incarnation)
        )

    def is_active(self) -> bool:
        """Whether this controller may act now. Also records since when it has been active."""
        active = self._may_act_now()
        if active:
            if self.context.now - self._last_active_at > MAX_INACTIVE_GAP:
                self._active_since = self.context.now
            self._last_active_at = self.context.now
        return active

    def active_for(self, duration: timedelta) -> bool:
        """Whether this controller has been active for this duration, not counting gaps up to ``MAX_INACTIVE_GAP``.

        Controllers request moves only after they have been active for some time. When each new epoch interrupted the
        active time, the first machine that was moved away from an owner that machines could not reach delayed the moves
        of all others by six seconds, and the leases of some of them expired.
        """
        return self.is_active() and self.context.now - self._active_since >= duration

    def _may_act_now(self) -> bool:
        # A direct read may deliver the epoch record before the watch delivers the changes that precede it. Acting on
        # such an inconsistent state could restart an attempt whose exit a former owner has committed, so the watch must
        # have reached the epoch.
        return self.caught_up() and self.context.now < self.active_until

    def caught_up(self) -> bool:
        """Whether this controller is a member, and its cluster state includes all changes up to the current epoch."""
        return (
            self.context.records_loaded
            and self.is_member()
            and self.cluster_state.revision >= self.cluster_state.epoch_version
        )

    def newest_epoch(self) -> int:
        """The highest epoch number ever known here; reloading the records does not reset it."""
        if self.cluster_state.epoch is not None:
            self._newest_epoch = max(self._newest_epoch, self.cluster_state.epoch.number)
        return self._newest_epoch

    def is_leader(self) -> bool:
        """Whether this controller is the leader and active."""
        return (
            self.is_active()
            and self.cluster_state.epoch is not None
            and self.cluster_state.epoch.leader == self.context.name
        )

    def base_token(self) -> int:
        """The first fencing token of the current epoch."""
        return 0 if self.cluster_state.epoch is None else self.cluster_state.epoch.number << TOKEN_BITS

    def request_move(self, machine_id: str) -> None:
        """Request that a later epoch moves a machine to this controller; expires after ``MOVE_REQUEST_TTL``."""
        self._move_requests[machine_id] = (self.owner(machine_id), self.context.now)

    def _prune_move_requests(self) -> None:
        """Drop move requests that have expired or whose machine has changed owners."""
        self._move_requests = {
            name: (owner, since)
            for name, (owner, since) in self._move_requests.items()
            if self.owner(name) == owner and self.context.now - since < MOVE_REQUEST_TTL
        }

    # Protocol ------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Load the records, then keep the watch, the lease, the member key and the epoch up to date."""
        context = self.context
        if not context.records_loaded:
            self.record_loader.load()
            return
        if not self._watch_open and context.now >= self._next_watch_at:
            self._watch_open = True
            # The interval lets one watch result deliver several changes. Waking the process for each result costs more
            # than processing its contents.
            self._next_watch_at = context.now + context.min_interval(WATCH_REQUEST_FRACTION, MIN_WATCH_INTERVAL)
            context.state_requests.try_take(context.now)
            context.emit(StartWatch(self.cluster_state.revision))
        if self.lease_id is None:
            self._acquire_lease()
        elif self.incarnation is None:
            self._join()
        elif context.now - self._last_renewal_at >= context.member_ttl / 5:
            self._renew()
        self.detect_epoch_change()
        self._propose_epoch()

    def _may_attempt(self, operation: str) -> bool:
        """Whether to attempt this operation now; if so, the next attempt is delayed."""
        if self.context.now < self._next_attempt_at.get(operation, timedelta(days=-1)):
            return False
        self._next_attempt_at[operation] = self.context.now + 3 * RETRY_DELAY
        return True

    def handle_watch_result(self, event: WatchResult) -> None:
        """Apply the changes; reload all records if some were missed, or retry later if the watch failed."""
        self._watch_open = False
        if event.gap:
            # Changes were missed, so read all records again and rejoin with a new incarnation, as after a restart.
            # Rejoining causes a new epoch, which is needed because what was known about machines and exits is lost as
            # well. In the same epoch, an attempt whose exit was already reported to its job's home controller could be
            # started again, and reports of machines whose fencing token had been raised would be rejected.
            log.error(
                "watch: changes after revision %d were missed, reloading all records", self.cluster_state.revision
            )
            self.cluster_state.reset()
            self.context.records_loaded = False
            self.record_loader.restart()
            self._last_seen_epoch = -1
            self._leave()
        elif event.reply is not None:
            for entry in event.reply.events:
                if entry.put is not None:
                    self.cluster_state.apply(entry.put, entry.value, entry.version)
                elif entry.delete is not None:
                    self.cluster_state.apply(entry.delete, None, entry.version)
            self.cluster_state.revision = max(self.cluster_state.revision, event.reply.revision)
            self._confirm_renewals()
        elif event.failed:
            self._next_watch_at = self.context.now + RETRY_DELAY

    def _leave(self) -> None:
        """Stop being active and forget the lease, so that this controller joins again with a new incarnation."""
        self.lease_id = self.incarnation = None
        self.active_until = timedelta(days=-1)
        self._pending_renewals.clear()

    def _acquire_lease(self) -> None:
        if not self._may_attempt("lease"):
            return

        def on_result(status: int, body: bytes) -> None:
            self._next_attempt_at["lease"] = self.context.now + RETRY_DELAY
            if status == 200:
                self.lease_id = wire.decode(wire.LeaseReply, body).lease
                self._join()

        body = wire.encode(wire.LeaseRequest(int(self.context.member_ttl.total_seconds() * 1000)))
        self.context.call_state("POST", wire.GRANTS_PATH, body, on_result, urgent=True)

    def _join(self) -> None:
        """Write the member key. The lease id serves as the incarnation, so incarnations are unique."""
        if not self._may_attempt("join"):
            return
        lease_id = self.lease_id
        assert lease_id is not None
        key = rec.MEMBERS + self.context.name
        value = msgspec.json.encode(rec.MemberRecord(lease_id))

        def on_result(status: int, body: bytes) -> None:
            self._next_attempt_at["join"] = self.context.now + RETRY_DELAY
            if lease_id != self.lease_id:
                return
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                self.cluster_state.apply(key, value, revision)
                self.incarnation = lease_id
                log.info("joined as incarnation %d", lease_id)
                self._renew()
                self._propose_epoch()
            elif status == 400:
                self.lease_id = None
            elif status in (0, 409):
                self._reload_key(key)

        txn = wire.Txn(
            [wire.Condition(key, self.cluster_state.version(key))], [wire.Put(key, msgspec.Raw(value), lease_id)]
        )
        self.context.call_state("POST", wire.COMMIT_PATH, wire.encode(txn), on_result, writes=1, urgent=True)

    def _reload_key(self, key: str) -> None:
        """Read a key whose current version is not known here, after a failed commit or one with an unknown outcome."""

        def on_result(status: int, body: bytes) -> None:
            self.context.apply_read(key, status, body)
            if status == 200 and key == rec.MEMBERS + self.context.name and self.incarnation is None:
                own_record = self.cluster_state.members.get(self.context.name)
                if own_record is not None and own_record.incarnation == self.lease_id:
                    self.incarnation = self.lease_id

        self.context.call_state("GET", wire.key_path(key), None, on_result, urgent=True)

    def refresh_epoch(self) -> None:
        """Read the epoch without waiting for the watch, after a commit failed because of it."""
        if self._may_attempt("epoch"):
            self._reload_key(rec.EPOCH)

    def _renew(self) -> None:
        """Renew the lease, and check by a commit without writes that the epoch and the member key are unchanged."""
        if not self._may_attempt("renew"):
            return
        context, sent_at, lease_id = self.context, self.context.now, self.lease_id
        self._last_renewal_at = sent_at
        results: dict[str, int] = {}

        def store_result(step: str, revision: int) -> None:
            results[step] = revision
            if len(results) == 2 and lease_id == self.lease_id:
                self._pending_renewals.append((sent_at, results["check"]))
                self._confirm_renewals()

        def on_renewed(status: int, body: bytes) -> None:
            self._next_attempt_at.pop("renew", None)
            if status == 200:
                store_result("renew", 0)
            elif status == 404 and lease_id == self.lease_id:
                log.error("the member lease has expired: rejoining")
                self._leave()
            else:
                self._last_renewal_at = context.now - context.member_ttl / 5 + RETRY_DELAY

        def on_checked(status: int, body: bytes) -> None:
            if status == 200:
                store_result("check", wire.decode(wire.TxnReply, body).revision)

        assert lease_id is not None
        context.call_state("POST", wire.renew_lease_path(lease_id), b"{}", on_renewed, urgent=True)
        key = rec.MEMBERS + context.name
        txn = wire.Txn([
            wire.Condition(rec.EPOCH, self.cluster_state.version(rec.EPOCH)),
            wire.Condition(key, self.cluster_state.version(key)),
        ])  # fmt: skip
        context.call_state("POST", wire.COMMIT_PATH, wire.encode(txn), on_checked, urgent=True)

    def _confirm_renewals(self) -> None:
        """Confirm the pending renewals whose check commit has a revision that the cluster state has reached."""
        unconfirmed = []
        for sent_at, check_revision in self._pending_renewals:
            if check_revision <= self.cluster_state.revision:
                self.renewed_at = max(self.renewed_at, sent_at)
                self.active_until = max(self.active_until, sent_at + self.context.member_ttl / CLOCK_SKEW_FACTOR)
            else:
                unconfirmed.append((sent_at, check_revision))
        self._pending_renewals = unconfirmed[-20:]
        if unconfirmed and self.context.now - unconfirmed[0][0] > WATCH_LAG_LOG_THRESHOLD and self._watch_open:
            log.info("the watch has not reached revision %d yet", unconfirmed[0][1])

    def detect_epoch_change(self) -> None:
        """Apply a new epoch from the cluster state to the assignment and the budgets, and flag the change."""
        epoch = self.cluster_state.epoch
        number = -1 if epoch is None else epoch.number
        if number == self._last_seen_epoch:
            return
        own_incarnation = None if epoch is None else epoch.members.get(self.context.name)
        self.newest_epoch()
        # If the flag is still set, the epoch has changed again before the last change was handled. That counts as a
        # missed epoch.
        self.epoch_continuous = (
            not self.epoch_change_pending
            and number == self._last_seen_epoch + 1
            and own_incarnation == self._epoch_incarnation
        )
        self._epoch_incarnation = own_incarnation
        self._last_seen_epoch = number
        self.epoch_seen_at = self.context.now
        self.epoch_change_pending = True
        self.assignment.apply_epoch(epoch)
        if epoch is not None:
            self.context.divide_budgets(len(epoch.members), epoch.leader == self.context.name)
            # A request is kept until its machine changes owners or it expires. When each new epoch dropped all
            # requests, two controllers that took over machines from a third kept cancelling each other's requests until
            # a machine lease expired.
            self._prune_move_requests()
            log.info("epoch %d: leader %s, members %s, %d machines moved, token=%d revision=%d",
                     epoch.number, epoch.leader, ",".join(sorted(epoch.members)), len(epoch.moved),
                     self.base_token(), self.cluster_state.epoch_version)  # fmt: skip

    def _propose_epoch(self) -> None:
        """Write the next epoch if the member keys differ from the current epoch, or machines are to be moved."""
        context, cluster_state, epoch = self.context, self.cluster_state, self.cluster_state.epoch
        own_record = cluster_state.members.get(context.name)
        if self.incarnation is None or own_record is None or own_record.incarnation != self.incarnation:
            self._epoch_outdated_since = None
            return
        members = {name: member.incarnation for name, member in cluster_state.members.items()}
        if self._move_requests:
            self._prune_move_requests()
        moves = dict.fromkeys(self._move_requests, context.name) if self.is_active() else {}
        moves_only = epoch is not None and epoch.members == members
        if moves_only and (not moves or context.now - self.epoch_seen_at < MIN_MOVE_EPOCH_INTERVAL):
            self._epoch_outdated_since = None
            return
        if self._epoch_outdated_since is None:
            self._epoch_outdated_since = context.now
        wait = timedelta() if moves_only else proposal_delay(context.name, epoch, members)
        if context.now - self._epoch_outdated_since < wait or not self._may_attempt("propose"):
            return
        untruncated = next_epoch(epoch, members, moves, self.assignment.still_exists)
        record = fit_to_size(untruncated, int(context.cluster.state.value_kb * 1024))
        if len(record.moved) < len(untruncated.moved):
            log.error("epoch %d: no room for %d of the %d moved machines: they return to their hashed owners",
                      record.number, len(untruncated.moved) - len(record.moved), len(untruncated.moved))  # fmt: skip
        value = msgspec.json.encode(record)
        key = rec.MEMBERS + context.name

        def on_result(status: int, body: bytes) -> None:
            self._next_attempt_at["propose"] = context.now + RETRY_DELAY
            if status == 200:
                cluster_state.apply(rec.EPOCH, value, wire.decode(wire.TxnReply, body).revision)
                self.detect_epoch_change()
            elif status in (0, 409):
                self._reload_key(rec.EPOCH)

        txn = wire.Txn(
            [
                wire.Condition(rec.EPOCH, cluster_state.version(rec.EPOCH)),
                wire.Condition(key, cluster_state.version(key)),
            ],
            [wire.Put(rec.EPOCH, msgspec.Raw(value))],
        )
        context.call_state("POST", wire.COMMIT_PATH, wire.encode(txn), on_result, writes=1, urgent=True)
