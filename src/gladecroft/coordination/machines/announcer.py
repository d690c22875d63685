"""Announces machines to the other controllers.

Announced are machines that are up without a committed record, machines that report again after they were considered
lost, and returned ones, those that were given back to the cloud.
"""

from __future__ import annotations

from datetime import timedelta

from gladecroft.bookkeeping.records import MachineLifecycle, MachineRecord
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import PEER_MESSAGE_INTERVAL, StateWriter
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Report

#: A machine without a committed record that a peer has not acknowledged for this long is also announced through the
#: outbox record, which the peers receive from the state service.
OUTBOX_FALLBACK_AFTER = timedelta(seconds=3)


class MachineAnnouncer:
    """Announces machines to each peer until the peer acknowledges them; returned ones are announced only once."""

    def __init__(self, context: ControllerContext, membership: Membership, state_writer: StateWriter) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        #: For each peer, the machines that it has not acknowledged yet, and when each was queued.
        self._unacknowledged: dict[str, dict[str, timedelta]] = {}
        #: Peers to which an announcement is in flight.
        self._peers_in_flight: set[str] = set()
        self._last_sent_at = timedelta(days=-1)
        #: Members at the previous epoch change, with their incarnations.
        self._previous_members: dict[str, int] = {}

    def announce(self, machine: Machine, report: Report) -> None:
        """Queues a machine without a committed record, or one that reports again after it was considered lost.

        All controllers normally learn of it without a write to the state service; see ``OUTBOX_FALLBACK_AFTER``.
        """
        record = MachineRecord(report.type, report.zone, report.spot, report.addr)
        self.cluster_state.add_reported_machine(machine.id, record)
        # A machine with a committed record is announced only after a loss, which suspended placement at the peers.
        if machine.id in self.cluster_state.reported_machines or machine.lost:
            for peer in self._peers():
                self._unacknowledged.setdefault(peer, {})[machine.id] = self.context.now

    def announce_cloud_machine(self, machine_id: str, record: MachineRecord) -> None:
        """Queues a machine that is known only from the cloud so far."""
        self.cluster_state.add_reported_machine(machine_id, record)
        for peer in self._peers():
            self._unacknowledged.setdefault(peer, {}).setdefault(machine_id, self.context.now)

    def _peers(self) -> list[str]:
        epoch = self.membership.epoch
        return [] if epoch is None else [name for name in epoch.members if name != self.context.name]

    def announce_to_new_members(self) -> None:
        """Queues machines without a record for members that joined or restarted: the leader all, others their own."""
        epoch = self.membership.epoch
        members = {} if epoch is None else epoch.members
        for peer in self._peers():
            if self._previous_members.get(peer) != members[peer]:
                self._unacknowledged[peer] = {
                    machine_id: self.context.now
                    for machine_id in self.cluster_state.reported_machines
                    if self.membership.is_leader() or self.membership.owner(machine_id) == self.context.name
                }
        for peer in [peer for peer in self._unacknowledged if peer not in members]:
            del self._unacknowledged[peer]
        self._previous_members = dict(members)

    def send_pending(self) -> None:
        """Sends the pending announcements, and hands the overdue ones to the exit tracker for the outbox record."""
        context = self.context
        if context.now - self._last_sent_at < PEER_MESSAGE_INTERVAL:
            return
        self._last_sent_at = context.now
        overdue: dict[str, None] = {}
        for peer, unacknowledged in self._unacknowledged.items():
            if not unacknowledged:
                continue
            batch: list[peers.ReportedMachine] = []
            for machine_id, queued_at in list(unacknowledged.items()):
                record = self.cluster_state.machines.get(machine_id)
                if record is None or record.lifecycle is not MachineLifecycle.UP:
                    del unacknowledged[machine_id]  # the machine was removed, or its record has another state by now
                    continue
                if context.now - queued_at > OUTBOX_FALLBACK_AFTER:
                    # Without the outbox record, a peer that cannot be reached would never place tasks on this machine.
                    overdue[machine_id] = None
                if len(batch) < peers.MAX_MACHINES_PER_MESSAGE:
                    batch.append(peers.ReportedMachine(machine_id, record.type, record.zone, record.spot, record.addr))
            if batch and peer not in self._peers_in_flight:
                self._send_to_peer(peer, batch)
        self.state_writer.exit_tracker.overdue_announcements = overdue

    def _send_to_peer(self, peer: str, batch: list[peers.ReportedMachine]) -> None:
        def on_response(status: int, body: bytes) -> None:
            self._peers_in_flight.discard(peer)
            if status == 200:
                unacknowledged = self._unacknowledged.get(peer, {})
                for machine in batch:
                    unacknowledged.pop(machine.name, None)

        if self.context.call_peer(
            peer, peers.MACHINE_ANNOUNCEMENT_PATH, wire.encode(peers.MachineAnnouncement(batch)), on_response
        ):
            self._peers_in_flight.add(peer)

    def announce_returned(self, machine_ids: list[str]) -> None:
        """Announces returned machines to the peers, without retries.

        A peer that misses the message detects that the machines no longer report.
        """
        for peer in self._peers():
            for start in range(0, len(machine_ids), peers.MAX_MACHINES_PER_MESSAGE):
                body = wire.encode(
                    peers.MachineAnnouncement([], machine_ids[start : start + peers.MAX_MACHINES_PER_MESSAGE])
                )
                self.context.call_peer(peer, peers.MACHINE_ANNOUNCEMENT_PATH, body, lambda status, body: None)
