"""The picture of the state service that a controller keeps in memory.

It is fed from a listing, the watch and the controller's own commits, in any order: a change counts only if its
revision is above the one known for its key.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import EMPTY, Job, TaskKey
from gladecroft.bookkeeping.teams import Guarantees, TeamUsage, infeasible_reason
from gladecroft.bookkeeping.versions import KeyVersions
from gladecroft.bookkeeping.workload import Workload
from gladecroft.protocol.settings import Team
from gladecroft.protocol.wire import JobKind, JobSpec, decode

log = logging.getLogger(__name__)

#: Final states kept in memory; older ones are read from the store when asked for.
FINALS_KEPT = 5_000
#: Stands for the rank of work where there is none: below every priority.
NO_RANK = 1 << 30


class ClusterState:
    def __init__(self, teams: list[Team], value_kb: float) -> None:
        self.limits = {team.name: team for team in teams}
        self.chunk_size = rec.chunk_size(value_kb)
        self.max_value_bytes = int(value_kb * 1024)
        #: Machines without a record, known because they have reported to their owner. They outlast a new listing.
        self.reported_machines: dict[str, rec.MachineRecord] = {}
        #: Told of each change of a policy's record (subject, name, value), and before all are listed anew.
        self.on_policy_change: Callable[[str, str, bytes | None], None] | None = None
        self.on_policy_reset: Callable[[], None] | None = None
        self._team_names = {rec.team_key(team.name): team.name for team in teams}
        self.reset_count = 0
        self.reset()

    def reset(self) -> None:
        """Forget everything, to be listed again."""
        if self.on_policy_reset is not None:
            self.on_policy_reset()
        self.revision = 0
        self.epoch: rec.EpochRecord | None = None
        self.epoch_version = 0
        self.members: dict[str, rec.MemberRecord] = {}
        self.jobs: dict[str, Job] = {}
        self.final_records: OrderedDict[str, rec.FinalRecord] = OrderedDict()
        self.team_records: dict[str, rec.TeamRecord] = {}
        self.machines: dict[str, rec.MachineRecord] = dict(self.reported_machines)
        #: What controllers that can't reach each other have to say.
        self.outboxes: dict[str, rec.OutboxRecord] = {}
        #: What the leader has decided for all in an overload.
        self.admission: rec.AdmissionRecord | None = None
        #: The machines among them that are not simply up.
        self.restricted_machines: dict[str, rec.MachineUse] = {}
        #: The few of them on or towards which somebody must act each round: those that leave, are bad or are emptied.
        self.evacuating_machines: dict[str, rec.MachineUse] = {}
        #: What the records place on each machine.
        self.tasks_by_machine: dict[str, dict[TaskKey, rec.TaskRecord]] = {}
        #: Machines whose wanted tasks changed since the owner last looked, and the same for the placers.
        self.dirty_for_owner: set[str] = set()
        self.dirty_for_placement: set[str] = set()
        #: Counts every change taken in.
        self.change_count = 0
        #: Jobs with tasks that wait, jobs that are over, gangs: so that nobody has to look through all jobs.
        self.queued_jobs: dict[str, Job] = {}
        self.finished_jobs: dict[str, Job] = {}
        self.gang_jobs: dict[str, Job] = {}
        self.gang_count_by_team: dict[str, int] = {}
        self._guarantees = Guarantees(self.limits)
        #: Sums over what is unfinished.
        self.workload = Workload()
        #: Jobs of which the order of waiting work has not taken notice yet; counts how often all began anew.
        self.dirty_jobs: set[str] = set()
        #: The chunks (a job's name, the chunk's number) that changed since the ends known ahead of the records were
        #: last looked at; of jobs that are no more, any.
        self.changed_chunks: set[tuple[str, int]] = set()
        self.reset_count += 1
        #: Attempts that this controller knows to have ended, though the records don't say so yet. They take no room.
        self.unrecorded_exits: dict[TaskKey, int] = {}
        #: Machines that have lost their work and of which no record or owner has said anything since; by the steady
        #: clock, until when that holds them back.
        self.placement_suspended: dict[str, timedelta] = {}
        self._used: dict[str, tuple[float, float, float]] = {}
        #: The rank of the highest priority on each machine for which the use is known.
        self._top_rank: dict[str, int] = {}
        self._team_use = TeamUsage()
        self._versions = KeyVersions()
        self._orphans: dict[str, dict[int, tuple[list[rec.TaskRecord], int]]] = {}

    def version(self, key: str) -> int:
        """The revision of the key's last change as far as known; 0 if the key does not exist."""
        return self._versions.of(key)

    def apply(self, key: str, value: bytes | msgspec.Raw | None, version: int) -> bool:
        """Take in one change; False if it was no news."""
        if not self._versions.take(key, version, value is not None):
            return False
        self.change_count += 1
        try:
            self._take(key, None if value is None else bytes(value), version)
        except (msgspec.DecodeError, ValueError, IndexError) as error:
            log.error("record %s at %d can't be read: %s", key, version, error)
        return True

    def _take(self, key: str, value: bytes | None, version: int) -> None:
        kind, name = key[:4], key[4:]
        if kind == rec.CHUNKS:
            job, _, index = name.rpartition("/")
            chunk = None if value is None else decode(rec.ChunkRecord, value).tasks
            self._take_chunk(job, int(index), chunk, version)
        elif kind == rec.JOBS:
            self._take_job(name, None if value is None else decode(rec.JobRecord, value), version)
        elif kind == rec.FINALS:
            if value is not None:
                self._forget_job(name)
                self.add_final(name, decode(rec.FinalRecord, value))
            self._versions.forget(key)  # final records never change; no need to know their revision
        elif kind == rec.TEAMS:
            team = self._team_names.get(key)
            if team is not None:
                self.team_records[team] = rec.TeamRecord() if value is None else decode(rec.TeamRecord, value)
        elif kind == rec.MACHINES:
            self.reported_machines.pop(name, None)
            self.placement_suspended.pop(name, None)
            self.restricted_machines.pop(name, None)
            self.evacuating_machines.pop(name, None)
            if value is None:
                self.machines.pop(name, None)
            else:
                machine = self.machines[name] = decode(rec.MachineRecord, value)
                if machine.use is not rec.MachineUse.UP:
                    self.restricted_machines[name] = machine.use
                if machine.use in rec.CLEARING:
                    self.evacuating_machines[name] = machine.use
            self.dirty_for_owner.add(name)
            self.dirty_for_placement.add(name)
        elif kind == rec.MAIL:
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
                subject, _, each = name.partition("/")
                self.on_policy_change(subject, each, value)
        elif key == rec.ADMISSION:
            self.admission = None if value is None else decode(rec.AdmissionRecord, value)
        elif key == rec.EPOCH:
            self.epoch = None if value is None else decode(rec.EpochRecord, value)
            self.epoch_version = version

    def suspend_placement(self, names: Iterable[str], until: timedelta) -> None:
        """Place nothing on some machines until then, unless a record or their owner tells of them before.

        It ends by itself: what an owner has told of a machine that is back may have come before the word of what was
        lost on it, and nothing more ever comes. Held back for good, it kept a service waiting for as long as it ran.
        """
        for name in names:
            self.placement_suspended[name] = until
            self.dirty_for_placement.add(name)

    def expire_suspensions(self, now: timedelta) -> None:
        for name in [name for name, until in self.placement_suspended.items() if now >= until]:
            del self.placement_suspended[name]
            self.dirty_for_placement.add(name)

    def add_reported_machine(self, name: str, record: rec.MachineRecord) -> None:
        """Take in a machine that has reported somewhere.

        A machine that is simply up needs no record: its owner tells the others of it. A record is written when there is
        more to say, and counts before what was heard.
        """
        if self.placement_suspended.pop(name, None) is not None:
            self.dirty_for_placement.add(name)
        if name not in self.machines and not self.was_returned(name):
            self.reported_machines[name] = self.machines[name] = record
            self.dirty_for_owner.add(name)
            self.dirty_for_placement.add(name)

    def remove_machine(self, name: str) -> None:
        """A machine without a record was returned: late reports and late words of it count no more."""
        if self.reported_machines.pop(name, None) is not None:
            self.machines.pop(name, None)
            self._versions.bury(rec.machine_key(name), self.revision)
        self.placement_suspended.pop(name, None)
        self.dirty_for_owner.add(name)
        self.dirty_for_placement.add(name)

    def was_returned(self, machine: str) -> bool:
        """Whether the machine was returned, as far as this controller remembers."""
        return self._versions.buried(rec.machine_key(machine))

    def add_final(self, job: str, final: rec.FinalRecord) -> None:
        self.final_records[job] = final
        self.final_records.move_to_end(job)
        if len(self.final_records) > FINALS_KEPT:
            self.final_records.popitem(last=False)

    def _take_job(self, name: str, record: rec.JobRecord | None, version: int) -> None:
        if record is None:
            self._forget_job(name)
            return
        job = self.jobs.get(name)
        if job is None:
            job = self.jobs[name] = Job(record, version, self.chunk_size)
            if job.spec.kind is JobKind.GANG:
                self.gang_jobs[name] = job
                self.gang_count_by_team[job.spec.team] = self.gang_count_by_team.get(job.spec.team, 0) + 1
            for index, (chunk, chunk_version) in self._orphans.pop(name, {}).items():
                self._take_chunk(name, index, chunk, chunk_version)
        else:
            was_cancelled = job.cancelled
            job.record, job.version = record, version
            if record.cancelled and not was_cancelled:
                machines = {task.machine for _, task in job.placed_tasks()}
                self.dirty_for_owner.update(machines)
                self.dirty_for_placement.update(machines)
        self._guarantees.update(job)
        self._sort_in(job)

    def _sort_in(self, job: Job) -> None:
        """Keep the lists of waiting and of finished jobs."""
        self.dirty_jobs.add(job.id)
        self.workload.note(job)
        if job.queued_count:
            self.queued_jobs[job.id] = job
        else:
            self.queued_jobs.pop(job.id, None)
        if job.finished:
            self.finished_jobs[job.id] = job
        else:
            self.finished_jobs.pop(job.id, None)

    def _forget_job(self, name: str) -> None:
        job = self.jobs.pop(name, None)
        if job is None:
            return
        self.dirty_jobs.add(name)
        self.changed_chunks.add((name, 0))
        self.workload.forget(job)
        self._guarantees.remove(job)
        if name in self.gang_jobs:
            self.gang_count_by_team[job.spec.team] -= 1
        for jobs in (self.queued_jobs, self.finished_jobs, self.gang_jobs):
            jobs.pop(name, None)
        self._team_use.count(job.spec, -job.placed_count)
        for number, task in job.placed_tasks():
            self._lift(name, number, task.machine)
        if job.chunks:
            # They go in the same transaction or, if there are too many, in later ones.
            self._orphans[name] = {index: (chunk, job.versions[index]) for index, chunk in job.chunks.items()}

    def _take_chunk(self, name: str, index: int, chunk: list[rec.TaskRecord] | None, version: int) -> None:
        job = self.jobs.get(name)
        if job is None:
            if chunk is not None:
                self._orphans.setdefault(name, {})[index] = (chunk, version)
            else:
                left = self._orphans.get(name, {})
                left.pop(index, None)
                if not left:
                    self._orphans.pop(name, None)
            return
        if chunk is not None and len(chunk) != job.chunk_length(index):
            raise ValueError("a chunk has the wrong length")
        self.changed_chunks.add((name, index))
        base = index * self.chunk_size
        old = job.chunks.get(index)
        occupied = job.placed_count
        job.changed(index, chunk is None or any(task.state is rec.TaskState.QUEUED for task in chunk))
        for offset in range(job.chunk_length(index)):
            before = old[offset] if old is not None else EMPTY
            after = chunk[offset] if chunk is not None else EMPTY
            if before == after:
                continue
            job.counts[before.state] -= 1
            job.counts[after.state] += 1
            job.ever_placed_count += bool(after.attempt) - bool(before.attempt)
            if before.machine:
                self._lift(name, base + offset, before.machine)
            if after.machine:
                self.tasks_by_machine.setdefault(after.machine, {})[(name, base + offset)] = after
                self.dirty_for_owner.add(after.machine)
                self.dirty_for_placement.add(after.machine)
                self._used.pop(after.machine, None)
        if chunk is None:
            job.chunks.pop(index, None)
            job.versions.pop(index, None)
        else:
            job.chunks[index] = chunk
            job.versions[index] = version
        if job.placed_count != occupied:
            self._team_use.count(job.spec, job.placed_count - occupied)
        self._sort_in(job)

    def _lift(self, name: str, number: int, machine: str) -> None:
        there = self.tasks_by_machine.get(machine)
        if there is not None:
            there.pop((name, number), None)
            if not there:
                del self.tasks_by_machine[machine]
        self.dirty_for_owner.add(machine)
        self.dirty_for_placement.add(machine)
        self._used.pop(machine, None)

    def orphaned_chunks(self) -> Iterator[tuple[str, int]]:
        """Chunks left behind by jobs that are over."""
        for name, chunks in self._orphans.items():
            for index, (_, version) in chunks.items():
                yield rec.chunk_key(name, index), version

    # Questions -----------------------------------------------------------------------------------------------

    def used_by_team(self, team: str) -> tuple[float, float]:
        """Cores and cards that the team's attempts take, from their commit until they are proven gone."""
        return self._team_use.used(team)

    def set_unrecorded_exit(self, key: TaskKey, attempt: int | None) -> None:
        """Note that an attempt has ended, ahead of the records; None: they say it now, or it was not so."""
        if attempt is None:
            self.unrecorded_exits.pop(key, None)
        else:
            self.unrecorded_exits[key] = attempt
        job = self.jobs.get(key[0])
        machine = "" if job is None else job.task(key[1]).machine
        if machine:
            self.dirty_for_placement.add(machine)
            self._used.pop(machine, None)

    def tasks_on(self, machine: str) -> list[tuple[TaskKey, rec.TaskRecord]]:
        """What the records place on a machine, without what is known to have ended."""
        there = self.tasks_by_machine.get(machine)
        if not there:
            return []
        return [(key, task) for key, task in there.items() if self.unrecorded_exits.get(key) != task.attempt]

    def used_on(self, machine: str) -> tuple[float, float, float]:
        used = self._used.get(machine)
        if used is None:
            cpus = gpus = memory = 0.0
            top = NO_RANK
            for (job_id, _), _ in self.tasks_on(machine):
                job = self.jobs[job_id]
                cpus += job.spec.cpus
                gpus += job.spec.gpus
                memory += job.spec.memory_gb
                top = min(top, job.priority_rank)
            used = self._used[machine] = cpus, gpus, memory
            self._top_rank[machine] = top
        return used

    def top_rank_on(self, machine: str) -> int:
        """The rank of the highest priority that takes room on a machine; ``NOBODY``: nothing does. Asked of every
        machine in each round, so it is kept with the use."""
        self.used_on(machine)
        return self._top_rank[machine]

    def infeasible_reason(self, spec: JobSpec) -> str | None:
        """Why the job is more than its team's limit allows for good, or None."""
        return infeasible_reason(self.limits, spec)

    def guaranteed_jobs(self) -> set[str]:
        """Jobs that fit into their team's guarantee along with the team's earlier unfinished jobs. The set is the
        picture's own and changes with it."""
        for name in self._guarantees.refresh(self.jobs):
            self.dirty_jobs.add(name)
            changed = self.jobs.get(name)
            if changed is not None:
                self.dirty_for_placement.update(task.machine for _, task in changed.placed_tasks())
        return self._guarantees.inside

    @property
    def teams_over_guarantee(self) -> set[str]:
        """Teams that have more unfinished work than their guarantee, as of when that was last worked out."""
        return self._guarantees.teams_over
