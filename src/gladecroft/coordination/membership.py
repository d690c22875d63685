"""Which controllers live, who leads, who owns which machine, and until when this one may act.

A controller's member key hangs on a state lease. Any change among the member keys is followed by a new epoch
record; every other commit is conditional on that record, so what rests on an older epoch fails. The right to act
rests on *good renewals*: the lease was renewed, a compare-only commit showed that epoch and member key stand as
this controller knows them, and the picture has caught up with the revision that this commit told.
"""

from __future__ import annotations

import logging
from datetime import timedelta
from functools import lru_cache
from hashlib import blake2b

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.messages import Watch, Watched
from gladecroft.coordination.node import SLACK, Node
from gladecroft.protocol import wire
from gladecroft.protocol.wire import JobSpec

log = logging.getLogger(__name__)

PAGE = 400
RETRY = timedelta(seconds=0.4)
#: How long newcomers wait for each other before they propose an epoch.
NEXT = timedelta(seconds=0.3)
TOKEN_BITS = 24
#: No key of a final state sorts after this: jobs' names end in digits.
AFTER_FINALS = rec.FINALS + "~"
#: Stands for the end of the listing.
LISTED = "~"
#: An epoch in which only machines move comes at the earliest so long after the one before: one for many machines.
MOVES_APART = timedelta(seconds=1.5)
STUCK = timedelta(seconds=2.5)
WATCH_APART = timedelta(milliseconds=100)


@lru_cache(maxsize=8192)
def _weight(member: str, thing: str) -> bytes:
    return blake2b(f"{member} {thing}".encode(), digest_size=8).digest()


def by_hash(members: list[str], thing: str) -> str:
    """Highest random weight: a member that goes moves only what was its own."""
    return max(members, key=lambda member: _weight(member, thing))


def fitting(record: rec.EpochRecord, most: int) -> rec.EpochRecord:
    """The record with as many of its moved machines, the latest, as fit into a value of so many bytes."""
    moved = list(record.moved.items())
    size = len(msgspec.json.encode(record))
    drop = 0
    while size > most and drop < len(moved):
        name, to = moved[drop]
        size -= len(msgspec.json.encode(name)) + len(msgspec.json.encode(to)) + 2
        drop += 1
    return msgspec.structs.replace(record, moved=dict(moved[drop:])) if drop else record


