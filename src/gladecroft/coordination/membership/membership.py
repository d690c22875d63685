"""Which controllers live, who leads, who owns which machine, and until when this one may act.

A controller's member key hangs on a state lease. Any change among the member keys is followed by a new epoch
record; every other commit is conditional on that record, so what rests on an older epoch fails. The right to act
rests on *good renewals*: the lease was renewed, a compare-only commit showed that epoch and member key stand as
this controller knows them, and the picture has caught up with the revision that this commit told.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, RETRY_DELAY, ControllerContext
from gladecroft.coordination.events import StartWatch, WatchResult
from gladecroft.coordination.membership.assignment import Assignment
from gladecroft.coordination.membership.epochs import fitting, next_epoch, turn
from gladecroft.coordination.membership.record_loader import RecordLoader
from gladecroft.protocol import wire

log = logging.getLogger(__name__)

TOKEN_BITS = 24
#: An epoch in which only machines move comes at the earliest so long after the one before: one for many machines.
MOVES_APART = timedelta(seconds=1.5)
STUCK = timedelta(seconds=2.5)
#: Within this a wish for a machine is met, or it is formed anew.
WISHES_LAST = timedelta(seconds=5)
#: For a moment nobody is entitled with each new epoch, until the watch has brought it: no break in what a controller
#: knows.
MOMENT = timedelta(seconds=1)
WATCH_APART = timedelta(milliseconds=100)
#: At most this part of a controller's requests goes into watches.
WATCHES = 1 / 5


class Membership:
    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        zones = {peer.name: peer.zone for peer in context.platform.peers} | {context.name: context.platform.zone}
        self.assignment = Assignment(context.cluster_state, zones)
        self.owner = self.assignment.owner
        self.home = self.assignment.home
        self.job_home = self.assignment.job_home
        self.listing = RecordLoader(context, self.tick)
        self.lease: int | None = None
        self.incarnation: int | None = None
        self.epoch_seen_at = timedelta()
        self.changed = False
        #: Whether the present epoch follows the one known before it, with this incarnation in both.
        self.epoch_continuous = False
        self._epoch_incarnation: int | None = None
        #: Until when this controller may act, and when the renewal was sent on which that rests.
        self.active_until = timedelta(days=-1)
        self.renewed_at = timedelta(days=-1)
        self._newest = -1
        self._entitled_since = timedelta()
        self._entitled_at = timedelta(days=-1)
        self._credits: list[tuple[timedelta, int]] = []
        self._last_renewal_at = timedelta(days=-1)
        self._asking: dict[str, timedelta] = {}
        self._watch_open = False
        self._watch_next = timedelta()
        self._mismatch_since: timedelta | None = None
        self._known_epoch = -1
        #: Machines that are to move here, the owners from which they are, and since when.
        self._move_requests: dict[str, tuple[str | None, timedelta]] = {}

    # Questions -----------------------------------------------------------------------------------------------

    @property
    def epoch(self) -> rec.EpochRecord | None:
        return self.cluster_state.epoch

    def is_member(self) -> bool:
        """In the epoch, with this incarnation."""
        epoch = self.cluster_state.epoch
        return (
            epoch is not None
            and self.incarnation is not None
            and (epoch.members.get(self.context.name) == self.incarnation)
        )

    def is_active(self) -> bool:
        entitled = self._has_authority()
        if entitled:
            if self.context.now - self._entitled_at > MOMENT:
                self._entitled_since = self.context.now
            self._entitled_at = self.context.now
        return entitled

    def active_for(self, span: timedelta) -> bool:
        """Whether this controller has been entitled for that long, but for the moment that each epoch takes.

        When each epoch counted as a break, the first machine that moved off an owner which its workers could not reach
        kept all others from moving for six seconds, and some were lost to their leases.
        """
        return self.is_active() and self.context.now - self._entitled_since >= span

    def _has_authority(self) -> bool:
        # The epoch may be known (by a direct read) before the changes that precede it: acting on that mix could
        # start an attempt again whose end a former owner has committed. So the watch must have reached the epoch.
        return self.caught_up() and self.context.now < self.active_until

    def caught_up(self) -> bool:
        """In the epoch, and with a picture that has reached it."""
        return (
            self.context.records_loaded
            and self.is_member()
            and self.cluster_state.revision >= self.cluster_state.epoch_version
        )

    def newest_epoch(self) -> int:
        """The number of the newest epoch ever known here; listing all records anew forgets none."""
        if self.cluster_state.epoch is not None:
            self._newest = max(self._newest, self.cluster_state.epoch.number)
        return self._newest

    def is_leader(self) -> bool:
        return (
            self.is_active()
            and self.cluster_state.epoch is not None
            and self.cluster_state.epoch.leader == self.context.name
        )

    def base_token(self) -> int:
        return 0 if self.cluster_state.epoch is None else self.cluster_state.epoch.number << TOKEN_BITS

    def request_move(self, machine: str) -> None:
        """This controller alone hears the machine; ask for it with the next epoch."""
        self._move_requests[machine] = (self.owner(machine), self.context.now)

    def _keep_wishes(self) -> None:
        """Drop wishes for machines that have moved since, and old ones."""
        self._move_requests = {
            name: (owner, since)
            for name, (owner, since) in self._move_requests.items()
            if self.owner(name) == owner and self.context.now - since < WISHES_LAST
        }

    # Work ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        context = self.context
        if not context.records_loaded:
            self.listing.load()
            return
        if not self._watch_open and context.now >= self._watch_next:
            self._watch_open = True
            # Where there are many, what a tenth of a second brings comes together: each answer wakes the process, which
            # costs more than what is in it.
            self._watch_next = context.now + context.min_interval(WATCHES, WATCH_APART)
            context.state_requests.take(context.now)
            context.effect(StartWatch(self.cluster_state.revision))
        if self.lease is None:
            self._get_lease()
        elif self.incarnation is None:
            self._join()
        elif context.now - self._last_renewal_at >= context.member_ttl / 5:
            self._renew()
        self.see_epoch()
        self._propose()

    def _ready(self, what: str) -> bool:
        """Whether to ask for this (again) now."""
        if self.context.now < self._asking.get(what, timedelta(days=-1)):
            return False
        self._asking[what] = self.context.now + 3 * RETRY_DELAY
        return True

    def watched(self, event: WatchResult) -> None:
        self._watch_open = False
        if event.gap:
            # The picture can't be caught up by changes: read everything again from nothing, and join anew, as one that
            # was started again does. What was known of machines and ends is forgotten: in the same epoch an attempt
            # whose end was told to its home could have been started again, and machines whose token had been raised
            # would have been refused until the next epoch.
            log.error("the watch lost its place at revision %d: reading all records again", self.cluster_state.revision)
            self.cluster_state.reset()
            self.context.records_loaded = False
            self.listing.start_again()
            self._known_epoch = -1
            self._leave()
        elif event.reply is not None:
            for entry in event.reply.events:
                if entry.put is not None:
                    self.cluster_state.apply(entry.put, entry.value, entry.version)
                elif entry.delete is not None:
                    self.cluster_state.apply(entry.delete, None, entry.version)
            self.cluster_state.revision = max(self.cluster_state.revision, event.reply.revision)
            self._use_credits()
        elif event.failed:
            self._watch_next = self.context.now + RETRY_DELAY

    def _leave(self) -> None:
        """Act no more; another incarnation is to join."""
        self.lease = self.incarnation = None
        self.active_until = timedelta(days=-1)
        self._credits.clear()

    def _get_lease(self) -> None:
        if not self._ready("lease"):
            return

        def then(status: int, body: bytes) -> None:
            self._asking["lease"] = self.context.now + RETRY_DELAY
            if status == 200:
                self.lease = wire.decode(wire.LeaseReply, body).lease
                self._join()

        body = wire.encode(wire.LeaseRequest(int(self.context.member_ttl.total_seconds() * 1000)))
        self.context.call_state("POST", wire.GRANTS_PATH, body, then, urgent=True)

    def _join(self) -> None:
        """Write the member key; the lease's number is the incarnation, so no two are alike."""
        if not self._ready("join"):
            return
        lease = self.lease
        assert lease is not None
        key = rec.MEMBERS + self.context.name
        value = msgspec.json.encode(rec.MemberRecord(lease))

        def then(status: int, body: bytes) -> None:
            self._asking["join"] = self.context.now + RETRY_DELAY
            if lease != self.lease:
                return
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                self.cluster_state.apply(key, value, revision)
                self.incarnation = lease
                log.info("joined as incarnation %d", lease)
                self._renew()
                self._propose()
            elif status == 400:
                self.lease = None
            elif status in (0, 409):
                self._refresh(key)

        txn = wire.Txn(
            [wire.Condition(key, self.cluster_state.version(key))], [wire.Put(key, msgspec.Raw(value), lease)]
        )
        self.context.call_state("POST", wire.COMMIT_PATH, wire.encode(txn), then, writes=1, urgent=True)

    def _refresh(self, key: str) -> None:
        """Read a key whose state is in doubt."""

        def then(status: int, body: bytes) -> None:
            if status == 200:
                item: wire.KeyValue = wire.decode(wire.KeyValue, body)
                self.cluster_state.apply(key, item.value, item.version)
                if key == rec.MEMBERS + self.context.name and self.incarnation is None:
                    record: rec.MemberRecord = wire.decode(rec.MemberRecord, bytes(item.value))
                    if record.incarnation == self.lease:
                        self.incarnation = self.lease
            elif status == 404:
                self.cluster_state.apply(key, None, wire.decode(wire.KeyNotFound, body).revision)

        self.context.call_state("GET", wire.key_path(key), None, then, urgent=True)

    def refresh_epoch(self) -> None:
        """A commit failed on the epoch: learn the new one without waiting for the watch."""
        if self._ready("epoch"):
            self._refresh(rec.EPOCH)

    def _renew(self) -> None:
        if not self._ready("renew"):
            return
        context, sent, lease = self.context, self.context.now, self.lease
        self._last_renewal_at = sent
        results: dict[str, int] = {}

        def both(what: str, ledger: int) -> None:
            results[what] = ledger
            if len(results) == 2 and lease == self.lease:
                self._credits.append((sent, results["check"]))
                self._use_credits()

        def renewed(status: int, body: bytes) -> None:
            self._asking.pop("renew", None)
            if status == 200:
                both("renew", 0)
            elif status == 404 and lease == self.lease:
                log.error("the member lease has ended: joining anew")
                self._leave()
            else:
                self._last_renewal_at = context.now - context.member_ttl / 5 + RETRY_DELAY

        def checked(status: int, body: bytes) -> None:
            if status == 200:
                both("check", wire.decode(wire.TxnReply, body).revision)

        assert lease is not None
        context.call_state("POST", wire.renew_lease_path(lease), b"{}", renewed, urgent=True)
        key = rec.MEMBERS + context.name
        txn = wire.Txn([
            wire.Condition(rec.EPOCH, self.cluster_state.version(rec.EPOCH)),
            wire.Condition(key, self.cluster_state.version(key)),
        ])  # fmt: skip
        context.call_state("POST", wire.COMMIT_PATH, wire.encode(txn), checked, urgent=True)

    def _use_credits(self) -> None:
        """A renewal counts once the picture holds all that was committed before its check."""
        waiting = []
        for sent, ledger in self._credits:
            if ledger <= self.cluster_state.revision:
                self.renewed_at = max(self.renewed_at, sent)
                self.active_until = max(self.active_until, sent + self.context.member_ttl / CLOCK_SKEW_FACTOR)
            else:
                waiting.append((sent, ledger))
        self._credits = waiting[-20:]
        if waiting and self.context.now - waiting[0][0] > STUCK and self._watch_open:
            log.info("the watch lags behind revision %d", waiting[0][1])

    def see_epoch(self) -> None:
        epoch = self.cluster_state.epoch
        number = -1 if epoch is None else epoch.number
        if number == self._known_epoch:
            return
        mine = None if epoch is None else epoch.members.get(self.context.name)
        # Changed more than once before anybody looked (the flag is still up), epochs are as good as missed.
        self.newest_epoch()
        self.epoch_continuous = not self.changed and number == self._known_epoch + 1 and mine == self._epoch_incarnation
        self._epoch_incarnation = mine
        self._known_epoch = number
        self.epoch_seen_at = self.context.now
        self.changed = True
        self.assignment.follow(epoch)
        if epoch is not None:
            self.context.share(len(epoch.members), epoch.leader == self.context.name)
            # Others' wishes stand until a machine has moved: dropped with each epoch, those of two controllers that
            # took machines over from a third kept displacing each other until a lease was over.
            self._keep_wishes()
            log.info("epoch %d: leader %s, members %s, %d machines moved",
                     epoch.number, epoch.leader, ",".join(sorted(epoch.members)), len(epoch.moved))  # fmt: skip

    def _propose(self) -> None:
        """Write the next epoch when the member keys differ from the present one's, or machines must move."""
        context, cluster_state, epoch = self.context, self.cluster_state, self.cluster_state.epoch
        mine = cluster_state.members.get(context.name)
        if self.incarnation is None or mine is None or mine.incarnation != self.incarnation:
            self._mismatch_since = None
            return
        live = {name: member.incarnation for name, member in cluster_state.members.items()}
        if self._move_requests:
            self._keep_wishes()
        moves = dict.fromkeys(self._move_requests, context.name) if self.is_active() else {}
        moves_only = epoch is not None and epoch.members == live
        if moves_only and (not moves or context.now - self.epoch_seen_at < MOVES_APART):
            self._mismatch_since = None
            return
        if self._mismatch_since is None:
            self._mismatch_since = context.now
        wait = timedelta() if moves_only else turn(context.name, epoch, live)
        if context.now - self._mismatch_since < wait or not self._ready("propose"):
            return
        whole = next_epoch(epoch, live, moves, self.assignment.of_use)
        record = fitting(whole, int(context.cluster.state.value_kb * 1024))
        if len(record.moved) < len(whole.moved):
            log.error("epoch %d: no room for %d of the %d machines moved: they go back to the split by hash",
                      record.number, len(whole.moved) - len(record.moved), len(whole.moved))  # fmt: skip
        value = msgspec.json.encode(record)
        key = rec.MEMBERS + context.name

        def then(status: int, body: bytes) -> None:
            self._asking["propose"] = context.now + RETRY_DELAY
            if status == 200:
                cluster_state.apply(rec.EPOCH, value, wire.decode(wire.TxnReply, body).revision)
                self.see_epoch()
            elif status in (0, 409):
                self._refresh(rec.EPOCH)

        txn = wire.Txn(
            [
                wire.Condition(rec.EPOCH, cluster_state.version(rec.EPOCH)),
                wire.Condition(key, cluster_state.version(key)),
            ],
            [wire.Put(rec.EPOCH, msgspec.Raw(value))],
        )
        context.call_state("POST", wire.COMMIT_PATH, wire.encode(txn), then, writes=1, urgent=True)
