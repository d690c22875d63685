"""What the cloud's list and the machines' owners say, laid side by side: late boots, silence, strays, what is empty."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import MachineRecord, MachineUse, machine_key
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.fleet.cloud_client import CloudClient, PendingMachine
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.protocol.wire import MachineState

log = logging.getLogger(__name__)

#: Messages may be held up for minutes.
GONE_KEPT = timedelta(minutes=10)
RETURNED_KEPT = timedelta(seconds=120)


class MachineReconciler:
    """Finds the machines that are to be returned because of what is, or is not, heard of them."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        state_writer: StateWriter,
        cloud_client: CloudClient,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.machine_manager = machine_manager
        self.state_writer = state_writer
        self.cloud_client = cloud_client
        self._known_since: dict[str, timedelta] = {}
        self._silent_since: dict[str, timedelta] = {}
        self._gone_since: dict[str, timedelta] = {}
        self._unknown_since: dict[str, timedelta] = {}

    def forget(self) -> None:
        self._known_since.clear()
        self._silent_since.clear()
        self._unknown_since.clear()

    def look(self) -> None:
        now, cloud_client = self.context.now, self.cloud_client
        cloud_client.returned = {
            name: at
            for name, at in cloud_client.returned.items()
            if name in self.cluster_state.machines or now - at < RETURNED_KEPT
        }
        doomed = self._late()
        self._drop_arrived()
        self._known_since = {name: self._known_since.get(name, now) for name in self.cluster_state.machines}
        self._silent_since = {
            name: since
            for name, since in self._silent_since.items()
            if name in self.cluster_state.machines and self.cluster_state.machines[name].use is MachineUse.SILENT
        }
        for name, record in self.cluster_state.reported_machines.items():
            # Heard of, but not by its present owner, who would call it silent.
            if name not in cloud_client.listed and now - self._known_since[name] > 2 * cloud_client.list_age():
                self.state_writer.put_machine(name, msgspec.structs.replace(record, use=MachineUse.SILENT))
        doomed += self._lost_from_sight()
        doomed += self._out_of_use()
        cloud_client.give_back(doomed)
        self._drop_gone()

    def _late(self) -> list[str]:
        """Machines that failed to boot, or take much too long; what has just been listed is noted as coming."""
        now, cloud_client = self.context.now, self.cloud_client
        doomed: list[str] = []
        for name, machine in cloud_client.listed.items():
            if name in cloud_client.returned:
                continue
            kind = cloud_client.candidate_cache.types.get(machine.type)
            boot = timedelta(seconds=kind.boot_s if kind else 60.0)
            if machine.state is MachineState.FAILED:
                doomed.append(name)
            elif name not in self.cluster_state.machines:
                if name not in cloud_client.coming:
                    age = timedelta(seconds=machine.age_s)
                    cloud_client.coming[name] = PendingMachine((machine.type, machine.zone, machine.spot), now - age)
                if name in self.cluster_state.tasks_by_machine:
                    # It works, but nobody has told of it since this controller was started: so that it gets an owner,
                    # who finds out whether it still lives.
                    if machine.addr:
                        record = MachineRecord(machine.type, machine.zone, machine.spot, machine.addr)
                        self.machine_manager.announcer.announce_cloud_machine(name, record)
                    continue
                if not self.membership.active_for(self.context.machine_lease):
                    continue  # nobody has had the time to tell of it
                if now - cloud_client.coming[name].since > 3.5 * boot + timedelta(seconds=10):
                    log.info("%s has not come up: returning it", name)
                    doomed.append(name)
        return doomed

    def _drop_arrived(self) -> None:
        cloud_client = self.cloud_client
        for name in list(cloud_client.coming):
            if (
                name in self.cluster_state.machines
                or name not in cloud_client.listed
                and self.context.now - cloud_client.coming[name].since
                > timedelta(seconds=30 + 4 * self.context.cluster.cloud.list_lag_s)
            ):
                del cloud_client.coming[name]

    def _lost_from_sight(self) -> list[str]:
        """Machines on which the records place work, but of which neither a controller nor the list tells for long.

        Nobody owns them. Returned, their work is proven gone.
        """
        unknown = [name for name in self.cluster_state.tasks_by_machine if name not in self.cluster_state.machines]
        self._unknown_since = {name: self._unknown_since.get(name, self.context.now) for name in unknown}
        long = max(2 * self.cloud_client.list_age(), self.context.machine_lease)
        return [
            name
            for name, since in self._unknown_since.items()
            if name not in self.cloud_client.listed and self.context.now - since > long
        ]

    def _out_of_use(self) -> list[str]:
        """Machines that are not simply up and can go: emptied, presumed dead, or about to be returned anyway."""
        doomed: list[str] = []
        silent = self._silent_parts()
        for name in list(self.cluster_state.restricted_machines):
            record = self.cluster_state.machines[name]
            drained = (
                record.use in (MachineUse.FAULTY, MachineUse.RECLAIMING, MachineUse.DRAINING)
                and name not in self.cluster_state.tasks_by_machine
            )
            if drained or (record.use is MachineUse.SILENT and self._presumed_dead(name, silent)):
                doomed.append(name)
            elif record.use is MachineUse.RETURNING and name not in self.cloud_client.returned:
                # Somebody may have placed on it just before its record changed: then it stays.
                if self.cluster_state.tasks_on(name):
                    self.state_writer.put_machine(name, msgspec.structs.replace(record, use=MachineUse.UP))
                elif (
                    name not in self.cluster_state.tasks_by_machine
                    and self.cluster_state.version(machine_key(name)) <= self.cluster_state.revision
                ):
                    doomed.append(name)
        return doomed

    def _silent_parts(self) -> dict[str, tuple[int, int]]:
        """For each owner with silent machines, how many of its machines are silent, and how many it has."""
        parts: dict[str, tuple[int, int]] = {}
        if MachineUse.SILENT not in self.cluster_state.restricted_machines.values():
            return parts
        for name, record in self.cluster_state.machines.items():
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
        now = self.context.now
        since = self._silent_since.setdefault(name, now)
        if name not in self.cloud_client.listed and now - self._known_since[name] > self.cloud_client.list_age():
            return True
        silent, held = parts.get(self.membership.owner(name) or "", (0, 0))
        if silent * 3 <= held:
            return now - since > self.context.report_interval * 4 / 3
        return now - since > self.context.machine_lease

    def _drop_gone(self) -> None:
        """Records of returned machines go once no late message can bring the machines back."""
        now = self.context.now
        gone = [
            name
            for name, use in self.cluster_state.restricted_machines.items()
            if use is MachineUse.RETURNED or name in self.cloud_client.returned
        ]
        self._gone_since = {name: self._gone_since.get(name, now) for name in gone}
        for name, since in self._gone_since.items():
            if now - since > GONE_KEPT and name not in self.cluster_state.tasks_by_machine:
                self.state_writer.put_machine(name, None)

    def may_be_told_more(self) -> bool:
        """Whether machines run of which nobody has had the time to tell since this controller leads.

        A leader that had just been started again, with all others, once rented hundreds of machines for work that was
        running.
        """
        if self.membership.active_for(2.5 * self.context.report_interval):
            return False
        return any(
            machine.state is MachineState.RUNNING
            and name not in self.cluster_state.machines
            and name not in self.cloud_client.returned
            for name, machine in self.cloud_client.listed.items()
        )
