"""The machines as the placers see them, kept from round to round: only what has changed is looked at again."""

from __future__ import annotations

from collections.abc import Container
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import MachineSort, MachineUse, TaskRecord, TaskState
from gladecroft.coordination.context import Node
from gladecroft.coordination.machines import Keeper
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.placement import Resident, Slot
from gladecroft.coordination.state_writer import Ledger
from gladecroft.policies import Panel
from gladecroft.protocol.operators import utc
from gladecroft.protocol.wire import JobSpec, Kind, MachineType


class Floor:
    """Slots of the machines that may be offered: in use and, in our own part, heard in this epoch."""

    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger, line: int) -> None:
        self.node = node
        self.picture = node.picture
        self.name = node.name
        self.membership = membership
        self.keeper = keeper
        self.ledger = ledger
        self.line = line
        self.types: dict[str, MachineType] = {}
        self.slots: dict[str, Slot] = {}
        self.groups: dict[MachineSort, dict[str, Slot]] = {}
        self._sorts: dict[str, MachineSort] = {}
        self._images: dict[str, dict[str, None]] = {}
        self.panel = node.panel
        #: Why machines were last refused to a job by a policy, in this round.
        self.refusals: dict[str, str] = {}
        self._looked = 0

    def all_stale(self) -> None:
        self.picture.stale.update(self.picture.machines, self.slots)

    def set_types(self, types: dict[str, MachineType]) -> None:
        if types != self.types:
            self.types = types
            self.all_stale()

    def refresh(self, guaranteed: set[str]) -> None:
        """Bring the slots of machines up to date that have changed or that the last round planned on."""
        self.refusals.clear()
        self.picture.end_doubts(self.node.now)
        stale, self.picture.stale = self.picture.stale, set()
        self._looked += len(stale)
        for name in sorted(stale):
            self._drop(name)
            slot = self._slot(name, guaranteed)
            if slot is not None:
                record = self.picture.machines[name]
                sort = record.sort
                self.slots[name] = slot
                self._sorts[name] = sort
                self.groups.setdefault(sort, {})[name] = slot
            elif name not in self.picture.machines:
                self._images.pop(name, None)

    @property
    def looked(self) -> int:
        """How many machines have been looked at so far."""
        return self._looked

    def _drop(self, name: str) -> None:
        if self.slots.pop(name, None) is not None:
            sort = self._sorts.pop(name)
            group = self.groups[sort]
            del group[name]
            if not group:
                del self.groups[sort]

    def _slot(self, name: str, guaranteed: set[str]) -> Slot | None:
        record = self.picture.machines.get(name)
        if record is None or record.use is not MachineUse.UP or name in self.picture.doubted:
            return None
        if self.ledger.machine_puts.get(name, record) != record:
            return None
        kind = self.types.get(record.type)
        if kind is None:
            return None
        owner = self.membership.owner(name) or ""
        mine = owner == self.name
        images = self._images.setdefault(name, {})
        if mine:
            machine = self.keeper.machines.get(name)
            # A taker-over offers a machine only after a report that shows that it hears.
            if machine is None or machine.shown_at is None or machine.suspect:
                return None
            images.update(machine.images)
        residents = [
            self._resident(self.picture.jobs[job], number, task, guaranteed)
            for (job, number), task in self.picture.residents(name)
        ]
        slot = Slot(
            name, record.zone, record.spot, mine, owner, kind.cpus, kind.gpus, kind.memory_gb, set(images), residents
        )
        slot.count(self.line)
        return slot

    @staticmethod
    def _resident(job: Job, number: int, task: TaskRecord, guaranteed: set[str]) -> Resident:
        spec = job.spec
        stopping = task.state is TaskState.STOPPING or job.cancelled
        return Resident(job.id, number, spec.cpus, spec.gpus, spec.memory_gb, job.rank, spec.team,
                        job.id in guaranteed, task.placed_s, stopping, spec.job_class,
                        job.occupied if spec.kind is Kind.GANG else 1)  # fmt: skip

    def plan_on(self, slot: Slot) -> None:
        """Note that this round plans on a slot: before the next it is worked out anew."""
        self.picture.stale.add(slot.machine)

    def note_image(self, machine: str, image: str) -> None:
        self._images.setdefault(machine, {})[image] = None

    # What a job allows ---------------------------------------------------------------------------------------

    @staticmethod
    def type_allowed(spec: JobSpec, kind: MachineType) -> bool:
        return (
            (spec.types is None or kind.name in spec.types)
            and spec.cpus <= kind.cpus
            and spec.gpus <= kind.gpus
            and spec.memory_gb <= kind.memory_gb
        )

    def allowed(self, spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
        kind = self.types.get(type_name)
        return (
            kind is not None
            and self.type_allowed(spec, kind)
            and (spec.zone is None or spec.zone == zone)
            and (spec.spot or not spot)
        )

    def usable(self, job: Job, full: Container[str] = ()) -> list[Slot]:
        """The slots of the sorts of machine that the job allows, less those that a policy refuses it. ``full``: zones
        that can take no more of the job."""
        usable: list[Slot] = []
        for sort, group in self.groups.items():
            if sort[1] not in full and self.allowed(job.spec, *sort):
                if self.panel is None:
                    usable += group.values()
                else:
                    usable += [slot for slot in group.values() if self._agreed(self.panel, job, slot, sort)]
        return usable

    def _agreed(self, panel: Panel, job: Job, slot: Slot, sort: MachineSort) -> bool:
        why = panel.refusal(job, slot.machine, sort) or self._drained(panel, job, slot.machine, sort)
        if why is not None:
            self.refusals[job.id] = why
            return False
        slot.tie = panel.score(job, slot.machine, sort)
        return True

    @staticmethod
    def _drained(panel: Panel, job: Job, machine: str, sort: MachineSort) -> str | None:
        """A machine that is to be empty by an instant takes only what will have ended then."""
        drain = panel.drain(machine, sort)
        if drain is None:
            return None
        ends = panel.now + timedelta(seconds=job.spec.estimate_s)
        if job.spec.kind is Kind.ARRAY and job.spec.estimate_s > 0 and ends <= drain.by - drain.grace:
            return None
        return f"{drain.why}; to be empty by {utc(drain.by)}"
