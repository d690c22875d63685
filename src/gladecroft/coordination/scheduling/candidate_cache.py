"""Caches the candidate machines between scheduling rounds, so that only changed machines are recomputed."""

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
from gladecroft.policies import PolicyEngine
from gladecroft.protocol.operators import format_utc
from gladecroft.protocol.wire import JobKind, JobSpec, MachineType


class CandidateCache:
    """The machines that may be offered to tasks.

    A machine is offered if it is in use and, when this controller owns it, has reported in the current epoch.
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        state_writer: StateWriter,
        priority_line: int,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.name = context.name
        self.membership = membership
        self.machine_manager = machine_manager
        self.state_writer = state_writer
        self.priority_line = priority_line
        self.machine_types: dict[str, MachineType] = {}
        self.candidates: dict[str, Candidate] = {}
        self.by_pool: dict[CapacityPool, dict[str, Candidate]] = {}
        self._pools: dict[str, CapacityPool] = {}
        self._images: dict[str, dict[str, None]] = {}
        self.policy_engine = context.policy_engine
        #: By job: why a policy last refused it a machine in this round.
        self.refusals: dict[str, str] = {}
        self._recomputed_count = 0

    def invalidate_all(self) -> None:
        """Have every candidate recomputed by the next ``refresh``."""
        self.cluster_state.dirty_for_placement.update(self.cluster_state.machines, self.candidates)

    def set_types(self, types: dict[str, MachineType]) -> None:
        """Replace the machine types by those that the cloud now offers."""
        if types != self.machine_types:
            self.machine_types = types
            self.invalidate_all()

    def refresh(self, guaranteed: set[str]) -> None:
        """Recompute the candidates of machines that changed or that the last round planned on.

        ``guaranteed`` holds the ids of the jobs within their team's guarantee.
        """
        self.refusals.clear()
        self.cluster_state.expire_suspensions(self.context.now)
        dirty, self.cluster_state.dirty_for_placement = self.cluster_state.dirty_for_placement, set()
        self._recomputed_count += len(dirty)
        for name in sorted(dirty):
            self._drop(name)
            candidate = self._build_candidate(name, guaranteed)
            if candidate is not None:
                record = self.cluster_state.machines[name]
                pool = record.pool
                self.candidates[name] = candidate
                self._pools[name] = pool
                self.by_pool.setdefault(pool, {})[name] = candidate
            elif name not in self.cluster_state.machines:
                self._images.pop(name, None)

    @property
    def recomputed_count(self) -> int:
        """How many times a candidate has been recomputed so far."""
        return self._recomputed_count

    def _drop(self, name: str) -> None:
        if self.candidates.pop(name, None) is not None:
            pool = self._pools.pop(name)
            group = self.by_pool[pool]
            del group[name]
            if not group:
                del self.by_pool[pool]

    def _build_candidate(self, name: str, guaranteed: set[str]) -> Candidate | None:
        record = self.cluster_state.machines.get(name)
        if record is None or record.use is not MachineUse.UP or name in self.cluster_state.placement_suspended:
            return None
        if self.state_writer.machine_writes.get(name, record) != record:
            return None
        machine_type = self.machine_types.get(record.type)
        if machine_type is None:
            return None
        owner = self.membership.owner(name) or ""
        owned = owner == self.name
        images = self._images.setdefault(name, {})
        if owned:
            machine = self.machine_manager.machines.get(name)
            # A new owner offers a machine only after a report that acknowledges its token.
            if machine is None or machine.acked_at is None or machine.suspect:
                return None
            images.update(machine.cached_images)
        tasks = [
            self._placed_task(self.cluster_state.jobs[job], number, task, guaranteed)
            for (job, number), task in self.cluster_state.tasks_on(name)
        ]
        candidate = Candidate(
            name,
            record.zone,
            record.spot,
            owned,
            owner,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            set(images),
            tasks,
        )
        candidate.recompute(self.priority_line)
        return candidate

    @staticmethod
    def _placed_task(job: Job, number: int, task: TaskRecord, guaranteed: set[str]) -> PlacedTask:
        spec = job.spec
        stopping = task.state is TaskState.STOPPING or job.cancelled
        return PlacedTask(job.id, number, spec.cpus, spec.gpus, spec.memory_gb, job.priority_rank, spec.team,
                        job.id in guaranteed, task.placed_s, stopping, spec.job_class,
                        job.placed_count if spec.kind is JobKind.GANG else 1)  # fmt: skip

    def mark_planned(self, candidate: Candidate) -> None:
        """Have a candidate recomputed before the next round because this round planned on it."""
        self.cluster_state.dirty_for_placement.add(candidate.machine)

    def record_image(self, machine: str, image: str) -> None:
        """Record that a machine holds, or is about to fetch, an image."""
        self._images.setdefault(machine, {})[image] = None

    @staticmethod
    def type_allowed(spec: JobSpec, machine_type: MachineType) -> bool:
        """Whether the job allows a machine type and an empty machine of it holds a task."""
        return (
            (spec.types is None or machine_type.name in spec.types)
            and spec.cpus <= machine_type.cpus
            and spec.gpus <= machine_type.gpus
            and spec.memory_gb <= machine_type.memory_gb
        )

    def machine_allowed(self, spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the job allows machines of a type in a zone, on the spot market or not."""
        machine_type = self.machine_types.get(type_name)
        return (
            machine_type is not None
            and self.type_allowed(spec, machine_type)
            and (spec.zone is None or spec.zone == zone)
            and (spec.spot or not spot)
        )

    def usable(self, job: Job, full_zones: Container[str] = ()) -> list[Candidate]:
        """Return the candidates that the job's constraints and the policies allow.

        Zones in ``full_zones`` can take no more tasks of the job and are left out.
        """
        usable: list[Candidate] = []
        for pool, group in self.by_pool.items():
            if pool[1] not in full_zones and self.machine_allowed(job.spec, *pool):
                if self.policy_engine is None:
                    usable += group.values()
                else:
                    usable += [
                        candidate
                        for candidate in group.values()
                        if self._allowed_by_policies(self.policy_engine, job, candidate, pool)
                    ]
        return usable

    def _allowed_by_policies(
        self, policy_engine: PolicyEngine, job: Job, candidate: Candidate, pool: CapacityPool
    ) -> bool:
        reason = policy_engine.rejection_reason(job, candidate.machine, pool) or self._drain_refusal(
            policy_engine, job, candidate.machine, pool
        )
        if reason is not None:
            self.refusals[job.id] = reason
            return False
        candidate.tie_breaker = policy_engine.score(job, candidate.machine, pool)
        return True

    @staticmethod
    def _drain_refusal(policy_engine: PolicyEngine, job: Job, machine: str, pool: CapacityPool) -> str | None:
        """Return why a machine that is being drained can't take a task of the job; None if it can.

        It takes only tasks of arrays that are estimated to end before the drain begins to stop tasks.
        """
        drain = policy_engine.drain(machine, pool)
        if drain is None:
            return None
        expected_end = policy_engine.now + timedelta(seconds=job.spec.estimate_s)
        if (
            job.spec.kind is JobKind.ARRAY
            and job.spec.estimate_s > 0
            and expected_end <= drain.deadline - drain.checkpoint_grace
        ):
            return None
        return f"{drain.reason}; to be empty by {format_utc(drain.deadline)}"
