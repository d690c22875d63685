"""Tells the siblings of machines that are simply up, which have no record, and of those that were returned."""

from __future__ import annotations

from datetime import timedelta

from gladecroft.bookkeeping.records import MachineRecord, MachineUse
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import TELL_EVERY, StateWriter
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Report

#: A sibling that has not taken in what it is told for so long learns of it by mail.
TELL_IN_VAIN = timedelta(seconds=3)


class MachineAnnouncer:
    def __init__(self, context: ControllerContext, membership: Membership, state_writer: StateWriter) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        #: For each sibling the machines that it has not been told of, and since when it should have been.
        self._untold: dict[str, dict[str, timedelta]] = {}
        self._telling: set[str] = set()
        self._told_at = timedelta(days=-1)
        self._members: dict[str, int] = {}

    def first(self, machine: Machine, report: Report) -> None:
        """A machine's first report here, or the first after it was given up: all controllers are to know of it, with no
        change in the state service."""
        record = MachineRecord(report.type, report.zone, report.spot, report.addr)
        self.cluster_state.add_reported_machine(machine.id, record)
        if machine.id in self.cluster_state.reported_machines or machine.lost:
            for sibling in self._siblings():
                self._untold.setdefault(sibling, {})[machine.id] = self.context.now

    def announce_cloud_machine(self, name: str, record: MachineRecord) -> None:
        """Tell all of a machine that only the cloud has told of."""
        self.cluster_state.add_reported_machine(name, record)
        for sibling in self._siblings():
            self._untold.setdefault(sibling, {}).setdefault(name, self.context.now)

    def _siblings(self) -> list[str]:
        epoch = self.membership.epoch
        return [] if epoch is None else [name for name in epoch.members if name != self.context.name]

    def tell_new_members(self) -> None:
        """Who has joined is told of the machines without a record: of one's own and, by the leader, of all."""
        epoch = self.membership.epoch
        members = {} if epoch is None else epoch.members
        for sibling in self._siblings():
            if self._members.get(sibling) != members[sibling]:
                self._untold[sibling] = {
                    name: self.context.now
                    for name in self.cluster_state.reported_machines
                    if self.membership.is_leader() or self.membership.owner(name) == self.context.name
                }
        for sibling in [name for name in self._untold if name not in members]:
            del self._untold[sibling]
        self._members = dict(members)

    def tell(self) -> None:
        context = self.context
        if context.now - self._told_at < TELL_EVERY:
            return
        self._told_at = context.now
        vain: dict[str, None] = {}
        for sibling, untold in self._untold.items():
            if not untold:
                continue
            batch: list[peers.ReportedMachine] = []
            for name, since in list(untold.items()):
                record = self.cluster_state.machines.get(name)
                if record is None or record.use is not MachineUse.UP:
                    del untold[name]  # its record tells more
                    continue
                if context.now - since > TELL_IN_VAIN:
                    # Someone who can't be reached would never place there.
                    vain[name] = None
                if len(batch) < peers.MAX_MACHINES_PER_MESSAGE:
                    batch.append(peers.ReportedMachine(name, record.type, record.zone, record.spot, record.addr))
            if batch and sibling not in self._telling:
                self._tell_sibling(sibling, batch)
        self.state_writer.exit_tracker.unannounced_machines = vain

    def _tell_sibling(self, sibling: str, batch: list[peers.ReportedMachine]) -> None:
        def then(status: int, body: bytes) -> None:
            self._telling.discard(sibling)
            if status == 200:
                untold = self._untold.get(sibling, {})
                for heard in batch:
                    untold.pop(heard.name, None)

        if self.context.call_peer(
            sibling, peers.REPORTED_MACHINES_PATH, wire.encode(peers.ReportedMachines(batch)), then
        ):
            self._telling.add(sibling)

    def announce_returned(self, names: list[str]) -> None:
        """Tell the siblings of returned machines. Who does not hear of it finds them silent."""
        for sibling in self._siblings():
            for start in range(0, len(names), peers.MAX_MACHINES_PER_MESSAGE):
                body = wire.encode(peers.ReportedMachines([], names[start : start + peers.MAX_MACHINES_PER_MESSAGE]))
                self.context.call_peer(sibling, peers.REPORTED_MACHINES_PATH, body, lambda status, body: None)
