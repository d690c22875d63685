"""Handles reports of machines that another controller owns, and decides whether such machines move here.

A known machine moves only if its owner confirms that it does not receive its reports, or does not respond for so long
that it would have lost its membership, and if the machine itself responds to this controller. A machine without a
record moves once it responds.
"""

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

#: Time allowed for a report in flight.
TRANSIT_MARGIN = timedelta(seconds=0.5)
#: Time that a machine may need to find a new owner.
SETTLE_TIME = timedelta(seconds=6)
#: How long a report is held until it is decided whether the machine moves; machines wait 4 s for a reply.
MOVE_DECISION_TIMEOUT = timedelta(seconds=2.5)
#: Maximum number of concurrent probes of machines.
MAX_CONCURRENT_PROBES = 32
#: If an owner does not receive the reports of this many of its machines within the window, it is queried about all of
#: them. The window is the time in which all machines with a common fault report elsewhere.
SHARED_FAULT_MACHINES = 3
SHARED_FAULT_WINDOW = timedelta(seconds=6)
#: Until ownership has settled, a misrouted report counts only if another one came this much earlier within the window.
MISROUTED_MIN_INTERVAL = timedelta(seconds=3)
MISROUTED_WINDOW = timedelta(seconds=20)


class MisroutedReports:
    """Holds or redirects misrouted reports, and queries owners and machines to decide on moves.

    ``machines`` contains the machines that this controller owns, by name. ``handle_report`` processes a held report
    again.
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machines: dict[str, Machine],
        handle_report: Callable[[IncomingRequest], None],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        #: For each known machine, its owner and the time when that controller became its owner.
        self.owners: dict[str, tuple[str, timedelta]] = {}
        self._owned_machines = machines
        self._handle_report = handle_report
        #: When the first misrouted report of the current window came, by machine.
        self._misrouted_at: dict[str, timedelta] = {}
        #: Addresses of machines to probe for whether they respond to this controller, and machines being probed.
        self._to_probe: dict[str, str] = {}
        self._probing: set[str] = set()
        #: For each owner, the machines whose reports it does not receive, and when it was last queried about all.
        self._not_reporting: dict[str, dict[str, timedelta]] = {}
        self._queried_all_at: dict[str, timedelta] = {}
        #: Held reports, by machine, with the time until which they are held.
        self._held_reports: dict[str, tuple[IncomingRequest, timedelta]] = {}
        #: For each owner, the machines to query it about, and the owners with a query in flight.
        self._to_query: dict[str, dict[str, None]] = {}
        self._querying: set[str] = set()
        #: For each owner that does not respond, the times of the first and the latest failed query.
        self._unresponsive_owners: dict[str, tuple[timedelta, timedelta]] = {}

    def epoch_changed(self) -> None:
        """Updates the owners of all known machines and drops the state of those that changed owner."""
        owners = {name: self.membership.owner(name) or "" for name in self.cluster_state.machines}
        for name, owner in owners.items():
            if self.owners.get(name, ("",))[0] != owner:
                self._misrouted_at.pop(name, None)
                self.owners[name] = (owner, self.context.now)
        for name in [name for name in self.owners if name not in owners]:
            del self.owners[name]
        self._to_probe.clear()

    def handle_report(self, request: IncomingRequest, machine: str, owner: str | None, addr: str = "") -> None:
        """Handles a report of another owner's machine: redirects it, or holds it until a move is decided.

        A controller that is not active cannot move machines, so it holds no reports. When it did, during an outage in
        which machines got replies by peer consent, each held report was processed and held again in every step. That
        took all of the controller's time, and the reports never got a reply.
        """
        if owner is not None and self.membership.is_active() and self.should_hold(machine, owner, addr):
            previous = self._held_reports.get(machine)
            if previous is not None:
                self._redirect(previous[0], owner)
            self._held_reports[machine] = (request, self.context.now + MOVE_DECISION_TIMEOUT)
        else:
            self._redirect(request, owner)

    def _redirect(self, request: IncomingRequest, owner: str | None) -> None:
        self.context.reply(request.request_id, 421, wire.encode(ReportTarget(owner)))

    def should_hold(self, name: str, owner: str, addr: str = "") -> bool:
        """Whether to hold a misrouted report because its machine may have to move to this controller.

        Moving a machine on its first misrouted report took it from owners that had only refused one report or were
        about to restart. The new epoch made owners refuse more reports, so that the moves never ended.

        Right after a change of owner, or after a time in which no controller was active, a machine may still be on its
        way to its owner. Then only a repeated report counts.
        """
        now = self.context.now
        since = self.owners.get(name, ("", self.membership.epoch_seen_at))[1]
        known = name in self.cluster_state.machines
        if known and now - since > SETTLE_TIME and self.membership.active_for(SETTLE_TIME):
            self._to_query.setdefault(owner, {})[name] = None
            return True
        first = self._misrouted_at.get(name)
        if first is None or now - first > MISROUTED_WINDOW:
            self._misrouted_at[name] = now
        elif now - first >= MISROUTED_MIN_INTERVAL:
            if known:
                self._to_query.setdefault(owner, {})[name] = None
            elif addr:
                self._to_probe[name] = addr
            return True
        return False

    def query_owners(self) -> None:
        """Sends pending probes to machines, and pending queries to owners whether they receive reports of machines."""
        for name in list(self._to_probe)[: max(0, MAX_CONCURRENT_PROBES - len(self._probing))]:
            self._probe(name, self._to_probe.pop(name))
        for owner, names in self._to_query.items():
            if names and owner not in self._querying:
                batch = list(names)[: peers.MAX_MACHINES_PER_MESSAGE]
                for name in batch:
                    del names[name]
                self._query_owner(owner, batch)

    def _query_owner(self, owner: str, names: list[str]) -> None:
        context = self.context

        def then(status: int, body: bytes) -> None:
            self._querying.discard(owner)
            reporting: list[str] = []
            if status == 200:
                self._unresponsive_owners.pop(owner, None)
                reporting = wire.decode(peers.ReportingMachines, body).machines
            elif status > 0:
                return  # it is alive; if it stays inactive, a new epoch replaces it
            else:
                since, last = self._unresponsive_owners.get(owner, (context.now, context.now))
                if context.now - last > MISROUTED_WINDOW:
                    since = context.now
                self._unresponsive_owners[owner] = (since, context.now)
                if context.now - since < context.member_ttl * CLOCK_SKEW_FACTOR:
                    return  # it may respond again soon, or a new epoch reassigns its machines
            self._query_all_machines(owner, [name for name in names if name not in reporting])
            for name in names:
                if name in reporting or self.membership.owner(name) != owner:
                    self._misrouted_at.pop(name, None)
                    if name in self._held_reports:
                        # Replied to in the next step.
                        self._held_reports[name] = (self._held_reports[name][0], context.now)
                elif self.membership.is_active():
                    self._probe_before_move(name)

        if context.call_peer(owner, peers.REPORTING_MACHINES_PATH, wire.encode(peers.ReportingMachines(names)), then):
            self._querying.add(owner)

    def _query_all_machines(self, owner: str, not_reporting: list[str]) -> None:
        """Queries an owner about all of its machines once it does not receive the reports of several.

        This way they move in one epoch. Moved one by one as their reports came in, they took a dozen epochs, and the
        last machine moved only after its lease had ended.
        """
        now = self.context.now
        known = self._not_reporting.setdefault(owner, {})
        known.update(dict.fromkeys(not_reporting, now))
        for name in [name for name, at in known.items() if now - at > SHARED_FAULT_WINDOW]:
            del known[name]
        if (
            len(known) < SHARED_FAULT_MACHINES
            or now - self._queried_all_at.get(owner, timedelta(days=-1)) < SHARED_FAULT_WINDOW
        ):
            return
        self._queried_all_at[owner] = now
        to_query = self._to_query.setdefault(owner, {})
        for name in self.cluster_state.machines:
            if name not in known and self.membership.owner(name) == owner:
                to_query[name] = None

    def _probe_before_move(self, name: str) -> None:
        """Probes a machine whose reports its owner does not receive; it moves here only if it responds.

        A machine that receives no replies from any controller reports to one after the other. Moved each time, it
        cost an epoch every few seconds and was never considered lost. A repeated report proves nothing, because
        stale reports of a dead machine repeat as well; each pair of them moved the machine.
        """
        known = self.cluster_state.machines.get(name)
        if known is not None and known.addr:
            self._to_probe[name] = known.addr

    def _request_move(self, name: str) -> None:
        owner = self.membership.owner(name)
        log.info("%s cannot reach its owner%s: moving it here", name, f" {owner}" if owner else "")
        self.membership.request_move(name)

    def _probe(self, name: str, addr: str) -> None:
        """Requests a machine's status, only to see whether it responds to this controller."""
        if name in self._probing:
            return
        self._probing.add(name)

        def then(status: int, body: bytes) -> None:
            self._probing.discard(name)
            if status == 200 and self.membership.owner(name) != self.context.name and self.membership.is_active():
                self._request_move(name)

        self.context.get_from_worker(addr, wire.STATUS_PATH, then)

    def handle_reporting_query(self, request: IncomingRequest) -> None:
        """Answers a peer's query: of which machines does this controller receive reports?"""
        message = self.context.decode_request(request, peers.ReportingMachines)
        if message is None:
            return
        if not self.membership.active_for(SETTLE_TIME):
            # The machines may still be on their way here. A restarted owner that replied at once lost a hundred.
            self.context.reply_error(request.request_id, 503, "not long in office", 1)
            return
        reporting = [name for name in message.machines if self._receives_reports(name)]
        self.context.reply(request.request_id, 200, wire.encode(peers.ReportingMachines(reporting)))

    def _receives_reports(self, name: str) -> bool:
        machine = self._owned_machines.get(name)
        if machine is None or machine.heard_at is None or machine.acked_at is None:
            return False
        # Arriving reports are not enough: a machine that does not receive replies has to find another owner.
        interval = 1.25 * self.context.report_interval
        reported_ago, acked_ago = self.context.now - machine.heard_at, self.context.now - machine.acked_at
        return reported_ago <= interval + 2 * TRANSIT_MARGIN and acked_ago <= 2 * interval + 2 * TRANSIT_MARGIN

    def reply_to_held(self) -> None:
        """Replies to held reports.

        A report is processed again if its machine has moved here or this controller is no longer active. Else
        it is redirected when its time is up.
        """
        for name, (request, until) in list(self._held_reports.items()):
            owner = self.membership.owner(name)
            if owner == self.context.name or not self.membership.is_active():
                del self._held_reports[name]
                self._handle_report(request)
            elif self.context.now >= until:
                del self._held_reports[name]
                self._redirect(request, owner)
