"""Machines that report to another than their owner: whether they move, and the questions that it takes to know."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from gladecroft.coordination.context import CLOCK_SKEW_FACTOR, ControllerContext
from gladecroft.coordination.events import IncomingRequest
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import ReportTarget

log = logging.getLogger(__name__)

#: Allowed for a report on its way.
MARGIN = timedelta(seconds=0.5)
#: How long a machine may take to find a new owner.
SETTLED = timedelta(seconds=6)
#: How long a machine's report waits for the answer whether it moves here; machines wait 4 s for an answer.
MOVE_LIMIT = timedelta(seconds=2.5)
#: At most so many machines are asked at a time whether they hear this controller.
PROBES = 32
#: So many machines of one owner that it does not hear, within the time that all take to turn up elsewhere, speak of a
#: fault that they share.
SHARED = 3
SHARED_WITHIN = timedelta(seconds=6)
BOUNCE_APART = timedelta(seconds=3)
BOUNCE_WINDOW = timedelta(seconds=20)


class MisroutedReports:
    """``machines``: those that this controller owns, by name; ``reported`` handles a report (anew)."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machines: dict[str, Machine],
        reported: Callable[[IncomingRequest], None],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        #: Each known machine's owner, and since when.
        self.owners: dict[str, tuple[str, timedelta]] = {}
        self._machines = machines
        self._handle_report = reported
        self._bounced: dict[str, timedelta] = {}
        #: Machines that are to be asked whether they hear this controller, with their addresses, and those that are
        #: asked.
        self._to_probe: dict[str, str] = {}
        self._probing: set[str] = set()
        #: By owner, machines that it does not hear, and when all of its machines were last asked about.
        self._unheard: dict[str, dict[str, timedelta]] = {}
        self._asked_of_all: dict[str, timedelta] = {}
        self._moving: dict[str, tuple[IncomingRequest, timedelta]] = {}
        #: Machines that came here instead of to their owners, which are to be asked about them.
        self._to_ask: dict[str, dict[str, None]] = {}
        self._asking: set[str] = set()
        #: Owners that don't answer, since when, and when last they did not.
        self._mute: dict[str, tuple[timedelta, timedelta]] = {}

    def epoch_changed(self) -> None:
        owners = {name: self.membership.owner(name) or "" for name in self.cluster_state.machines}
        for name, owner in owners.items():
            if self.owners.get(name, ("",))[0] != owner:
                self._bounced.pop(name, None)
                self.owners[name] = (owner, self.context.now)
        for name in [name for name in self.owners if name not in owners]:
            del self.owners[name]
        self._to_probe.clear()

    def handle_report(self, request: IncomingRequest, machine: str, owner: str | None, addr: str = "") -> None:
        """Another's machine has reported here: answer with its owner's name, or keep the report until it is known
        whether the machine moves here.

        Who may not act moves nothing, so it keeps nothing: through an outage, with machines answered by consent,
        each kept report was handled and kept anew with every step, all of a controller's time, and never answered.
        """
        if owner is not None and self.membership.is_active() and self.bounce(machine, owner, addr):
            before = self._moving.get(machine)
            if before is not None:
                self._send_back(before[0], owner)
            self._moving[machine] = (request, self.context.now + MOVE_LIMIT)
        else:
            self._send_back(request, owner)

    def _send_back(self, request: IncomingRequest, owner: str | None) -> None:
        self.context.reply(request.request_id, 421, wire.encode(ReportTarget(owner)))

    def bounce(self, name: str, owner: str, addr: str = "") -> bool:
        """Another's machine reports here. Whether it waits for its answer, as it may have to move here.

        A known machine moves only if its owner says that it does not hear it, or does not answer for so long that it
        would have lost its membership if it were dead. Moved at its first report elsewhere, machines left owners that
        had only refused one report, or were about to be started again; each such epoch made owners refuse more
        reports, and the moves never ended. Right after a change of owner a machine may still be on its way; so too
        after a time in which nobody could act.
        """
        now = self.context.now
        since = self.owners.get(name, ("", self.membership.epoch_seen_at))[1]
        known = name in self.cluster_state.machines
        if known and now - since > SETTLED and self.membership.active_for(SETTLED):
            self._to_ask.setdefault(owner, {})[name] = None
            return True
        first = self._bounced.get(name)
        if first is None or now - first > BOUNCE_WINDOW:
            self._bounced[name] = now
        elif now - first >= BOUNCE_APART:
            if known:
                self._to_ask.setdefault(owner, {})[name] = None
            elif addr:
                self._to_probe[name] = addr
            return True
        return False

    def ask_owners(self) -> None:
        """Ask the owners of machines that came here whether they hear them, and machines whether they hear us."""
        for name in list(self._to_probe)[: max(0, PROBES - len(self._probing))]:
            self._probe(name, self._to_probe.pop(name))
        for owner, names in self._to_ask.items():
            if names and owner not in self._asking:
                batch = list(names)[: peers.MAX_MACHINES_PER_MESSAGE]
                for name in batch:
                    del names[name]
                self._ask_owner(owner, batch)

    def _ask_owner(self, owner: str, names: list[str]) -> None:
        context = self.context

        def then(status: int, body: bytes) -> None:
            self._asking.discard(owner)
            heard: list[str] = []
            if status == 200:
                self._mute.pop(owner, None)
                heard = wire.decode(peers.ReportingMachines, body).machines
            elif status > 0:
                return  # it lives; if it may not act for long, another epoch comes
            else:
                since, last = self._mute.get(owner, (context.now, context.now))
                if context.now - last > BOUNCE_WINDOW:
                    since = context.now
                self._mute[owner] = (since, context.now)
                if context.now - since < context.member_ttl * CLOCK_SKEW_FACTOR:
                    return  # soon it answers again, or another epoch says whose they are
            self._ask_of_all(owner, [name for name in names if name not in heard])
            for name in names:
                if name in heard or self.membership.owner(name) != owner:
                    self._bounced.pop(name, None)
                    if name in self._moving:
                        self._moving[name] = (self._moving[name][0], context.now)  # to be answered now
                elif self.membership.is_active():
                    self._move_if_it_hears(name)

        if context.call_peer(owner, peers.REPORTING_MACHINES_PATH, wire.encode(peers.ReportingMachines(names)), then):
            self._asking.add(owner)

    def _ask_of_all(self, owner: str, unheard: list[str]) -> None:
        """When several of an owner's machines turn up that it does not hear, ask about all that it has, so that they
        move with one epoch: one by one as they came they took a dozen, and the last came after its lease."""
        now = self.context.now
        known = self._unheard.setdefault(owner, {})
        known.update(dict.fromkeys(unheard, now))
        for name in [name for name, at in known.items() if now - at > SHARED_WITHIN]:
            del known[name]
        if len(known) < SHARED or now - self._asked_of_all.get(owner, timedelta(days=-1)) < SHARED_WITHIN:
            return
        self._asked_of_all[owner] = now
        to_ask = self._to_ask.setdefault(owner, {})
        for name in self.cluster_state.machines:
            if name not in known and self.membership.owner(name) == owner:
                to_ask[name] = None

    def _move_if_it_hears(self, name: str) -> None:
        """A machine that its owner does not hear moves here if it hears this controller: if it answers.

        Else it may be deaf to all: it goes from one controller to the next, and moved at each step it cost an epoch
        every few seconds and was never given up. That it comes back from its owner proves nothing: copies of a dead
        machine's reports do so too, and each pair of them moved it.
        """
        known = self.cluster_state.machines.get(name)
        if known is not None and known.addr:
            self._to_probe[name] = known.addr

    def _request_move(self, name: str) -> None:
        owner = self.membership.owner(name)
        log.info("%s can't reach its owner%s: moving it here", name, f" {owner}" if owner else "")
        self.membership.request_move(name)

    def _probe(self, name: str, addr: str) -> None:
        """Ask a machine for its report, only to see whether it hears."""
        if name in self._probing:
            return
        self._probing.add(name)

        def then(status: int, body: bytes) -> None:
            self._probing.discard(name)
            if status == 200 and self.membership.owner(name) != self.context.name and self.membership.is_active():
                self._request_move(name)

        self.context.get_from_worker(addr, wire.STATUS_PATH, then)

    def handle_reporting_query(self, request: IncomingRequest) -> None:
        """Say which of some machines report here."""
        message = self.context.decode_request(request, peers.ReportingMachines)
        if message is None:
            return
        if not self.membership.active_for(SETTLED):
            # Its machines may be on their way here: started anew, an owner once lost a hundred at its first words.
            self.context.reply_error(request.request_id, 503, "not long in office", 1)
            return
        there = [name for name in message.machines if self._heard_lately(name)]
        self.context.reply(request.request_id, 200, wire.encode(peers.ReportingMachines(there)))

    def _heard_lately(self, name: str) -> bool:
        machine = self._machines.get(name)
        if machine is None or machine.heard_at is None or machine.acked_at is None:
            return False
        # That its reports arrive is not enough: who does not hear this owner is to find one that it hears.
        usual = 1.25 * self.context.report_interval
        heard, shown = self.context.now - machine.heard_at, self.context.now - machine.acked_at
        return heard <= usual + 2 * MARGIN and shown <= 2 * usual + 2 * MARGIN

    def answer(self) -> None:
        """Answer the reports of machines that were asked for: they are ours now, or their owner is named."""
        for name, (asked, until) in list(self._moving.items()):
            owner = self.membership.owner(name)
            if owner == self.context.name or not self.membership.is_active():
                del self._moving[name]
                self._handle_report(asked)
            elif self.context.now >= until:
                del self._moving[name]
                self._send_back(asked, owner)
