"""Caches the candidate machines between scheduling rounds, so that only changed machines are recomputed."""

from __future__ import annotations

from collections.abc import Container
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import CapacityPool, MachineLifecycle, TaskRecord, TaskState
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.placement import Candidate, PlacedTask
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.policies import PolicyEngine
from gladecroft.protocol.operators import format_utc
from gladecroft.protocol.wire import JobKind, JobSpec, MachineType


class CandidateCache:
    """The machines on which tasks may be placed, with their free capacity.

    A machine is a candidate if its lifecycle state is UP, its type is known, placement on it is not suspended and no
    change of its record waits to be written. A machine that this controller owns must also have acknowledged the
    fencing token of this owner, and must not be suspected of missing the replies to its reports.
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        state_writer: StateWriter,
        max_high_priority_rank: int,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.name = context.name
        self.membership = membership
        self.machine_manager = machine_manager
        self.state_writer = state_writer
        #: Largest rank that counts as high priority; rank 0 is the highest priority.
        self.max_high_priority_rank = max_high_priority_rank
        self.machine_types: dict[str, MachineType] = {}
        self.candidates: dict[str, Candidate] = {}
        self.by_pool: dict[CapacityPool, dict[str, Candidate]] = {}
        #: The pool under which each candidate is found in ``by_pool``.
        self._pools: dict[str, CapacityPool] = {}
        #: By machine: the images that it has cached or will fetch. The inner dictionary serves as a set.
        self._images: dict[str, dict[str, None]] = {}
        self.policy_engine = context.policy_engine
        #: By job id: why a policy last rejected a machine for the job in this round.
        self.policy_rejections: dict[str, str] = {}
        self._recomputed_count = 0

    def invalidate_all(self) -> None:
        """Have every candidate recomputed by the next ``refresh``."""
        self.cluster_state.dirty_for_placement.update(self.cluster_state.machines, self.candidates)

    def set_types(self, types: dict[str, MachineType]) -> None:
        """Replace the machine types by those that the cloud now offers."""
        if types != self.machine_types:
            self.machine_types = types
            self.invalidate_all()

    def refresh(self, guaranteed_job_ids: set[str]) -> None:
        """Recompute the candidates of machines that changed or on which the last round placed tasks tentatively.

        ``guaranteed_job_ids`` holds the jobs that fit into their team's guarantee.
        """
        self.policy_rejections.clear()
        self.cluster_state.expire_suspensions(self.context.now)
        dirty, self.cluster_state.dirty_for_placement = self.cluster_state.dirty_for_placement, set()
        self._recomputed_count += len(dirty)
        for machine_id in sorted(dirty):
            self._drop(machine_id)
            candidate = self._build_candidate(machine_id, guaranteed_job_ids)
            if candidate is not None:
                record = self.cluster_state.machines[machine_id]
                pool = record.pool
                self.candidates[machine_id] = candidate
                self._pools[machine_id] = pool
                self.by_pool.setdefault(pool, {})[machine_id] = candidate
            elif machine_id not in self.cluster_state.machines:
                self._images.pop(machine_id, None)

    @property
    def recomputed_count(self) -> int:
        """Number of machines that ``refresh`` has evaluated so far, whether or not they became candidates."""
        return self._recomputed_count

    def _drop(self, machine_id: str) -> None:
        if self.candidates.pop(machine_id, None) is not None:
            pool = self._pools.pop(machine_id)
            pool_candidates = self.by_pool[pool]
            del pool_candidates[machine_id]
            if not pool_candidates:
                del self.by_pool[pool]

    def _build_candidate(self, machine_id: str, guaranteed_job_ids: set[str]) -> Candidate | None:
        record = self.cluster_state.machines.get(machine_id)
        if (
            record is None
            or record.lifecycle is not MachineLifecycle.UP
            or machine_id in self.cluster_state.placement_suspended
        ):
            return None
        if self.state_writer.machine_writes.get(machine_id, record) != record:
            return None
        machine_type = self.machine_types.get(record.type)
        if machine_type is None:
            return None
        owner = self.membership.owner(machine_id) or ""
        owned = owner == self.name
        images = self._images.setdefault(machine_id, {})
        if owned:
            machine = self.machine_manager.machines.get(machine_id)
            # A new owner uses a machine only after a report that acknowledges the fencing token of that owner.
            if machine is None or machine.acked_at is None or machine.suspect:
                return None
            images.update(machine.cached_images)
        tasks = [
            self._placed_task(self.cluster_state.jobs[job_id], task_number, task, guaranteed_job_ids)
            for (job_id, task_number), task in self.cluster_state.tasks_on(machine_id)
        ]
        candidate = Candidate(
            machine_id,
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
        candidate.recompute(self.max_high_priority_rank)
        return candidate

    @staticmethod
    def _placed_task(job: Job, task_number: int, task: TaskRecord, guaranteed_job_ids: set[str]) -> PlacedTask:
        spec = job.spec
        stopping = task.state is TaskState.STOPPING or job.cancelled
        return PlacedTask(job.id, task_number, spec.cpus, spec.gpus, spec.memory_gb, job.priority_rank, spec.team,
                        job.id in guaranteed_job_ids, task.placed_s, stopping, spec.job_class,
                        job.placed_count if spec.kind is JobKind.GANG else 1)  # fmt: skip

    def invalidate(self, candidate: Candidate) -> None:
        """Have a candidate recomputed by the next ``refresh``, since this round has placed tasks on it tentatively."""
        self.cluster_state.dirty_for_placement.add(candidate.machine_id)

    def record_image(self, machine_id: str, image: str) -> None:
        """Record that a machine holds, or is about to fetch, an image."""
        self._images.setdefault(machine_id, {})[image] = None

    @staticmethod
    def is_suitable_type(spec: JobSpec, machine_type: MachineType) -> bool:
        """Whether the job allows a machine type, and one of its tasks fits on an empty machine of that type."""
        return (
            (spec.types is None or machine_type.name in spec.types)
            and spec.cpus <= machine_type.cpus
            and spec.gpus <= machine_type.gpus
            and spec.memory_gb <= machine_type.memory_gb
        )

    def machine_allowed(self, spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
        """Whether the job can use machines of a type in a zone; ``spot`` tells whether they are spot machines.

        ``spec.spot`` is the job's permission to run on spot machines.
        """
        machine_type = self.machine_types.get(type_name)
        return (
            machine_type is not None
            and self.is_suitable_type(spec, machine_type)
            and (spec.zone is None or spec.zone == zone)
            and (spec.spot or not spot)
        )

    def usable(self, job: Job, full_zones: Container[str] = ()) -> list[Candidate]:
        """Return the candidates that the job's constraints and the policies allow.

        Machines in ``full_zones`` are left out: no more of the job's tasks may run in these zones.
        """
        usable: list[Candidate] = []
        for pool, pool_candidates in self.by_pool.items():
            if pool[1] not in full_zones and self.machine_allowed(job.spec, *pool):
                if self.policy_engine is None:
                    usable += pool_candidates.values()
                else:
                    usable += [
                        candidate
                        for candidate in pool_candidates.values()
                        if self._apply_policies(self.policy_engine, job, candidate, pool)
                    ]
        return usable

    def _apply_policies(self, policy_engine: PolicyEngine, job: Job, candidate: Candidate, pool: CapacityPool) -> bool:
        """Whether the policies allow a candidate for the job.

        Sets the candidate's policy score if they do, and records the reason for the rejection otherwise.
        """
        reason = policy_engine.rejection_reason(job, candidate.machine_id, pool) or self._drain_rejection(
            policy_engine, job, candidate.machine_id, pool
        )
        if reason is not None:
            self.policy_rejections[job.id] = reason
            return False
        candidate.policy_score = policy_engine.score(job, candidate.machine_id, pool)
        return True

    @staticmethod
    def _drain_rejection(policy_engine: PolicyEngine, job: Job, machine_id: str, pool: CapacityPool) -> str | None:
        """Return why a machine that a policy drains can't take a task of the job; None if it can.

        Only array tasks that are estimated to end by ``deadline - checkpoint_grace`` are allowed: from then on, the
        tasks still running there are stopped.
        """
        drain = policy_engine.drain(machine_id, pool)
        if drain is None:
            return None
        expected_end = policy_engine.wall_now + timedelta(seconds=job.spec.estimate_s)
        if (
            job.spec.kind is JobKind.ARRAY
            and job.spec.estimate_s > 0
            and expected_end <= drain.deadline - drain.checkpoint_grace
        ):
            return None
        return f"{drain.reason}; to be empty by {format_utc(drain.deadline)}"
