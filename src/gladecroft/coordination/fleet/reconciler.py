"""Reconciles the cloud's list of machines with the machine records.

Handles machines that fail to boot, are silent (no report arrives), are missing from the list, or are drained. Such
machines are returned to the cloud.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.records import TOMBSTONE_RETENTION, MachineLifecycle, MachineRecord, machine_key
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.fleet.cloud_client import CloudClient, PendingMachine
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.protocol.wire import ListedMachineState

log = logging.getLogger(__name__)

#: How long a returned machine without a record is remembered.
RETURNED_RETENTION = timedelta(seconds=120)


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
        """Discard the leader's state."""
        self._known_since.clear()
        self._silent_since.clear()
        self._unaccounted_since.clear()

    def reconcile(self) -> None:
        """Compare list and records, return the machines that are lost or no longer usable, and update the records."""
        now, cloud_client = self.context.now, self.cloud_client
        cloud_client.returned = {
            machine_id: returned_at
            for machine_id, returned_at in cloud_client.returned.items()
            if machine_id in self.cluster_state.machines or now - returned_at < RETURNED_RETENTION
        }
        to_return = self._failed_boots()
        self._prune_pending()
        self._known_since = {
            machine_id: self._known_since.get(machine_id, now) for machine_id in self.cluster_state.machines
        }
        self._silent_since = {
            machine_id: since
            for machine_id, since in self._silent_since.items()
            if machine_id in self.cluster_state.machines
            and self.cluster_state.machines[machine_id].lifecycle is MachineLifecycle.SILENT
        }
        for machine_id, record in self.cluster_state.reported_machines.items():
            # Some controller has announced the machine, but it is no longer in the list. Its owner (the controller to
            # which it should report) has received no report from it, or would have marked it silent itself.
            if (
                machine_id not in cloud_client.listed
                and now - self._known_since[machine_id] > 2 * cloud_client.max_list_delay()
            ):
                self.state_writer.put_machine(
                    machine_id, msgspec.structs.replace(record, lifecycle=MachineLifecycle.SILENT)
                )
        to_return += self._unaccounted()
        to_return += self._ready_to_return()
        cloud_client.return_machines(to_return)
        self._delete_tombstones()

    def _failed_boots(self) -> list[str]:
        """Return the machines that failed to boot or take much too long; add newly listed machines to ``pending``."""
        now, cloud_client = self.context.now, self.cloud_client
        to_return: list[str] = []
        for machine_id, machine in cloud_client.listed.items():
            if machine_id in cloud_client.returned:
                continue
            machine_type = cloud_client.candidate_cache.machine_types.get(machine.type)
            boot_time = timedelta(seconds=machine_type.boot_s if machine_type else 60.0)
            if machine.state is ListedMachineState.FAILED:
                to_return.append(machine_id)
            elif machine_id not in self.cluster_state.machines:
                if machine_id not in cloud_client.pending:
                    age = timedelta(seconds=machine.age_s)
                    cloud_client.pending[machine_id] = PendingMachine(
                        (machine.type, machine.zone, machine.spot), now - age
                    )
                if machine_id in self.cluster_state.tasks_by_machine:
                    # The records place tasks on the machine, but no controller has announced it since this one started.
                    # Announcing it gives it an owner, which detects whether it is still alive.
                    if machine.addr:
                        record = MachineRecord(machine.type, machine.zone, machine.spot, machine.addr)
                        self.machine_manager.announcer.announce_cloud_machine(machine_id, record)
                    continue
                if not self.membership.active_for(self.context.machine_lease):
                    continue  # the other controllers have not had time to announce it
                if now - cloud_client.pending[machine_id].rented_at > 3.5 * boot_time + timedelta(seconds=10):
                    log.info("machine %s has not booted in time: returning it to the cloud", machine_id)
                    to_return.append(machine_id)
        return to_return

    def _prune_pending(self) -> None:
        """Drop pending machines that have reported, or that are not in the list long after they were rented."""
        cloud_client = self.cloud_client
        for machine_id in list(cloud_client.pending):
            if (
                machine_id in self.cluster_state.machines
                or machine_id not in cloud_client.listed
                and self.context.now - cloud_client.pending[machine_id].rented_at
                > timedelta(seconds=30 + 4 * self.context.cluster.cloud.list_lag_s)
            ):
                del cloud_client.pending[machine_id]

    def _unaccounted(self) -> list[str]:
        """Return the machines with recorded tasks that have long had no record and no report, and are not in the list.

        They have no owner. When the cloud confirms their return, their tasks are known to have ended.
        """
        unaccounted = [
            machine_id
            for machine_id in self.cluster_state.tasks_by_machine
            if machine_id not in self.cluster_state.machines
        ]
        self._unaccounted_since = {
            machine_id: self._unaccounted_since.get(machine_id, self.context.now) for machine_id in unaccounted
        }
        timeout = max(2 * self.cloud_client.max_list_delay(), self.context.machine_lease)
        return [
            machine_id
            for machine_id, since in self._unaccounted_since.items()
            if machine_id not in self.cloud_client.listed and self.context.now - since > timeout
        ]

    def _ready_to_return(self) -> list[str]:
        """Return the machines that can be returned to the cloud: drained, presumed dead, or marked to be returned."""
        to_return: list[str] = []
        silent_counts = self._silent_counts()
        for machine_id in list(self.cluster_state.restricted_machines):
            record = self.cluster_state.machines[machine_id]
            drained = (
                record.lifecycle in (MachineLifecycle.FAULTY, MachineLifecycle.RECLAIMING, MachineLifecycle.DRAINING)
                and machine_id not in self.cluster_state.tasks_by_machine
            )
            if drained or (
                record.lifecycle is MachineLifecycle.SILENT and self._presumed_dead(machine_id, silent_counts)
            ):
                to_return.append(machine_id)
            elif record.lifecycle is MachineLifecycle.RETURNING and machine_id not in self.cloud_client.returned:
                # If a controller has placed a task on the machine just before its record changed, the machine is kept.
                if self.cluster_state.tasks_on(machine_id):
                    self.state_writer.put_machine(
                        machine_id, msgspec.structs.replace(record, lifecycle=MachineLifecycle.UP)
                    )
                elif (
                    machine_id not in self.cluster_state.tasks_by_machine
                    and self.cluster_state.version(machine_key(machine_id)) <= self.cluster_state.revision
                ):
                    to_return.append(machine_id)
        return to_return

    def _silent_counts(self) -> dict[str, tuple[int, int]]:
        """Return, by owner, the numbers of its silent machines and of those up or silent; empty if none is silent."""
        counts: dict[str, tuple[int, int]] = {}
        if MachineLifecycle.SILENT not in self.cluster_state.restricted_machines.values():
            return counts
        for machine_id, record in self.cluster_state.machines.items():
            if record.lifecycle in (MachineLifecycle.UP, MachineLifecycle.SILENT):
                owner = self.membership.owner(machine_id) or ""
                silent, total = counts.get(owner, (0, 0))
                counts[owner] = (silent + (record.lifecycle is MachineLifecycle.SILENT), total + 1)
        return counts

    def _presumed_dead(self, machine_id: str, silent_counts: dict[str, tuple[int, int]]) -> bool:
        """Return whether a silent machine is presumed dead and should be returned to the cloud.

        The cloud's confirmation proves that its tasks have ended, which silence alone proves only much later. A machine
        that the cloud has reclaimed is missing from the list. Other machines are presumed dead a little after the
        report interval, but only after a whole lease if more than a third of the owner's machines are silent, since
        the fault is then more likely in the owner's network.
        """
        now = self.context.now
        since = self._silent_since.setdefault(machine_id, now)
        if (
            machine_id not in self.cloud_client.listed
            and now - self._known_since[machine_id] > self.cloud_client.max_list_delay()
        ):
            return True
        silent, total = silent_counts.get(self.membership.owner(machine_id) or "", (0, 0))
        if silent * 3 <= total:
            return now - since > self.context.report_interval * 4 / 3
        return now - since > self.context.machine_lease

    def _delete_tombstones(self) -> None:
        """Delete the records of returned machines once no delayed message can recreate them."""
        now = self.context.now
        tombstones = [
            machine_id
            for machine_id, lifecycle in self.cluster_state.restricted_machines.items()
            if lifecycle is MachineLifecycle.RETURNED or machine_id in self.cloud_client.returned
        ]
        self._tombstone_since = {machine_id: self._tombstone_since.get(machine_id, now) for machine_id in tombstones}
        for machine_id, since in self._tombstone_since.items():
            if now - since > TOMBSTONE_RETENTION and machine_id not in self.cluster_state.tasks_by_machine:
                self.state_writer.put_machine(machine_id, None)

    def reports_outstanding(self) -> bool:
        """Return whether machines are running that other controllers have not had time to announce to this leader.

        Without this check, a leader that was restarted together with all other controllers rented hundreds of machines
        for tasks that were already running.
        """
        if self.membership.active_for(2.5 * self.context.report_interval):
            return False
        return any(
            machine.state is ListedMachineState.RUNNING
            and machine_id not in self.cluster_state.machines
            and machine_id not in self.cloud_client.returned
            for machine_id, machine in self.cloud_client.listed.items()
        )
