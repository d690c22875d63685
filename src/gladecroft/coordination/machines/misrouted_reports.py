"""Handles misrouted reports, and decides whether their machines move to this controller.

A report is misrouted if it arrives at a controller that does not own its machine. A known machine moves only if it
responds to this controller, and if its owner either confirms that it does not receive the machine's reports or has been
unresponsive for so long that its membership has ended. A machine that is not known yet moves once it responds.
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

#: Time allowed for a report in transit.
TRANSIT_MARGIN = timedelta(seconds=0.5)
#: Time that a machine may need to find a new owner; then its ownership has settled.
SETTLE_TIME = timedelta(seconds=6)
#: How long a report is held while it is decided whether its machine moves. Machines wait 4 s for a reply.
MOVE_DECISION_TIMEOUT = timedelta(seconds=2.5)
#: Maximum number of concurrent probes: status requests that show whether a machine responds.
MAX_CONCURRENT_PROBES = 32
#: If an owner does not receive the reports of this many of its machines within the window, it is queried about all of
#: its machines. The window is the time in which all machines affected by a shared fault report to other controllers.
SHARED_FAULT_MACHINES = 3
SHARED_FAULT_WINDOW = timedelta(seconds=6)
#: Until ownership has settled, a misrouted report counts only if an earlier one of the same machine arrived within the
#: window and at least the minimum interval before.
MISROUTED_MIN_INTERVAL = timedelta(seconds=3)
MISROUTED_WINDOW = timedelta(seconds=20)


class MisroutedReports:
    """Holds or redirects misrouted reports, and queries owners and machines to decide on moves.

    ``machines`` contains the machines that this controller owns, by id. ``handle_report`` processes a held report
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
        #: When the first misrouted report of the current window arrived, by machine.
        self._misrouted_at: dict[str, timedelta] = {}
        #: Addresses of the machines to probe, by machine, and the machines with a probe in flight.
        self._to_probe: dict[str, str] = {}
        self._probing: set[str] = set()
        #: For each owner, the machines whose reports it does not receive, with the time when it confirmed this, and the
        #: time when it was last queried about all of its machines.
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
        owners = {machine_id: self.membership.owner(machine_id) or "" for machine_id in self.cluster_state.machines}
        for machine_id, owner in owners.items():
            if self.owners.get(machine_id, ("",))[0] != owner:
                self._misrouted_at.pop(machine_id, None)
                self.owners[machine_id] = (owner, self.context.now)
        for machine_id in [machine_id for machine_id in self.owners if machine_id not in owners]:
            del self.owners[machine_id]
        self._to_probe.clear()

    def handle_report(self, request: IncomingRequest, machine_id: str, owner: str | None, addr: str = "") -> None:
        """Handles a report of another owner's machine: redirects it, or holds it until a move is decided.

        A controller that is not active cannot move machines, so it holds no reports. When inactive controllers held
        them, in an outage of the state service in which machines got replies by peer consent, each held report was
        processed and held again in every step. This took all of the controller's time, and the reports never got a
        reply.
        """
        if owner is not None and self.membership.is_active() and self.should_hold(machine_id, owner, addr):
            previous = self._held_reports.get(machine_id)
            if previous is not None:
                self._redirect(previous[0], owner)
            self._held_reports[machine_id] = (request, self.context.now + MOVE_DECISION_TIMEOUT)
        else:
            self._redirect(request, owner)

    def _redirect(self, request: IncomingRequest, owner: str | None) -> None:
        self.context.reply(request.request_id, 421, wire.encode(ReportTarget(owner)))

    def should_hold(self, machine_id: str, owner: str, addr: str = "") -> bool:
        """Whether to hold a misrouted report because its machine may have to move to this controller.

        One misrouted report is not enough for a move. When it was, machines were taken from owners that had rejected
        only one report or were about to restart, and the new epoch made owners reject more reports, so that the moves
        never ended.

        Right after a change of owner, or after an interval in which this controller was not active, a machine may not
        have found its owner yet. Then only a repeated report counts.
        """
        now = self.context.now
        owner_since = self.owners.get(machine_id, ("", self.membership.epoch_seen_at))[1]
        known = machine_id in self.cluster_state.machines
        if known and now - owner_since > SETTLE_TIME and self.membership.active_for(SETTLE_TIME):
            self._to_query.setdefault(owner, {})[machine_id] = None
            return True
        first = self._misrouted_at.get(machine_id)
        if first is None or now - first > MISROUTED_WINDOW:
            self._misrouted_at[machine_id] = now
        elif now - first >= MISROUTED_MIN_INTERVAL:
            if known:
                self._to_query.setdefault(owner, {})[machine_id] = None
            elif addr:
                self._to_probe[machine_id] = addr
            return True
        return False

    def query_owners(self) -> None:
        """Sends the pending probes to machines, and the pending queries to owners."""
        for machine_id in list(self._to_probe)[: max(0, MAX_CONCURRENT_PROBES - len(self._probing))]:
            self._probe(machine_id, self._to_probe.pop(machine_id))
        for owner, machine_ids in self._to_query.items():
            if machine_ids and owner not in self._querying:
                batch = list(machine_ids)[: peers.MAX_MACHINES_PER_MESSAGE]
                for machine_id in batch:
                    del machine_ids[machine_id]
                self._query_owner(owner, batch)

    def _query_owner(self, owner: str, machine_ids: list[str]) -> None:
        context = self.context

        def on_response(status: int, body: bytes) -> None:
            self._querying.discard(owner)
            reporting: list[str] = []
            if status == 200:
                self._unresponsive_owners.pop(owner, None)
                reporting = wire.decode(peers.ReportingQuery, body).machines
            elif status > 0:
                return  # the owner is running; if it stays inactive, a new epoch removes it
            else:
                since, last = self._unresponsive_owners.get(owner, (context.now, context.now))
                if context.now - last > MISROUTED_WINDOW:
                    since = context.now
                self._unresponsive_owners[owner] = (since, context.now)
                if context.now - since < context.member_ttl * CLOCK_SKEW_FACTOR:
                    return  # the owner may respond again soon, or a new epoch reassigns its machines
            self._query_all_machines(owner, [machine_id for machine_id in machine_ids if machine_id not in reporting])
            for machine_id in machine_ids:
                if machine_id in reporting or self.membership.owner(machine_id) != owner:
                    self._misrouted_at.pop(machine_id, None)
                    if machine_id in self._held_reports:
                        # The held report gets its reply in the next step.
                        self._held_reports[machine_id] = (self._held_reports[machine_id][0], context.now)
                elif self.membership.is_active():
                    self._probe_before_move(machine_id)

        if context.call_peer(
            owner, peers.REPORTING_QUERY_PATH, wire.encode(peers.ReportingQuery(machine_ids)), on_response
        ):
            self._querying.add(owner)

    def _query_all_machines(self, owner: str, not_reporting: list[str]) -> None:
        """Queries an owner about all of its machines once it does not receive the reports of several.

        The affected machines then move in one epoch. When each was moved after its own misrouted report, this took a
        dozen epochs, and the last machine moved only after its lease had ended.
        """
        now = self.context.now
        known = self._not_reporting.setdefault(owner, {})
        known.update(dict.fromkeys(not_reporting, now))
        for machine_id in [machine_id for machine_id, at in known.items() if now - at > SHARED_FAULT_WINDOW]:
            del known[machine_id]
        if (
            len(known) < SHARED_FAULT_MACHINES
            or now - self._queried_all_at.get(owner, timedelta(days=-1)) < SHARED_FAULT_WINDOW
        ):
            return
        self._queried_all_at[owner] = now
        to_query = self._to_query.setdefault(owner, {})
        for machine_id in self.cluster_state.machines:
            if machine_id not in known and self.membership.owner(machine_id) == owner:
                to_query[machine_id] = None

    def _probe_before_move(self, machine_id: str) -> None:
        """Probes a machine whose reports its owner does not receive; the machine moves only if it responds.

        A machine that receives no replies reports to one controller after the other. When it was moved each time,
        this took an epoch every few seconds, and the machine was never considered lost. A repeated report is no proof
        that the machine is alive, because stale reports of a dead machine repeat as well. Without the probe, each pair
        of them moved the machine.
        """
        known = self.cluster_state.machines.get(machine_id)
        if known is not None and known.addr:
            self._to_probe[machine_id] = known.addr

    def _request_move(self, machine_id: str) -> None:
        owner = self.membership.owner(machine_id)
        log.info(
            "machine %s cannot reach its owner%s: requesting a move to this controller",
            machine_id,
            f" {owner}" if owner else "",
        )
        self.membership.request_move(machine_id)

    def _probe(self, machine_id: str, addr: str) -> None:
        """Requests a machine's status, only to find out whether the machine responds to this controller."""
        if machine_id in self._probing:
            return
        self._probing.add(machine_id)

        def on_response(status: int, body: bytes) -> None:
            self._probing.discard(machine_id)
            if status == 200 and self.membership.owner(machine_id) != self.context.name and self.membership.is_active():
                self._request_move(machine_id)

        self.context.get_from_worker(addr, wire.STATUS_PATH, on_response)

    def handle_reporting_query(self, request: IncomingRequest) -> None:
        """Replies to a peer's query with those of the given machines whose reports this controller receives."""
        message = self.context.decode_request(request, peers.ReportingQuery)
        if message is None:
            return
        if not self.membership.active_for(SETTLE_TIME):
            # The machines may not have found this controller yet. When a restarted owner replied at once, a hundred of
            # its machines were moved away.
            self.context.reply_error(request.request_id, 503, "not long in office", 1)
            return
        reporting = [name for name in message.machines if self._receives_reports(name)]
        self.context.reply(request.request_id, 200, wire.encode(peers.ReportingQuery(reporting)))

    def _receives_reports(self, machine_id: str) -> bool:
        machine = self._owned_machines.get(machine_id)
        if machine is None or machine.last_report_at is None or machine.acked_at is None:
            return False
        # Received reports are not enough: a machine that does not receive the replies has to find another owner.
        interval = 1.25 * self.context.report_interval
        reported_ago, acked_ago = self.context.now - machine.last_report_at, self.context.now - machine.acked_at
        return reported_ago <= interval + 2 * TRANSIT_MARGIN and acked_ago <= 2 * interval + 2 * TRANSIT_MARGIN

    def reply_to_held(self) -> None:
        """Replies to held reports.

        A report is processed again if its machine has moved to this controller or this controller is no longer active.
        Otherwise it is redirected to the owner at the end of its hold time.
        """
        for machine_id, (request, until) in list(self._held_reports.items()):
            owner = self.membership.owner(machine_id)
            if owner == self.context.name or not self.membership.is_active():
                del self._held_reports[machine_id]
                self._handle_report(request)
            elif self.context.now >= until:
                del self._held_reports[machine_id]
                self._redirect(request, owner)
