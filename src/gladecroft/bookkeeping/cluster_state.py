"""A controller's in-memory copy of the records in the state service.

Updates come from listings, the watch and the controller's own commits, in any order. An update is applied only if its
revision is higher than the one known for its key.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import NEW_TASK, Job, TaskKey
from gladecroft.bookkeeping.teams import Guarantees, TeamUsage, infeasible_reason
from gladecroft.bookkeeping.versions import KeyVersions
from gladecroft.bookkeeping.workload import Workload
from gladecroft.protocol.settings import Team
from gladecroft.protocol.wire import JobKind, JobSpec, decode

log = logging.getLogger(__name__)

#: Final records cached in memory; older ones are read from the state service on demand.
MAX_CACHED_FINALS = 5_000
#: Maximum number of returned machines remembered; those returned first are dropped.
MAX_RETURNED_MACHINES = 20_000
#: Priority rank of a machine without tasks; higher than the rank of any priority, as a higher rank is less important.
NO_RANK = 1 << 30


class ClusterState:
    """Jobs, tasks, machines, teams and members as recorded, with indexes over them.

    It also holds what this controller knows before it is recorded: machines that are known only by their reports,
    attempts that have ended, and machines on which placement is suspended.
    """

    def __init__(self, teams: list[Team], value_kb: float) -> None:
        self.team_settings = {team.name: team for team in teams}
        self.chunk_size = rec.tasks_per_chunk(value_kb)
        self.max_value_bytes = int(value_kb * 1024)
        #: Called for each update of a policy record (subject, name, value), and before all records are read again.
        self.on_policy_change: Callable[[str, str, bytes | None], None] | None = None
        self.on_policy_reset: Callable[[], None] | None = None
        #: Team name by record key.
        self._team_names = {rec.team_key(team.name): team.name for team in teams}
        self.reset_count = 0
        self.reset()

    def reset(self) -> None:
        """Discard everything, before all records are read again.

        Machines without a record are discarded too. One that was returned to the cloud meanwhile would otherwise stay
        known here. Those that are up are announced again, as to a controller that has restarted.
        """
        if self.on_policy_reset is not None:
            self.on_policy_reset()
        self.revision = 0
        self.epoch: rec.EpochRecord | None = None
        self.epoch_version = 0
        self.members: dict[str, rec.MemberRecord] = {}
        self.jobs: dict[str, Job] = {}
        self.final_records: OrderedDict[str, rec.FinalRecord] = OrderedDict()
        self.team_records: dict[str, rec.TeamRecord] = {}
        self.machines: dict[str, rec.MachineRecord] = {}
        #: Machines without a record, known because they have reported to their owner; they are in ``machines`` too.
        self.reported_machines: dict[str, rec.MachineRecord] = {}
        #: By sender: messages for controllers that the sender can't reach.
        self.outboxes: dict[str, rec.OutboxRecord] = {}
        #: The leader's decision on admission in an overload.
        self.admission: rec.AdmissionRecord | None = None
        #: Machines whose lifecycle state is not UP.
        self.restricted_machines: dict[str, rec.MachineLifecycle] = {}
        #: Machines whose tasks are to be stopped or moved; they are few and evaluated in every scheduling round.
        self.evacuating_machines: dict[str, rec.MachineLifecycle] = {}
        #: By machine: the tasks that are placed on it according to the records.
        self.tasks_by_machine: dict[str, dict[TaskKey, rec.TaskRecord]] = {}
        #: Machines whose record or tasks changed since this controller, as their owner, last evaluated them.
        self.dirty_for_owner: set[str] = set()
        #: Machines whose record, tasks or usage changed since the scheduler last evaluated them.
        self.dirty_for_placement: set[str] = set()
        #: Number of updates applied.
        self.change_count = 0
        #: Indexes, to avoid scanning all jobs: jobs with queued tasks, finished jobs, gangs.
        self.queued_jobs: dict[str, Job] = {}
        self.finished_jobs: dict[str, Job] = {}
        self.gang_jobs: dict[str, Job] = {}
        #: Number of unfinished gangs of each team.
        self.gang_count_by_team: dict[str, int] = {}
        self._guarantees = Guarantees(self.team_settings)
        #: Totals over the unfinished jobs.
        self.workload = Workload()
        #: Ids of the jobs that changed since they were last sorted into the pending queue.
        self.dirty_jobs: set[str] = set()
        #: Chunks (job id, index) that changed since the unrecorded exits were last checked; for a removed job, index 0.
        self.changed_chunks: set[tuple[str, int]] = set()
        self.reset_count += 1
        #: Attempts that have ended but are still placed according to the records. Their resources on the machines count
        #: as free.
        self.unrecorded_exits: dict[TaskKey, int] = {}
        #: Machines whose tasks were lost, or that are being returned to the cloud, and that no record or owner has
        #: confirmed since, with the monotonic time until which nothing is placed on them.
        self.placement_suspended: dict[str, timedelta] = {}
        self._used_by_machine: dict[str, tuple[float, float, float]] = {}
        #: By machine in ``_used_by_machine``: the rank of the highest priority among its tasks.
        self._top_rank_by_machine: dict[str, int] = {}
        self._team_usage = TeamUsage()
        self._versions = KeyVersions()
        #: Machines that were returned to the cloud and have no record any more, the one removed first comes first.
        self._returned_machines: OrderedDict[str, None] = OrderedDict()
        #: By job id and chunk index: chunks (tasks, version) whose job record has not arrived yet or has been deleted.
        self._orphans: dict[str, dict[int, tuple[list[rec.TaskRecord], int]]] = {}

    def version(self, key: str) -> int:
        """The last known version of the key; 0 if it does not exist or is not known here, as for final records."""
        return self._versions.get(key)

    def apply(self, key: str, value: bytes | msgspec.Raw | None, version: int) -> bool:
        """Apply one update; False if it is not newer than the known version of its key.

        A value of None is a deletion; ``apply_absence`` is for a record that a read did not find. A record that can't
        be decoded is logged and ignored, but its version counts as known.
        """
        if not self._versions.advance(key, version, value is not None):
            return False
        self.change_count += 1
        try:
            self._apply_record(key, None if value is None else bytes(value), version)
        except (msgspec.DecodeError, ValueError, IndexError) as error:
            log.error("record %s at %d can't be read: %s", key, version, error)
        return True

    def apply_absence(self, key: str, revision: int) -> None:
        """Apply the result of a read that found no record at this revision.

        If a record is known here, it was deleted. If none is known, there may never have been one. When the absence of
        a machine's record counted as its deletion, and so as the machine's return to the cloud, a machine that was up
        was no longer used once the commit of its first record got no response.

        Older updates that arrive later are ignored, but for machines: if a machine was returned in the meantime, this
        controller learns of it from the deletion that the watch has yet to deliver.
        """
        if self.version(key):
            self.apply(key, None, revision)
        elif not key.startswith(rec.MACHINES):
            self._versions.advance(key, revision, exists=False)

    def _apply_record(self, key: str, value: bytes | None, version: int) -> None:
        kind, name = key[:4], key[4:]
        if kind == rec.CHUNKS:
            job_id, _, index = name.rpartition("/")
            chunk = None if value is None else decode(rec.ChunkRecord, value).tasks
            self._apply_chunk(job_id, int(index), chunk, version)
        elif kind == rec.JOBS:
            self._apply_job(name, None if value is None else decode(rec.JobRecord, value), version)
        elif kind == rec.FINALS:
            if value is not None:
                self._remove_job(name)
                self.add_final(name, decode(rec.FinalRecord, value))
            self._versions.forget(key)  # final records never change
        elif kind == rec.TEAMS:
            team = self._team_names.get(key)
            if team is not None:
                self.team_records[team] = rec.TeamRecord() if value is None else decode(rec.TeamRecord, value)
        elif kind == rec.MACHINES:
            self._apply_machine(name, None if value is None else decode(rec.MachineRecord, value), version)
        elif kind == rec.OUTBOXES:
            if value is None:
                self.outboxes.pop(name, None)
            else:
                self.outboxes[name] = decode(rec.OutboxRecord, value)
        elif kind == rec.MEMBERS:
            if value is None:
                self.members.pop(name, None)
            else:
                self.members[name] = decode(rec.MemberRecord, value)
        elif kind == rec.POLICIES:
            if self.on_policy_change is not None:
                subject, _, policy_key = name.partition("/")
                self.on_policy_change(subject, policy_key, value)
        elif key == rec.ADMISSION:
            self.admission = None if value is None else decode(rec.AdmissionRecord, value)
        elif key == rec.EPOCH:
            self.epoch = None if value is None else decode(rec.EpochRecord, value)
            self.epoch_version = version

    def _apply_machine(self, machine_id: str, record: rec.MachineRecord | None, version: int) -> None:
        self.reported_machines.pop(machine_id, None)
        self.placement_suspended.pop(machine_id, None)
        self.restricted_machines.pop(machine_id, None)
        self.evacuating_machines.pop(machine_id, None)
        if record is None:
            # Only the records of machines that were returned to the cloud are deleted.
            self._mark_returned(machine_id)
            if self.machines.pop(machine_id, None) is not None:
                log.info("machine %s removed: its record is deleted, revision=%d", machine_id, version)
        else:
            self.machines[machine_id] = record
            if record.lifecycle is not rec.MachineLifecycle.UP:
                self.restricted_machines[machine_id] = record.lifecycle
            if record.lifecycle in rec.EVACUATED_LIFECYCLES:
                self.evacuating_machines[machine_id] = record.lifecycle
        self.dirty_for_owner.add(machine_id)
        self.dirty_for_placement.add(machine_id)

    def suspend_placement(self, machine_ids: Iterable[str], until: timedelta) -> None:
        """Suspend placement on machines until the given time, or until a record or their owner confirms them.

        The time limit is needed because the owner's announcement that a machine is back is not repeated, and may arrive
        before the message about its lost tasks. Without the limit, placement on such a machine stayed suspended, and a
        service that could only run there stayed queued.
        """
        for machine_id in machine_ids:
            self.placement_suspended[machine_id] = until
            self.dirty_for_placement.add(machine_id)

    def expire_suspensions(self, now: timedelta) -> None:
        """Resume placement on machines whose suspension has expired."""
        for name in [name for name, until in self.placement_suspended.items() if now >= until]:
            del self.placement_suspended[name]
            self.dirty_for_placement.add(name)

    def add_reported_machine(self, machine_id: str, record: rec.MachineRecord) -> None:
        """Add a machine that is known from its reports to some controller, and resume placement on it.

        A machine that is up needs no record, since its owner announces it to the other controllers. Records take
        precedence over reports. A machine that already has a record, or was returned to the cloud, is not added.
        """
        if self.placement_suspended.pop(machine_id, None) is not None:
            self.dirty_for_placement.add(machine_id)
        if machine_id not in self.machines and not self.was_returned(machine_id):
            self.reported_machines[machine_id] = self.machines[machine_id] = record
            self.dirty_for_owner.add(machine_id)
            self.dirty_for_placement.add(machine_id)

    def remove_machine(self, machine_id: str) -> None:
        """Remove a machine without a record that was returned to the cloud.

        Delayed reports do not add it again. A machine with a record stays until its record is deleted.
        """
        if self.reported_machines.pop(machine_id, None) is not None:
            self.machines.pop(machine_id, None)
            self._mark_returned(machine_id)
        self.placement_suspended.pop(machine_id, None)
        self.dirty_for_owner.add(machine_id)
        self.dirty_for_placement.add(machine_id)

    def _mark_returned(self, machine_id: str) -> None:
        self._returned_machines[machine_id] = None
        if len(self._returned_machines) > MAX_RETURNED_MACHINES:
            self._returned_machines.popitem(last=False)

    def was_returned(self, machine_id: str) -> bool:
        """Whether the machine was returned to the cloud and removed; limited to the last ``MAX_RETURNED_MACHINES``.

        A machine that still has a record with the lifecycle state RETURNED is not included.
        """
        return machine_id in self._returned_machines

    def add_final(self, job_id: str, final: rec.FinalRecord) -> None:
        """Cache a final record; the one least recently added is dropped when there are too many."""
        self.final_records[job_id] = final
        self.final_records.move_to_end(job_id)
        if len(self.final_records) > MAX_CACHED_FINALS:
            self.final_records.popitem(last=False)

    def _apply_job(self, job_id: str, record: rec.JobRecord | None, version: int) -> None:
        if record is None:
            self._remove_job(job_id)
            return
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = Job(record, version, self.chunk_size)
            if job.spec.kind is JobKind.GANG:
                self.gang_jobs[job_id] = job
                self.gang_count_by_team[job.spec.team] = self.gang_count_by_team.get(job.spec.team, 0) + 1
            for index, (chunk, chunk_version) in self._orphans.pop(job_id, {}).items():
                self._apply_chunk(job_id, index, chunk, chunk_version)
        else:
            was_cancelled = job.cancelled
            job.record, job.version = record, version
            if record.cancelled and not was_cancelled:
                machines = {task.machine for _, task in job.placed_tasks()}
                self.dirty_for_owner.update(machines)
                self.dirty_for_placement.update(machines)
        self._guarantees.update(job)
        self._update_job_indexes(job)

    def _update_job_indexes(self, job: Job) -> None:
        """Update the indexes and totals that depend on the states of the job's tasks."""
        self.dirty_jobs.add(job.id)
        self.workload.update(job)
        if job.queued_count:
            self.queued_jobs[job.id] = job
        else:
            self.queued_jobs.pop(job.id, None)
        if job.finished:
            self.finished_jobs[job.id] = job
        else:
            self.finished_jobs.pop(job.id, None)

    def _remove_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        self.dirty_jobs.add(job_id)
        self.changed_chunks.add((job_id, 0))
        self.workload.remove(job)
        self._guarantees.remove(job)
        if job_id in self.gang_jobs:
            self.gang_count_by_team[job.spec.team] -= 1
        for jobs in (self.queued_jobs, self.finished_jobs, self.gang_jobs):
            jobs.pop(job_id, None)
        self._team_usage.add(job.spec, -job.placed_count)
        for number, task in job.placed_tasks():
            self._remove_placement(job_id, number, task.machine)
        if job.chunks:
            # The chunks are deleted in the same transaction as the job or, if there are too many, in later ones.
            self._orphans[job_id] = {index: (chunk, job.chunk_versions[index]) for index, chunk in job.chunks.items()}

    def _apply_chunk(self, job_id: str, index: int, chunk: list[rec.TaskRecord] | None, version: int) -> None:
        job = self.jobs.get(job_id)
        if job is None:
            if chunk is not None:
                self._orphans.setdefault(job_id, {})[index] = (chunk, version)
            else:
                chunks = self._orphans.get(job_id, {})
                chunks.pop(index, None)
                if not chunks:
                    self._orphans.pop(job_id, None)
            return
        if chunk is not None and len(chunk) != job.chunk_length(index):
            raise ValueError("the number of tasks in the chunk does not match the job")
        self.changed_chunks.add((job_id, index))
        base = index * self.chunk_size
        old = job.chunks.get(index)
        placed_count = job.placed_count
        job.mark_chunk_changed(index, chunk is None or any(task.state is rec.TaskState.QUEUED for task in chunk))
        for offset in range(job.chunk_length(index)):
            before = old[offset] if old is not None else NEW_TASK
            after = chunk[offset] if chunk is not None else NEW_TASK
            if before == after:
                continue
            job.counts[before.state] -= 1
            job.counts[after.state] += 1
            job.ever_placed_count += bool(after.attempt) - bool(before.attempt)
            if before.machine:
                self._remove_placement(job_id, base + offset, before.machine)
            if after.machine:
                self.tasks_by_machine.setdefault(after.machine, {})[(job_id, base + offset)] = after
                self.dirty_for_owner.add(after.machine)
                self.dirty_for_placement.add(after.machine)
                self._used_by_machine.pop(after.machine, None)
        if chunk is None:
            job.chunks.pop(index, None)
            job.chunk_versions.pop(index, None)
        else:
            job.chunks[index] = chunk
            job.chunk_versions[index] = version
        if job.placed_count != placed_count:
            self._team_usage.add(job.spec, job.placed_count - placed_count)
        self._update_job_indexes(job)

    def _remove_placement(self, job_id: str, task_number: int, machine_id: str) -> None:
        tasks = self.tasks_by_machine.get(machine_id)
        if tasks is not None:
            tasks.pop((job_id, task_number), None)
            if not tasks:
                del self.tasks_by_machine[machine_id]
        self.dirty_for_owner.add(machine_id)
        self.dirty_for_placement.add(machine_id)
        self._used_by_machine.pop(machine_id, None)

    def orphaned_chunks(self) -> Iterator[tuple[str, int]]:
        """Keys and versions of the chunks without a job record."""
        for job_id, chunks in self._orphans.items():
            for index, (_, version) in chunks.items():
                yield rec.chunk_key(job_id, index), version

    # Queries -------------------------------------------------------------------------------------------------

    def used_by_team(self, team: str) -> tuple[float, float]:
        """Cores and GPUs held by the team's attempts, from their placement until their exit is recorded."""
        return self._team_usage.used(team)

    def set_unrecorded_exit(self, key: TaskKey, attempt: int | None) -> None:
        """Note that an attempt has ended, before its exit is recorded in the state service.

        None removes the entry: the exit is now recorded, or is no longer valid, as the attempt may have been restarted.
        """
        if attempt is None:
            self.unrecorded_exits.pop(key, None)
        else:
            self.unrecorded_exits[key] = attempt
        job = self.jobs.get(key[0])
        machine_id = "" if job is None else job.task(key[1]).machine
        if machine_id:
            self.dirty_for_placement.add(machine_id)
            self._used_by_machine.pop(machine_id, None)

    def tasks_on(self, machine_id: str) -> list[tuple[TaskKey, rec.TaskRecord]]:
        """The tasks placed on a machine according to the records, without those known to have ended."""
        tasks = self.tasks_by_machine.get(machine_id)
        if not tasks:
            return []
        return [(key, task) for key, task in tasks.items() if self.unrecorded_exits.get(key) != task.attempt]

    def used_on(self, machine_id: str) -> tuple[float, float, float]:
        """Cores, GPUs and GB of memory in use on a machine."""
        used = self._used_by_machine.get(machine_id)
        if used is None:
            cpus = gpus = memory = 0.0
            top = NO_RANK
            for (job_id, _), _ in self.tasks_on(machine_id):
                job = self.jobs[job_id]
                cpus += job.spec.cpus
                gpus += job.spec.gpus
                memory += job.spec.memory_gb
                top = min(top, job.priority_rank)
            used = self._used_by_machine[machine_id] = cpus, gpus, memory
            self._top_rank_by_machine[machine_id] = top
        return used

    def top_rank_on(self, machine_id: str) -> int:
        """The rank of the highest priority on a machine; ``NO_RANK`` if it has no task.

        Cached along with the usage, since every scheduling round needs it for every machine.
        """
        self.used_on(machine_id)
        return self._top_rank_by_machine[machine_id]

    def infeasible_reason(self, spec: JobSpec) -> str | None:
        """Why the job can never run: its team is unknown or its limit too low. None if it can."""
        return infeasible_reason(self.team_settings, spec)

    def guaranteed_job_ids(self) -> set[str]:
        """Ids of the jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.

        The set is not a copy: later updates change it.
        """
        for job_id in self._guarantees.refresh(self.jobs):
            self.dirty_jobs.add(job_id)
            job = self.jobs.get(job_id)
            if job is not None:
                self.dirty_for_placement.update(task.machine for _, task in job.placed_tasks())
        return self._guarantees.guaranteed_job_ids

    @property
    def teams_over_guarantee(self) -> set[str]:
        """Teams whose unfinished jobs exceed their guarantee, as of the last call of ``guaranteed_job_ids``."""
        return self._guarantees.teams_over
