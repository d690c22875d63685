"""Machines that report to another than their owner: whether they move, and the questions that it takes to know."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.coordination.keeper.machine import Machine
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.messages import Asked
from gladecroft.coordination.node import SLACK, Node
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Steward

log = logging.getLogger(__name__)

#: Allowed for a report on its way.
MARGIN = timedelta(seconds=0.5)
#: How long a machine may take to find a new owner.
SETTLED = timedelta(seconds=6)
#: How long a machine's report waits for the answer whether it moves here; machines wait 4 s for an answer.
MOVE_LIMIT = timedelta(seconds=2.5)
BOUNCE_APART = timedelta(seconds=3)
BOUNCE_WINDOW = timedelta(seconds=20)


class Visits:
    """``machines``: those that this controller owns, by name; ``reported`` handles a report (anew)."""

    def __init__(
        self, node: Node, membership: Membership, machines: dict[str, Machine], reported: Callable[[Asked], None]
    ) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        #: Each known machine's owner, and since when.
        self.owners: dict[str, tuple[str, timedelta]] = {}
        self._machines = machines
        self._reported = reported
        self._bounced: dict[str, timedelta] = {}
        self._moving: dict[str, tuple[Asked, timedelta]] = {}
        #: Machines that came here instead of to their owners, which are to be asked about them.
        self._to_ask: dict[str, dict[str, None]] = {}
        self._asking: set[str] = set()
        #: Owners that don't answer, since when, and when last they did not.
        self._mute: dict[str, tuple[timedelta, timedelta]] = {}

    def epoch_changed(self) -> None:
        owners = {name: self.membership.owner(name) or "" for name in self.picture.machines}
        for name, owner in owners.items():
            if self.owners.get(name, ("",))[0] != owner:
                self._bounced.pop(name, None)
                self.owners[name] = (owner, self.node.now)
        for name in [name for name in self.owners if name not in owners]:
            del self.owners[name]

    def visited(self, asked: Asked, machine: str, owner: str | None) -> None:
        """Another's machine has reported here: answer with its owner's name, or keep the report until it is known
        whether the machine moves here."""
        if owner is not None and self.bounce(machine, owner):
            self._moving[machine] = (asked, self.node.now + MOVE_LIMIT)
        else:
            self.node.reply(asked.number, 421, wire.encode(Steward(owner)))

    def bounce(self, name: str, owner: str) -> bool:
        """Another's machine reports here. Whether it waits for its answer, as it may have to move here.

        A known machine moves only if its owner says that it does not hear it, or does not answer for so long that it
        would have lost its membership if it were dead. Moved at its first report elsewhere, machines left owners that
        had only refused one report, or were about to be started again; each such epoch made owners refuse more
        reports, and the moves never ended. Right after a change of owner a machine may still be on its way; so too
        after a time in which nobody could act.
        """
        now = self.node.now
        since = self.owners.get(name, ("", self.membership.epoch_seen_at))[1]
        known = name in self.picture.machines
        if known and now - since > SETTLED and self.membership.settled(SETTLED):
            self._to_ask.setdefault(owner, {})[name] = None
            return True
        first = self._bounced.get(name)
        if first is None or now - first > BOUNCE_WINDOW:
            self._bounced[name] = now
        elif now - first >= BOUNCE_APART:
            if known:
                self._to_ask.setdefault(owner, {})[name] = None
            else:
                log.info("%s keeps coming here, not to %s: moving it here", name, owner)
                self.membership.want_move(name)
            return True
        return False

    def ask_owners(self) -> None:
        """Ask the owners of machines that came here whether they hear them."""
        for owner, names in self._to_ask.items():
            if names and owner not in self._asking:
                batch = list(names)[: peers.MOST_HEARD]
                for name in batch:
                    del names[name]
                self._ask_owner(owner, batch)

    def _ask_owner(self, owner: str, names: list[str]) -> None:
        node = self.node

        def then(status: int, body: bytes) -> None:
            self._asking.discard(owner)
            heard: list[str] = []
            if status == 200:
                self._mute.pop(owner, None)
                heard = wire.decode(peers.Names, body).machines
            elif status > 0:
                return  # it lives; if it may not act for long, another epoch comes
            else:
                since, last = self._mute.get(owner, (node.now, node.now))
                if node.now - last > BOUNCE_WINDOW:
                    since = node.now
                self._mute[owner] = (since, node.now)
                if node.now - since < node.ttl * SLACK:
                    return  # soon it answers again, or another epoch says whose they are
            for name in names:
                if name in heard or self.membership.owner(name) != owner:
                    self._bounced.pop(name, None)
                    if name in self._moving:
                        self._moving[name] = (self._moving[name][0], node.now)  # to be answered now
                elif self.membership.entitled():
                    log.info("%s can't reach its owner %s: moving it here", name, owner)
                    self.membership.want_move(name)

        if node.peer(owner, peers.HEARS_PATH, wire.encode(peers.Names(names)), then):
            self._asking.add(owner)

    def hears(self, asked: Asked) -> None:
        """Say which of some machines report here."""
        try:
            message: peers.Names = wire.decode(peers.Names, asked.body)
        except msgspec.DecodeError as error:
            self.node.refuse(asked.number, 400, str(error))
            return
        if not self.membership.settled(SETTLED):
            # Its machines may be on their way here: started anew, an owner once lost a hundred at its first words.
            self.node.refuse(asked.number, 503, "not long in office", 1)
            return
        there = [name for name in message.machines if self._heard_lately(name)]
        self.node.reply(asked.number, 200, wire.encode(peers.Names(there)))

    def _heard_lately(self, name: str) -> bool:
        machine = self._machines.get(name)
        heard = None if machine is None else machine.heard_at
        return heard is not None and self.node.now - heard <= 1.25 * self.node.report + 2 * MARGIN

    def answer(self) -> None:
        """Answer the reports of machines that were asked for: they are ours now, or their owner is named."""
        for name, (asked, until) in list(self._moving.items()):
            owner = self.membership.owner(name)
            if owner == self.node.name or not self.membership.entitled():
                del self._moving[name]
                self._reported(asked)
            elif self.node.now >= until:
                del self._moving[name]
                self.node.reply(asked.number, 421, wire.encode(Steward(owner)))