class Membership:
    def __init__(self, node: Node) -> None:
        self.node = node
        self.picture = node.picture
        self.lease: int | None = None
        self.incarnation: int | None = None
        self.epoch_seen_at = timedelta()
        self.changed = False
        #: Whether the present epoch follows the one known before it, with this incarnation in both.
        self.continuous = False
        self._epoch_incarnation: int | None = None
        #: Until when this controller may act, and when the renewal was sent on which that rests.
        self.entitled_until = timedelta(days=-1)
        self.renewed_at = timedelta(days=-1)
        self._newest = -1
        self._entitled_since: timedelta | None = None
        self._credits: list[tuple[timedelta, int]] = []
        self._last_renewal = timedelta(days=-1)
        self._asking: dict[str, timedelta] = {}
        self._page_after: str | None = None
        self._watch_open = False
        self._watch_next = timedelta()
        self._mismatch_since: timedelta | None = None
        self._known_epoch = -1
        self._wanted_moves: dict[str, str] = {}
        self._lag: tuple[timedelta, int] | None = None
        self._members_list: list[str] = []
        self._members_by_zone: dict[str, list[str]] = {}
        self._owners: dict[tuple[str, str], str] = {}
        self._homes: dict[str, str] = {}
        self._zones = {peer.name: peer.zone for peer in node.platform.peers} | {node.name: node.platform.zone}

    # Questions -----------------------------------------------------------------------------------------------

    @property
    def epoch(self) -> rec.EpochRecord | None:
        return self.picture.epoch

    def member(self) -> bool:
        """In the epoch, with this incarnation."""
        epoch = self.picture.epoch
        return (
            epoch is not None
            and self.incarnation is not None
            and (epoch.members.get(self.node.name) == self.incarnation)
        )

    def entitled(self) -> bool:
        entitled = self._may_act()
        if not entitled:
            self._entitled_since = None
        elif self._entitled_since is None:
            self._entitled_since = self.node.now
        return entitled

    def settled(self, span: timedelta) -> bool:
        """Whether this controller has been entitled without a break for that long."""
        return self.entitled() and self._entitled_since is not None and self.node.now - self._entitled_since >= span

    def _may_act(self) -> bool:
        # The epoch may be known (by a direct read) before the changes that precede it: acting on that mix could
        # start an attempt again whose end a former owner has committed. So the watch must have reached the epoch.
        return self.caught_up() and self.node.now < self.entitled_until

    def caught_up(self) -> bool:
        """In the epoch, and with a picture that has reached it."""
        return self.node.loaded and self.member() and self.picture.revision >= self.picture.epoch_version

    def newest_epoch(self) -> int:
        """The number of the newest epoch ever known here; listing all records anew forgets none."""
        if self.picture.epoch is not None:
            self._newest = max(self._newest, self.picture.epoch.number)
        return self._newest

    def leads(self) -> bool:
        return self.entitled() and self.picture.epoch is not None and self.picture.epoch.leader == self.node.name

    def owner(self, machine: str, zone: str | None = None) -> str | None:
        """Whose part the machine is in: a controller of its own zone if there is one, so that zones which can't
        reach each other go on working inside. ``zone`` serves for machines that are not known yet.

        Of a machine whose zone is not known nobody is the owner. If such a one were taken for its owner it would sooner
        or later call the machine's work lost, while the true owner goes on answering it.
        """
        epoch = self.picture.epoch
        if epoch is None or not epoch.members:
            return None
        moved = epoch.moved.get(machine)
        if moved in epoch.members:
            return moved
        known = self.picture.machines.get(machine)
        if known is None and zone is None:
            return None
        where = (machine, known.zone if known is not None else zone or "")
        owner = self._owners.get(where)
        if owner is None:
            if len(self._owners) > 4 * len(self.picture.machines) + 1000:
                self._owners.clear()
            near = self._members_by_zone.get(where[1])
            owner = self._owners[where] = by_hash(near or self._members_list, machine)
        return owner

    def home(self, team: str) -> str | None:
        """The controller that places the tasks of a team's jobs: one for the whole team, so that its limit and the
        order of its jobs are not fought over. Gangs go to the leader, and with them all that their team has."""
        if self.picture.gang_teams.get(team):
            return self.picture.epoch.leader if self.picture.epoch is not None else None
        home = self._homes.get(team)
        if home is None and self._members_list:
            home = by_hash(self._members_list, team)
        return home

    def _share_out_teams(self) -> None:
        """Give each team its home by hash, but no controller more than its share of the teams.

        A team that is the only one has its home at the leader: who rents and returns machines then knows at once which
        work has ended, though the records don't say so yet.
        """
        self._homes = {}
        epoch = self.picture.epoch
        if not self._members_list or epoch is None:
            return
        if len(self.picture.limits) == 1:
            self._homes = dict.fromkeys(self.picture.limits, epoch.leader)
            return
        most = -(-len(self.picture.limits) // len(self._members_list))
        held = dict.fromkeys(self._members_list, 0)
        for team in sorted(self.picture.limits):
            home = by_hash([member for member in self._members_list if held[member] < most], team)
            self._homes[team] = home
            held[home] += 1

    def job_home(self, spec: JobSpec) -> str | None:
        """The controller that places this job's tasks; gangs go whole to the leader."""
        if spec.kind is wire.Kind.GANG:
            return self.picture.epoch.leader if self.picture.epoch is not None else None
        return self.home(spec.team)

    def _of_use(self, machine: str) -> bool:
        """Whether a machine that was moved is still there."""
        use = self.picture.aside.get(machine, rec.MachineUse.UP)
        if use in (rec.MachineUse.GONE, rec.MachineUse.RETURNING):
            return machine in self.picture.on_machine
        return machine in self.picture.machines or machine in self.picture.on_machine

    def base_token(self) -> int:
        return 0 if self.picture.epoch is None else self.picture.epoch.number << TOKEN_BITS

    def want_move(self, machine: str) -> None:
        """This controller alone hears the machine; ask for it with the next epoch."""
        self._wanted_moves[machine] = self.node.name

    # Work ----------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        node = self.node
        if not node.loaded:
            self._load()
            return
        if not self._watch_open and node.now >= self._watch_next:
            self._watch_open = True
            # At most a fifth of this controller's requests go into watches; and where there are many, what a tenth of a
            # second brings comes together: each answer wakes the process, which costs more than what is in it.
            self._watch_next = node.now + max(WATCH_APART, timedelta(seconds=5 / max(1.0, node.requests.rate)))
            node.requests.take(node.now)
            node.effect(Watch(self.picture.revision))
        if self.lease is None:
            self._get_lease()
        elif self.incarnation is None:
            self._join()
        elif node.now - self._last_renewal >= node.ttl / 5:
            self._renew()
        self.see_epoch()
        self._propose()

    def _ready(self, what: str) -> bool:
        """Whether to ask for this (again) now."""
        if self.node.now < self._asking.get(what, timedelta(days=-1)):
            return False
        self._asking[what] = self.node.now + 3 * RETRY
        return True

    def _load(self) -> None:
        """List the records, page by page; the watch then goes on from the first page's revision.

        The states of jobs that are over are kept for ever and would make every start longer than the last; they are
        left out and read when somebody asks. The epoch's key sorts before them, so it is read by itself, last: a
        change to it after the first page's revision also comes by the watch.
        """
        if not self._ready("load"):
            return
        after = self._page_after or AFTER_FINALS

        def then(status: int, body: bytes) -> None:
            self._asking.pop("load", None)
            if status != 200:
                self._asking["load"] = self.node.now + RETRY
                return
            page: wire.Range = wire.decode(wire.Range, body)
            if self._page_after is None:
                self.picture.revision = page.revision
            for item in page.items:
                self.picture.apply(item.key, item.value, item.version)
            if page.more and page.items:
                self._page_after = page.items[-1].key
            else:
                self._page_after = LISTED
            self._load()

        def epoch(status: int, body: bytes) -> None:
            self._asking.pop("load", None)
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.apply(item.key, item.value, item.version)
            elif status != 404:
                self._asking["load"] = self.node.now + RETRY
                return
            self._page_after = None
            self.node.loaded = True
            log.info("picture loaded at revision %d: %d jobs, %d machines",
                     self.picture.revision, len(self.picture.jobs), len(self.picture.machines))  # fmt: skip
            self.tick()

        if after == LISTED:
            sent = self.node.state("GET", wire.key_path(rec.EPOCH), None, epoch, urgent=True)
        else:
            sent = self.node.state("GET", wire.range_path(rec.ROOT, after, PAGE), None, then, urgent=True)
        if not sent:
            self._asking.pop("load", None)

    def watched(self, event: Watched) -> None:
        self._watch_open = False
        if event.gap:
            # The picture can't be caught up by changes: read everything again from nothing.
            log.error("the watch lost its place at revision %d: reading all records again", self.picture.revision)
            self.picture.reset()
            self.node.loaded = False
            self._page_after = None
            self._known_epoch = -1
            self._credits.clear()
            self.entitled_until = timedelta(days=-1)
        elif event.reply is not None:
            for entry in event.reply.events:
                if entry.put is not None:
                    self.picture.apply(entry.put, entry.value, entry.version)
                elif entry.delete is not None:
                    self.picture.apply(entry.delete, None, entry.version)
            self.picture.revision = max(self.picture.revision, event.reply.revision)
            self._use_credits()
        elif event.failed:
            self._watch_next = self.node.now + RETRY

    def _get_lease(self) -> None:
        if not self._ready("lease"):
            return

        def then(status: int, body: bytes) -> None:
            self._asking["lease"] = self.node.now + RETRY
            if status == 200:
                self.lease = wire.decode(wire.Granted, body).lease
                self._join()

        body = wire.encode(wire.Grant(int(self.node.ttl.total_seconds() * 1000)))
        self.node.state("POST", wire.GRANTS_PATH, body, then, urgent=True)

    def _join(self) -> None:
        """Write the member key; the lease's number is the incarnation, so no two are alike."""
        if not self._ready("join"):
            return
        lease = self.lease
        assert lease is not None
        key = rec.MEMBERS + self.node.name
        value = msgspec.json.encode(rec.MemberRecord(lease))

        def then(status: int, body: bytes) -> None:
            self._asking["join"] = self.node.now + RETRY
            if status == 200:
                revision = wire.decode(wire.TxnReply, body).revision
                self.picture.apply(key, value, revision)
                self.incarnation = lease
                log.info("joined as incarnation %d", lease)
                self._renew()
                self._propose()
            elif status == 400:
                self.lease = None
            elif status in (0, 409):
                self._refresh(key)

        txn = wire.Txn([wire.Condition(key, self.picture.version(key))], [wire.Put(key, msgspec.Raw(value), lease)])
        self.node.state("POST", wire.COMMIT_PATH, wire.encode(txn), then, writes=1, urgent=True)

    def _refresh(self, key: str) -> None:
        """Read a key whose state is in doubt."""

        def then(status: int, body: bytes) -> None:
            if status == 200:
                item: wire.Item = wire.decode(wire.Item, body)
                self.picture.apply(key, item.value, item.version)
                if key == rec.MEMBERS + self.node.name and self.incarnation is None:
                    record: rec.MemberRecord = wire.decode(rec.MemberRecord, bytes(item.value))
                    if record.incarnation == self.lease:
                        self.incarnation = self.lease
            elif status == 404:
                self.picture.apply(key, None, wire.decode(wire.Missing, body).revision)

        self.node.state("GET", wire.key_path(key), None, then, urgent=True)

    def refresh_epoch(self) -> None:
        """A commit failed on the epoch: learn the new one without waiting for the watch."""
        if self._ready("epoch"):
            self._refresh(rec.EPOCH)

    def _renew(self) -> None:
        if not self._ready("renew"):
            return
        node, sent, lease = self.node, self.node.now, self.lease
        self._last_renewal = sent
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
                self.lease = self.incarnation = None
                self.entitled_until = timedelta(days=-1)
                self._credits.clear()
            else:
                self._last_renewal = node.now - node.ttl / 5 + RETRY

        def checked(status: int, body: bytes) -> None:
            if status == 200:
                both("check", wire.decode(wire.TxnReply, body).revision)

        assert lease is not None
        node.state("POST", wire.renew_path(lease), b"{}", renewed, urgent=True)
        key = rec.MEMBERS + node.name
        txn = wire.Txn([
            wire.Condition(rec.EPOCH, self.picture.version(rec.EPOCH)),
            wire.Condition(key, self.picture.version(key)),
        ])  # fmt: skip
        node.state("POST", wire.COMMIT_PATH, wire.encode(txn), checked, urgent=True)

    def _use_credits(self) -> None:
        """A renewal counts once the picture holds all that was committed before its check."""
        waiting = []
        for sent, ledger in self._credits:
            if ledger <= self.picture.revision:
                self.renewed_at = max(self.renewed_at, sent)
                self.entitled_until = max(self.entitled_until, sent + self.node.ttl / SLACK)
            else:
                waiting.append((sent, ledger))
        self._credits = waiting[-20:]
        if waiting and self.node.now - waiting[0][0] > STUCK and self._watch_open:
            log.info("the watch lags behind revision %d", waiting[0][1])

    def see_epoch(self) -> None:
        epoch = self.picture.epoch
        number = -1 if epoch is None else epoch.number
        if number == self._known_epoch:
            return
        mine = None if epoch is None else epoch.members.get(self.node.name)
        # Changed more than once before anybody looked (the flag is still up), epochs are as good as missed.
        self.newest_epoch()
        self.continuous = not self.changed and number == self._known_epoch + 1 and mine == self._epoch_incarnation
        self._epoch_incarnation = mine
        self._known_epoch = number
        self.epoch_seen_at = self.node.now
        self.changed = True
        self._members_list = sorted(epoch.members) if epoch else []
        self._members_by_zone = {}
        for name in self._members_list:
            self._members_by_zone.setdefault(self._zones.get(name) or "?", []).append(name)
        self._owners.clear()
        self._share_out_teams()
        if epoch is not None:
            self.node.share(len(epoch.members), epoch.leader == self.node.name)
            self._wanted_moves.clear()
            log.info("epoch %d: leader %s, members %s, %d machines moved",
                     epoch.number, epoch.leader, ",".join(sorted(epoch.members)), len(epoch.moved))  # fmt: skip

    def _propose(self) -> None:
        """Write the next epoch when the member keys differ from the present one's, or machines must move."""
        node, picture, epoch = self.node, self.picture, self.picture.epoch
        mine = picture.members.get(node.name)
        if self.incarnation is None or mine is None or mine.incarnation != self.incarnation:
            self._mismatch_since = None
            return
        live = {name: member.incarnation for name, member in picture.members.items()}
        moves = {m: to for m, to in self._wanted_moves.items() if self.owner(m) != to} if self.entitled() else {}
        moves_only = epoch is not None and epoch.members == live
        if moves_only and (not moves or node.now - self.epoch_seen_at < MOVES_APART):
            self._mismatch_since = None
            return
        if self._mismatch_since is None:
            self._mismatch_since = node.now
        old = epoch.members if epoch is not None else {}
        order = sorted(live, key=lambda name: (old.get(name) != live[name], live[name]))
        newcomers = [name for name in order if old.get(name) != live[name]]
        if moves_only:
            wait = timedelta()
        elif node.name in newcomers:
            # Those who were there before come first, but may be dead with their leases still running. After a crash of
            # all, leases of machines run out in the second that it takes until the last has come back.
            wait = (1 + newcomers.index(node.name)) * NEXT
        else:
            wait = order.index(node.name) * 2 * RETRY
        if node.now - self._mismatch_since < wait or not self._ready("propose"):
            return
        leader = epoch.leader if epoch is not None and live.get(epoch.leader) == old.get(epoch.leader) else order[0]
        kept = {m: to for m, to in (epoch.moved if epoch else {}).items() if live.get(to, -1) == old.get(to)}
        kept = {m: to for m, to in {**kept, **moves}.items()
                if m in moves or self._of_use(m)}  # fmt: skip
        number = (epoch.number if epoch else 0) + 1
        record = fitting(rec.EpochRecord(number, leader, live, kept), int(node.cluster.state.value_kb * 1024))
        if len(record.moved) < len(kept):
            log.error("epoch %d: no room for %d of the %d machines moved: they go back to the split by hash",
                      number, len(kept) - len(record.moved), len(kept))  # fmt: skip
        value = msgspec.json.encode(record)
        key = rec.MEMBERS + node.name

        def then(status: int, body: bytes) -> None:
            self._asking["propose"] = node.now + RETRY
            if status == 200:
                picture.apply(rec.EPOCH, value, wire.decode(wire.TxnReply, body).revision)
                self.see_epoch()
            elif status in (0, 409):
                self._refresh(rec.EPOCH)

        txn = wire.Txn(
            [wire.Condition(rec.EPOCH, picture.version(rec.EPOCH)), wire.Condition(key, picture.version(key))],
            [wire.Put(rec.EPOCH, msgspec.Raw(value))],
        )
        node.state("POST", wire.COMMIT_PATH, wire.encode(txn), then, writes=1, urgent=True)
