"""What the cloud's list and the machines' owners say, laid side by side: late boots, silence, strays, what is empty."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import MachineRecord, MachineUse, machine_key
from gladecroft.coordination.context import Node
from gladecroft.coordination.fleet.cloud_client import Coming, Market
from gladecroft.coordination.machines import Keeper
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import Ledger
from gladecroft.protocol.wire import MachineState

log = logging.getLogger(__name__)

#: Messages may be held up for minutes.
GONE_KEPT = timedelta(minutes=10)
RETURNED_KEPT = timedelta(seconds=120)


class Sight:
    """Finds the machines that are to be returned because of what is, or is not, heard of them."""

    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger, market: Market) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.keeper = keeper
        self.ledger = ledger
        self.market = market
        self._known_since: dict[str, timedelta] = {}
        self._silent_since: dict[str, timedelta] = {}
        self._gone_since: dict[str, timedelta] = {}
        self._unknown_since: dict[str, timedelta] = {}

    def forget(self) -> None:
        self._known_since.clear()
        self._silent_since.clear()
        self._unknown_since.clear()

    def look(self) -> None:
        now, market = self.node.now, self.market
        market.returned = {
            name: at
            for name, at in market.returned.items()
            if name in self.picture.machines or now - at < RETURNED_KEPT
        }
        doomed = self._late()
        self._drop_arrived()
        self._known_since = {name: self._known_since.get(name, now) for name in self.picture.machines}
        self._silent_since = {
            name: since
            for name, since in self._silent_since.items()
            if name in self.picture.machines and self.picture.machines[name].use is MachineUse.SILENT
        }
        for name, record in self.picture.heard.items():
            # Heard of, but not by its present owner, who would call it silent.
            if name not in market.listed and now - self._known_since[name] > 2 * market.list_age():
                self.ledger.put_machine(name, msgspec.structs.replace(record, use=MachineUse.SILENT))
        doomed += self._lost_from_sight()
        doomed += self._out_of_use()
        market.give_back(doomed)
        self._drop_gone()

    def _late(self) -> list[str]:
        """Machines that failed to boot, or take much too long; what has just been listed is noted as coming."""
        now, market = self.node.now, self.market
        doomed: list[str] = []
        for name, machine in market.listed.items():
            if name in market.returned:
                continue
            kind = market.floor.types.get(machine.type)
            boot = timedelta(seconds=kind.boot_s if kind else 60.0)
            if machine.state is MachineState.FAILED:
                doomed.append(name)
            elif name not in self.picture.machines:
                if name not in market.coming:
                    age = timedelta(seconds=machine.age_s)
                    market.coming[name] = Coming((machine.type, machine.zone, machine.spot), now - age)
                if name in self.picture.on_machine:
                    # It works, but nobody has told of it since this controller was started: so that it gets an owner,
                    # who finds out whether it still lives.
                    if machine.addr:
                        record = MachineRecord(machine.type, machine.zone, machine.spot, machine.addr)
                        self.keeper.heralds.tell_of(name, record)
                    continue
                if not self.membership.settled(self.node.lease):
                    continue  # nobody has had the time to tell of it
                if now - market.coming[name].since > 3.5 * boot + timedelta(seconds=10):
                    log.info("%s has not come up: returning it", name)
                    doomed.append(name)
        return doomed

    def _drop_arrived(self) -> None:
        market = self.market
        for name in list(market.coming):
            if (
                name in self.picture.machines
                or name not in market.listed
                and self.node.now - market.coming[name].since
                > timedelta(seconds=30 + 4 * self.node.cluster.cloud.list_lag_s)
            ):
                del market.coming[name]

    def _lost_from_sight(self) -> list[str]:
        """Machines on which the records place work, but of which neither a controller nor the list tells for long.

        Nobody owns them. Returned, their work is proven gone.
        """
        unknown = [name for name in self.picture.on_machine if name not in self.picture.machines]
        self._unknown_since = {name: self._unknown_since.get(name, self.node.now) for name in unknown}
        long = max(2 * self.market.list_age(), self.node.lease)
        return [
            name
            for name, since in self._unknown_since.items()
            if name not in self.market.listed and self.node.now - since > long
        ]

    def _out_of_use(self) -> list[str]:
        """Machines that are not simply up and can go: emptied, presumed dead, or about to be returned anyway."""
        doomed: list[str] = []
        silent = self._silent_parts()
        for name in list(self.picture.aside):
            record = self.picture.machines[name]
            drained = (
                record.use in (MachineUse.BAD, MachineUse.LEAVING, MachineUse.EMPTYING)
                and name not in self.picture.on_machine
            )
            if drained or (record.use is MachineUse.SILENT and self._presumed_dead(name, silent)):
                doomed.append(name)
            elif record.use is MachineUse.RETURNING and name not in self.market.returned:
                # Somebody may have placed on it just before its record changed: then it stays.
                if self.picture.residents(name):
                    self.ledger.put_machine(name, msgspec.structs.replace(record, use=MachineUse.UP))
                elif (
                    name not in self.picture.on_machine
                    and self.picture.version(machine_key(name)) <= self.picture.revision
                ):
                    doomed.append(name)
        return doomed

    def _silent_parts(self) -> dict[str, tuple[int, int]]:
        """For each owner with silent machines, how many of its machines are silent, and how many it has."""
        parts: dict[str, tuple[int, int]] = {}
        if MachineUse.SILENT not in self.picture.aside.values():
            return parts
        for name, record in self.picture.machines.items():
            if record.use in (MachineUse.UP, MachineUse.SILENT):
                owner = self.membership.owner(name) or ""
                silent, held = parts.get(owner, (0, 0))
                parts[owner] = (silent + (record.use is MachineUse.SILENT), held + 1)
        return parts

    def _presumed_dead(self, name: str, parts: dict[str, tuple[int, int]]) -> bool:
        """Whether to return a silent machine: the answer proves what silence alone proves only much later.

        The list tells of machines that were taken; for others a short while must do. If a large part of an owner's
        machines is silent, the fault is rather with the owner's network, and they are left alone.
        """
        now = self.node.now
        since = self._silent_since.setdefault(name, now)
        if name not in self.market.listed and now - self._known_since[name] > self.market.list_age():
            return True
        silent, held = parts.get(self.membership.owner(name) or "", (0, 0))
        if silent * 3 <= held:
            return now - since > self.node.report * 4 / 3
        return now - since > self.node.lease

    def _drop_gone(self) -> None:
        """Records of returned machines go once no late message can bring the machines back."""
        now = self.node.now
        gone = [
            name for name, use in self.picture.aside.items() if use is MachineUse.GONE or name in self.market.returned
        ]
        self._gone_since = {name: self._gone_since.get(name, now) for name in gone}
        for name, since in self._gone_since.items():
            if now - since > GONE_KEPT and name not in self.picture.on_machine:
                self.ledger.put_machine(name, None)

    def may_be_told_more(self) -> bool:
        """Whether machines run of which nobody has had the time to tell since this controller leads.

        A leader that had just been started again, with all others, once rented hundreds of machines for work that was
        running.
        """
        if self.membership.settled(2.5 * self.node.report):
            return False
        return any(
            machine.state is MachineState.RUNNING
            and name not in self.picture.machines
            and name not in self.market.returned
            for name, machine in self.market.listed.items()
        )
