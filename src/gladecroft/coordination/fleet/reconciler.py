"""Reconciles the cloud's list with the machine records: failed boots, silent, lost and empty machines."""

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

#: Records of returned machines are kept longer than a message can be delayed, which may be minutes.
TOMBSTONE_RETENTION = timedelta(minutes=10)
#: How long a returned machine without a record is remembered.
RETURNED_MEMORY = timedelta(seconds=120)


class MachineReconciler:
    """Finds machines to return by comparing the cloud's list, the machine records and the reports that arrive."""

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
        self._tombstone_since: dict[str, timedelta] = {}
        self._unaccounted_since: dict[str, timedelta] = {}

    def reset(self) -> None:
        """Drop the leader's state."""
        self._known_since.clear()
        self._silent_since.clear()
        self._unaccounted_since.clear()

    def reconcile(self) -> None:
        """Compare list and records, return the machines that are lost or no longer needed, and update the records."""
        now, cloud_client = self.context.now, self.cloud_client
        cloud_client.returned = {
            name: returned_at
            for name, returned_at in cloud_client.returned.items()
            if name in self.cluster_state.machines or now - returned_at < RETURNED_MEMORY
        }
        to_return = self._failed_boots()
        self._drop_reported()
        self._known_since = {name: self._known_since.get(name, now) for name in self.cluster_state.machines}
        self._silent_since = {
            name: since
            for name, since in self._silent_since.items()
            if name in self.cluster_state.machines and self.cluster_state.machines[name].use is MachineUse.SILENT
        }
        for name, record in self.cluster_state.reported_machines.items():
            # Recorded as reporting, but no longer in the list: some controller has announced it, but its present owner
            # gets no reports from it, or would have marked it silent itself.
            if name not in cloud_client.listed and now - self._known_since[name] > 2 * cloud_client.list_age():
                self.state_writer.put_machine(name, msgspec.structs.replace(record, use=MachineUse.SILENT))
        to_return += self._unaccounted()
        to_return += self._ready_to_return()
        cloud_client.return_machines(to_return)
        self._delete_tombstones()

    def _failed_boots(self) -> list[str]:
        """Machines that failed to boot or take much too long; newly listed ones are added to the pending machines."""
        now, cloud_client = self.context.now, self.cloud_client
        to_return: list[str] = []
        for name, machine in cloud_client.listed.items():
            if name in cloud_client.returned:
                continue
            machine_type = cloud_client.candidate_cache.machine_types.get(machine.type)
            boot_time = timedelta(seconds=machine_type.boot_s if machine_type else 60.0)
            if machine.state is MachineState.FAILED:
                to_return.append(name)
            elif name not in self.cluster_state.machines:
                if name not in cloud_client.pending:
                    age = timedelta(seconds=machine.age_s)
                    cloud_client.pending[name] = PendingMachine((machine.type, machine.zone, machine.spot), now - age)
                if name in self.cluster_state.tasks_by_machine:
                    # It has work, but no controller has announced it since this one started. Announcing it gives it an
                    # owner, which finds out whether it is still alive.
                    if machine.addr:
                        record = MachineRecord(machine.type, machine.zone, machine.spot, machine.addr)
                        self.machine_manager.announcer.announce_cloud_machine(name, record)
                    continue
                if not self.membership.active_for(self.context.machine_lease):
                    continue  # the other controllers have not had time to announce it
                if now - cloud_client.pending[name].rented_at > 3.5 * boot_time + timedelta(seconds=10):
                    log.info("%s has not booted in time: returning it", name)
                    to_return.append(name)
        return to_return

    def _drop_reported(self) -> None:
        """Drop pending machines that have reported, or that are missing from the list for too long."""
        cloud_client = self.cloud_client
        for name in list(cloud_client.pending):
            if (
                name in self.cluster_state.machines
                or name not in cloud_client.listed
                and self.context.now - cloud_client.pending[name].rented_at
                > timedelta(seconds=30 + 4 * self.context.cluster.cloud.list_lag_s)
            ):
                del cloud_client.pending[name]

    def _unaccounted(self) -> list[str]:
        """Machines with recorded work that have been missing from both the machine records and the list for long.

        They have no owner. Returning them proves that their work has ended.
        """
        unaccounted = [name for name in self.cluster_state.tasks_by_machine if name not in self.cluster_state.machines]
        self._unaccounted_since = {name: self._unaccounted_since.get(name, self.context.now) for name in unaccounted}
        timeout = max(2 * self.cloud_client.list_age(), self.context.machine_lease)
        return [
            name
            for name, since in self._unaccounted_since.items()
            if name not in self.cloud_client.listed and self.context.now - since > timeout
        ]

    def _ready_to_return(self) -> list[str]:
        """Machines that can be returned: drained, presumed dead, or already marked to be returned."""
        to_return: list[str] = []
        silent_counts = self._silent_counts()
        for name in list(self.cluster_state.restricted_machines):
            record = self.cluster_state.machines[name]
            drained = (
                record.use in (MachineUse.FAULTY, MachineUse.RECLAIMING, MachineUse.DRAINING)
                and name not in self.cluster_state.tasks_by_machine
            )
            if drained or (record.use is MachineUse.SILENT and self._presumed_dead(name, silent_counts)):
                to_return.append(name)
            elif record.use is MachineUse.RETURNING and name not in self.cloud_client.returned:
                # A controller may have placed a task on it just before its record changed; then it is kept.
                if self.cluster_state.tasks_on(name):
                    self.state_writer.put_machine(name, msgspec.structs.replace(record, use=MachineUse.UP))
                elif (
                    name not in self.cluster_state.tasks_by_machine
                    and self.cluster_state.version(machine_key(name)) <= self.cluster_state.revision
                ):
                    to_return.append(name)
        return to_return

    def _silent_counts(self) -> dict[str, tuple[int, int]]:
        """For each owner, how many of its machines are silent and how many it has; empty if no machine is silent."""
        counts: dict[str, tuple[int, int]] = {}
        if MachineUse.SILENT not in self.cluster_state.restricted_machines.values():
            return counts
        for name, record in self.cluster_state.machines.items():
            if record.use in (MachineUse.UP, MachineUse.SILENT):
                owner = self.membership.owner(name) or ""
                silent, total = counts.get(owner, (0, 0))
                counts[owner] = (silent + (record.use is MachineUse.SILENT), total + 1)
        return counts

    def _presumed_dead(self, name: str, silent_counts: dict[str, tuple[int, int]]) -> bool:
        """Whether to return a silent machine. The cloud's answer proves that its tasks have ended, which silence alone
        proves only much later.

        A machine that the cloud has taken back is missing from the list. Others are presumed dead after a short while,
        but only after a whole lease if more than a third of the owner's machines are silent, since then the fault is
        more likely in the owner's network.
        """
        now = self.context.now
        since = self._silent_since.setdefault(name, now)
        if name not in self.cloud_client.listed and now - self._known_since[name] > self.cloud_client.list_age():
            return True
        silent, total = silent_counts.get(self.membership.owner(name) or "", (0, 0))
        if silent * 3 <= total:
            return now - since > self.context.report_interval * 4 / 3
        return now - since > self.context.machine_lease

    def _delete_tombstones(self) -> None:
        """Delete the records of returned machines once no delayed message can re-create them."""
        now = self.context.now
        tombstones = [
            name
            for name, use in self.cluster_state.restricted_machines.items()
            if use is MachineUse.RETURNED or name in self.cloud_client.returned
        ]
        self._tombstone_since = {name: self._tombstone_since.get(name, now) for name in tombstones}
        for name, since in self._tombstone_since.items():
            if now - since > TOMBSTONE_RETENTION and name not in self.cluster_state.tasks_by_machine:
                self.state_writer.put_machine(name, None)

    def reports_outstanding(self) -> bool:
        """Whether machines are running that other controllers have not had time to announce since this one leads.

        Without this check a leader that had been restarted together with all other controllers rented hundreds of
        machines for work that was already running.
        """
        if self.membership.active_for(2.5 * self.context.report_interval):
            return False
        return any(
            machine.state is MachineState.RUNNING
            and name not in self.cluster_state.machines
            and name not in self.cloud_client.returned
            for name, machine in self.cloud_client.listed.items()
        )
