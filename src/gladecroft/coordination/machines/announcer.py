"""Announces machines that are up but have no record, and machines that were returned, to the other controllers."""

from __future__ import annotations

from datetime import timedelta

from gladecroft.bookkeeping.records import MachineRecord, MachineUse
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import NOTIFY_INTERVAL, StateWriter
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Report

#: A machine that a peer has not acknowledged for this long is announced through the outbox record instead.
OUTBOX_FALLBACK_AFTER = timedelta(seconds=3)


class MachineAnnouncer:
    """Announces machines without a record to each peer until the peer acknowledges them."""

    def __init__(self, context: ControllerContext, membership: Membership, state_writer: StateWriter) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        #: For each peer, the machines that it has not acknowledged yet, and since when each waits.
        self._unannounced: dict[str, dict[str, timedelta]] = {}
        self._in_flight: set[str] = set()
        self._sent_at = timedelta(days=-1)
        self._members: dict[str, int] = {}

    def announce(self, machine: Machine, report: Report) -> None:
        """Announces a machine on its first report here, or on its first report after it was considered lost.

        All controllers learn of it without a write to the state service.
        """
        record = MachineRecord(report.type, report.zone, report.spot, report.addr)
        self.cluster_state.add_reported_machine(machine.id, record)
        if machine.id in self.cluster_state.reported_machines or machine.lost:
            for peer in self._peers():
                self._unannounced.setdefault(peer, {})[machine.id] = self.context.now

    def announce_cloud_machine(self, name: str, record: MachineRecord) -> None:
        """Announces a machine that is known only from the cloud so far."""
        self.cluster_state.add_reported_machine(name, record)
        for peer in self._peers():
            self._unannounced.setdefault(peer, {}).setdefault(name, self.context.now)

    def _peers(self) -> list[str]:
        epoch = self.membership.epoch
        return [] if epoch is None else [name for name in epoch.members if name != self.context.name]

    def announce_to_new_members(self) -> None:
        """Queues the machines without a record for new members: the leader queues all, other controllers their own."""
        epoch = self.membership.epoch
        members = {} if epoch is None else epoch.members
        for peer in self._peers():
            if self._members.get(peer) != members[peer]:
                self._unannounced[peer] = {
                    name: self.context.now
                    for name in self.cluster_state.reported_machines
                    if self.membership.is_leader() or self.membership.owner(name) == self.context.name
                }
        for peer in [name for name in self._unannounced if name not in members]:
            del self._unannounced[peer]
        self._members = dict(members)

    def send_pending(self) -> None:
        """Sends the pending announcements, and hands those that are overdue to the outbox record."""
        context = self.context
        if context.now - self._sent_at < NOTIFY_INTERVAL:
            return
        self._sent_at = context.now
        overdue: dict[str, None] = {}
        for peer, unannounced in self._unannounced.items():
            if not unannounced:
                continue
            batch: list[peers.ReportedMachine] = []
            for name, since in list(unannounced.items()):
                record = self.cluster_state.machines.get(name)
                if record is None or record.use is not MachineUse.UP:
                    del unannounced[name]  # the record supersedes the announcement
                    continue
                if context.now - since > OUTBOX_FALLBACK_AFTER:
                    # Without the outbox record an unreachable peer would never place tasks on this machine.
                    overdue[name] = None
                if len(batch) < peers.MAX_MACHINES_PER_MESSAGE:
                    batch.append(peers.ReportedMachine(name, record.type, record.zone, record.spot, record.addr))
            if batch and peer not in self._in_flight:
                self._send_to_peer(peer, batch)
        self.state_writer.exit_tracker.unannounced_machines = overdue

    def _send_to_peer(self, peer: str, batch: list[peers.ReportedMachine]) -> None:
        def then(status: int, body: bytes) -> None:
            self._in_flight.discard(peer)
            if status == 200:
                unannounced = self._unannounced.get(peer, {})
                for machine in batch:
                    unannounced.pop(machine.name, None)

        if self.context.call_peer(peer, peers.REPORTED_MACHINES_PATH, wire.encode(peers.ReportedMachines(batch)), then):
            self._in_flight.add(peer)

    def announce_returned(self, names: list[str]) -> None:
        """Announces returned machines to the peers, once. A peer that misses it finds the machines silent."""
        for peer in self._peers():
            for start in range(0, len(names), peers.MAX_MACHINES_PER_MESSAGE):
                body = wire.encode(peers.ReportedMachines([], names[start : start + peers.MAX_MACHINES_PER_MESSAGE]))
                self.context.call_peer(peer, peers.REPORTED_MACHINES_PATH, body, lambda status, body: None)
