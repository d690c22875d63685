"""Tells the siblings of machines that are simply up, which have no record, and of those that were returned."""

from __future__ import annotations

from datetime import timedelta

from gladecroft.bookkeeping.records import MachineRecord, MachineUse
from gladecroft.coordination.context import Node
from gladecroft.coordination.machines.machine import Machine
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import TELL_EVERY, Ledger
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Report

#: A sibling that has not taken in what it is told for so long learns of it by mail.
TELL_IN_VAIN = timedelta(seconds=3)


class Heralds:
    def __init__(self, node: Node, membership: Membership, ledger: Ledger) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ledger = ledger
        #: For each sibling the machines that it has not been told of, and since when it should have been.
        self._untold: dict[str, dict[str, timedelta]] = {}
        self._telling: set[str] = set()
        self._told_at = timedelta(days=-1)
        self._members: dict[str, int] = {}

    def first(self, machine: Machine, report: Report) -> None:
        """A machine's first report here, or the first after it was given up: all controllers are to know of it, with no
        change in the state service."""
        record = MachineRecord(report.type, report.zone, report.spot, report.addr)
        self.picture.hear(machine.id, record)
        if machine.id in self.picture.heard or machine.lost:
            for sibling in self._siblings():
                self._untold.setdefault(sibling, {})[machine.id] = self.node.now

    def tell_of(self, name: str, record: MachineRecord) -> None:
        """Tell all of a machine that only the cloud has told of."""
        self.picture.hear(name, record)
        for sibling in self._siblings():
            self._untold.setdefault(sibling, {}).setdefault(name, self.node.now)

    def _siblings(self) -> list[str]:
        epoch = self.membership.epoch
        return [] if epoch is None else [name for name in epoch.members if name != self.node.name]

    def tell_new_members(self) -> None:
        """Who has joined is told of the machines without a record: of one's own and, by the leader, of all."""
        epoch = self.membership.epoch
        members = {} if epoch is None else epoch.members
        for sibling in self._siblings():
            if self._members.get(sibling) != members[sibling]:
                self._untold[sibling] = {
                    name: self.node.now
                    for name in self.picture.heard
                    if self.membership.leads() or self.membership.owner(name) == self.node.name
                }
        for sibling in [name for name in self._untold if name not in members]:
            del self._untold[sibling]
        self._members = dict(members)

    def tell(self) -> None:
        node = self.node
        if node.now - self._told_at < TELL_EVERY:
            return
        self._told_at = node.now
        vain: dict[str, None] = {}
        for sibling, untold in self._untold.items():
            if not untold:
                continue
            batch: list[peers.HeardMachine] = []
            for name, since in list(untold.items()):
                record = self.picture.machines.get(name)
                if record is None or record.use is not MachineUse.UP:
                    del untold[name]  # its record tells more
                    continue
                if node.now - since > TELL_IN_VAIN:
                    # Someone who can't be reached would never place there.
                    vain[name] = None
                if len(batch) < peers.MOST_HEARD:
                    batch.append(peers.HeardMachine(name, record.type, record.zone, record.spot, record.addr))
            if batch and sibling not in self._telling:
                self._tell_sibling(sibling, batch)
        self.ledger.ends.untold_machines = vain

    def _tell_sibling(self, sibling: str, batch: list[peers.HeardMachine]) -> None:
        def then(status: int, body: bytes) -> None:
            self._telling.discard(sibling)
            if status == 200:
                untold = self._untold.get(sibling, {})
                for heard in batch:
                    untold.pop(heard.name, None)

        if self.node.peer(sibling, peers.HEARD_PATH, wire.encode(peers.Heard(batch)), then):
            self._telling.add(sibling)

    def tell_gone(self, names: list[str]) -> None:
        """Tell the siblings of returned machines. Who does not hear of it finds them silent."""
        for sibling in self._siblings():
            for start in range(0, len(names), peers.MOST_HEARD):
                body = wire.encode(peers.Heard([], names[start : start + peers.MOST_HEARD]))
                self.node.peer(sibling, peers.HEARD_PATH, body, lambda status, body: None)
