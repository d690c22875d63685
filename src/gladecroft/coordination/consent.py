"""The right to go on answering machines through an outage of the state service, by consent of all siblings.

A controller may act for one member lease after its last good renewal, because for so long nobody can have taken its
machines. In an outage nobody can take them at all, yet a controller can't tell an outage from being refused alone. Its
siblings can: each says whether the state service serves *it*, and whether it knows a newer epoch. While every one of
them, members or not, says "neither", the machines go on being answered, and no work is lost to their leases.

Why this is safe is told in ``docs/safety.md``. In short: who acts under a newer epoch has learned of it before and from
then on consents no more, so this controller stops within a member lease of that, as it would without consent. A right
that has lapsed is never revived here. And what may not be known here, a cancellation, is outlasted by its time limit.

It owns what siblings have said. It never gives the right to commit, rent, return, move or command unasked.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.coordination.membership import Membership
from gladecroft.coordination.messages import Asked
from gladecroft.coordination.node import SLACK, Node
from gladecroft.protocol import peers, wire

log = logging.getLogger(__name__)

#: Siblings are asked so many times in a member lease: a lost message or two must not end the consent.
ASKS_A_LEASE = 10
#: The part of what a cancellation leaves after a machine's lease for which machines may be answered on old news.
OLD_NEWS = 0.8
LONG_AGO = timedelta(days=-1)


class Consent:
    def __init__(self, node: Node, membership: Membership) -> None:
        self.node = node
        self.membership = membership
        self._siblings = [peer.name for peer in node.platform.peers]
        #: When the last request was sent to which a sibling has consented, under this epoch.
        self._given: dict[str, timedelta] = {}
        self._asking: set[str] = set()
        self._asked_at = LONG_AGO
        self._until = LONG_AGO
        workers = node.cluster.workers
        self._longest = timedelta(seconds=OLD_NEWS * (workers.cancel_s - workers.lease_s)) / SLACK

    def answers(self) -> bool:
        """Whether this controller may answer its machines: entitled to act, or with the consent of all siblings."""
        return self.membership.entitled() or self.membership.caught_up() and self.node.now < self._until

    def outage(self) -> bool:
        """Whether every sibling has lately said that the state service does not serve it either."""
        lately = self.node.now - self.node.ttl / 2
        return self.node.unserved() and all(self._given.get(name, LONG_AGO) > lately for name in self._siblings)

    def epoch_changed(self) -> None:
        """What was said of an earlier epoch counts no more."""
        self._given.clear()
        self._until = LONG_AGO

    def tick(self) -> None:
        node, membership = self.node, self.membership
        epoch = membership.epoch
        if not node.unserved():
            # Off while the state service answers: nothing is asked, and what was said before is not built on later.
            self._given.clear()
            if node.now >= self._until:
                self._until = LONG_AGO
            return
        if epoch is None or not membership.member() or not self._siblings:
            return
        self._extend()
        if node.now - self._asked_at >= node.ttl / ASKS_A_LEASE:
            self._asked_at = node.now
            for name in self._siblings:
                if name not in self._asking:
                    self._ask(name, epoch.number)

    def _extend(self) -> None:
        node = self.node
        right = max(self._until, self.membership.entitled_until)
        if node.now >= right:
            return  # lapsed: somebody may have acted on it; only a good renewal brings the right back
        oldest = min(self._given.get(name, LONG_AGO) for name in self._siblings)
        until = min(oldest + node.ttl / SLACK, self.membership.renewed_at + self._longest)
        if until > right:
            if self._until == LONG_AGO:
                log.info("the state service serves nobody: machines are answered by consent of all siblings")
            self._until = until

    def _ask(self, name: str, epoch: int) -> None:
        sent = self.node.now

        def then(status: int, body: bytes) -> None:
            self._asking.discard(name)
            now_epoch = self.membership.epoch
            if status == 200 and now_epoch is not None and now_epoch.number == epoch and self.node.unserved():
                self._given[name] = max(sent, self._given.get(name, LONG_AGO))

        if self.node.peer(name, peers.CONSENT_PATH, wire.encode(peers.ConsentWanted(epoch)), then):
            self._asking.add(name)

    def asked(self, asked: Asked) -> None:
        """A sibling asks whether it may go on under its epoch.

        Not if the state service serves this controller: then the sibling alone is refused and is to be replaced. Not if
        a newer epoch was ever known here: under that one its machines may be another's.
        """
        try:
            wanted: peers.ConsentWanted = wire.decode(peers.ConsentWanted, asked.body)
        except msgspec.DecodeError as error:
            self.node.refuse(asked.number, 400, str(error))
            return
        if not self.node.unserved():
            self.node.refuse(asked.number, 409, "the state service answers here")
        elif self.membership.newest_epoch() > wanted.epoch:
            self.node.refuse(asked.number, 409, "a newer epoch is known here")
        else:
            self.node.reply(asked.number, 200, b"{}")
