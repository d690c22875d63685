"""The machines as the placers see them, kept from round to round: only what has changed is looked at again."""

from __future__ import annotations

from collections.abc import Container
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineUse, TaskRecord, TaskState
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.placement import Candidate, PlacedTask
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.policies import Panel
from gladecroft.protocol.operators import format_utc
from gladecroft.protocol.wire import JobKind, JobSpec, MachineType


class CandidateCache:
    """Slots of the machines that may be offered: in use and, in our own part, heard in this epoch."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        state_writer: StateWriter,
        line: int,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.name = context.name
        self.membership = membership
        self.machine_manager = machine_manager
        self.state_writer = state_writer
        self.line = line
        self.types: dict[str, MachineType] = {}
        self.candidates: dict[str, Candidate] = {}
        self.groups: dict[CapacityPool, dict[str, Candidate]] = {}
        self._sorts: dict[str, CapacityPool] = {}
        self._images: dict[str, dict[str, None]] = {}
        self.panel = context.panel
        #: Why machines were last refused to a job by a policy, in this round.
        self.refusals: dict[str, str] = {}
        self._looked = 0

    def invalidate_all(self) -> None:
        self.cluster_state.dirty_for_placement.update(self.cluster_state.machines, self.candidates)

    def set_types(self, types: dict[str, MachineType]) -> None:
        if types != self.types:
            self.types = types
            self.invalidate_all()

    def refresh(self, guaranteed: set[str]) -> None:
        """Bring the slots of machines up to date that have changed or that the last round planned on."""
        self.refusals.clear()
        self.cluster_state.expire_suspensions(self.context.now)
        stale, self.cluster_state.dirty_for_placement = self.cluster_state.dirty_for_placement, set()
        self._looked += len(stale)
        for name in sorted(stale):
            self._drop(name)
            slot = self._slot(name, guaranteed)
            if slot is not None:
                record = self.cluster_state.machines[name]
                pool = record.pool
                self.candidates[name] = slot
                self._sorts[name] = pool
                self.groups.setdefault(pool, {})[name] = slot
            elif name not in self.cluster_state.machines:
                self._images.pop(name, None)

    @property
    def looked(self) -> int:
        """How many machines have been looked at so far."""
        return self._looked

    def _drop(self, name: str) -> None:
        if self.candidates.pop(name, None) is not None:
            sort = self._sorts.pop(name)
            group = self.groups[sort]
            del group[name]
            if not group:
                del self.groups[sort]

    def _slot(self, name: str, guaranteed: set[str]) -> Candidate | None:
        record = self.cluster_state.machines.get(name)
        if record is None or record.use is not MachineUse.UP or name in self.cluster_state.placement_suspended:
            return None
        if self.state_writer.machine_writes.get(name, record) != record:
            return None
        kind = self.types.get(record.type)
        if kind is None:
            return None
        owner = self.membership.owner(name) or ""
        mine = owner == self.name
        images = self._images.setdefault(name, {})
        if mine:
            machine = self.machine_manager.machines.get(name)
            # A taker-over offers a machine only after a report that shows that it hears.
            if machine is None or machine.acked_at is None or machine.suspect:
                return None
            images.update(machine.cached_images)
        residents = [
            self._resident(self.cluster_state.jobs[job], number, task, guaranteed)
            for (job, number), task in self.cluster_state.tasks_on(name)
        ]
        slot = Candidate(
            name, record.zone, record.spot, mine, owner, kind.cpus, kind.gpus, kind.memory_gb, set(images), residents
        )
        slot.count(self.line)
        return slot

    @staticmethod
    def _resident(job: Job, number: int, task: TaskRecord, guaranteed: set[str]) -> PlacedTask:
        spec = job.spec
        stopping = task.state is TaskState.STOPPING or job.cancelled
        return PlacedTask(job.id, number, spec.cpus, spec.gpus, spec.memory_gb, job.priority_rank, spec.team,
                        job.id in guaranteed, task.placed_s, stopping, spec.job_class,
                        job.placed_count if spec.kind is JobKind.GANG else 1)  # fmt: skip

    def plan_on(self, slot: Candidate) -> None:
        """Note that this round plans on a slot: before the next it is worked out anew."""
        self.cluster_state.dirty_for_placement.add(slot.machine)

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

    def usable(self, job: Job, full: Container[str] = ()) -> list[Candidate]:
        """The slots of the sorts of machine that the job allows, less those that a policy refuses it. ``full``: zones
        that can take no more of the job."""
        usable: list[Candidate] = []
        for sort, group in self.groups.items():
            if sort[1] not in full and self.allowed(job.spec, *sort):
                if self.panel is None:
                    usable += group.values()
                else:
                    usable += [slot for slot in group.values() if self._agreed(self.panel, job, slot, sort)]
        return usable

    def _agreed(self, panel: Panel, job: Job, slot: Candidate, pool: CapacityPool) -> bool:
        why = panel.refusal(job, slot.machine, pool) or self._drained(panel, job, slot.machine, pool)
        if why is not None:
            self.refusals[job.id] = why
            return False
        slot.tie_breaker = panel.score(job, slot.machine, pool)
        return True

    @staticmethod
    def _drained(panel: Panel, job: Job, machine: str, pool: CapacityPool) -> str | None:
        """A machine that is to be empty by an instant takes only what will have ended then."""
        drain = panel.drain(machine, pool)
        if drain is None:
            return None
        ends = panel.now + timedelta(seconds=job.spec.estimate_s)
        if job.spec.kind is JobKind.ARRAY and job.spec.estimate_s > 0 and ends <= drain.by - drain.grace:
            return None
        return f"{drain.why}; to be empty by {format_utc(drain.by)}"
