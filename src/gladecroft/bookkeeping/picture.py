"""The picture of the state service that a controller keeps in memory.

It is fed from a listing, the watch and the controller's own commits, in any order: a change counts only if its
revision is above the one known for its key.
"""

from __future__ import annotations

import logging
import math
from collections import Counter, OrderedDict
from collections.abc import Iterator
from typing import Any

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskState
from gladecroft.protocol.settings import Team
from gladecroft.protocol.wire import PRIORITY_RANK, JobSpec, Kind, decode

log = logging.getLogger(__name__)

#: Revisions of deleted keys that are kept, so that an older change can't bring a key back.
TOMBSTONES = 20_000
#: Final states kept in memory; older ones are read from the store when asked for.
FINALS_KEPT = 5_000

_EMPTY = rec.TaskRecord()


class Job:
    """An accepted job that is not over, with its tasks."""

    __slots__ = (
        "id", "spec", "record", "version", "chunks", "versions", "counts", "begun", "rank", "size",
    )  # fmt: skip

    def __init__(self, record: rec.JobRecord, version: int, size: int) -> None:
        self.id = record.spec.id
        self.spec: JobSpec = record.spec
        self.record = record
        self.version = version
        self.size = size
        self.chunks: dict[int, list[rec.TaskRecord]] = {}
        self.versions: dict[int, int] = {}
        self.counts = [record.spec.tasks, 0, 0, 0]
        #: Tasks that have been placed at least once.
        self.begun = 0
        self.rank = PRIORITY_RANK[record.spec.priority]

    @property
    def cancelled(self) -> bool:
        return self.record.cancelled

    @property
    def occupied(self) -> int:
        return self.counts[TaskState.ACTIVE] + self.counts[TaskState.STOPPING]

    @property
    def done(self) -> int:
        return self.counts[TaskState.DONE]

    @property
    def queued_count(self) -> int:
        return 0 if self.cancelled else self.counts[TaskState.QUEUED]

    @property
    def over(self) -> bool:
        """Nothing of it can run any more: all done, or cancelled with every attempt gone."""
        return self.done == self.spec.tasks or (self.cancelled and self.occupied == 0)

    def chunk_count(self) -> int:
        return -(-self.spec.tasks // self.size)

    def chunk_length(self, index: int) -> int:
        return min(self.size, self.spec.tasks - index * self.size)

    def task(self, number: int) -> rec.TaskRecord:
        chunk = self.chunks.get(number // self.size)
        return _EMPTY if chunk is None else chunk[number % self.size]

    def queued_tasks(self) -> Iterator[int]:
        for index in range(self.chunk_count()):
            chunk = self.chunks.get(index)
            base = index * self.size
            if chunk is None:
                yield from range(base, base + self.chunk_length(index))
            else:
                for offset, task in enumerate(chunk):
                    if task.state == TaskState.QUEUED:
                        yield base + offset

    def placed(self) -> Iterator[tuple[int, rec.TaskRecord]]:
        for index, chunk in self.chunks.items():
            for offset, task in enumerate(chunk):
                if task.state in (TaskState.ACTIVE, TaskState.STOPPING):
                    yield index * self.size + offset, task


TaskKey = tuple[str, int]


class Picture:
    def __init__(self, teams: list[Team], value_kb: float) -> None:
        self.limits = {team.name: team for team in teams}
        self.size = rec.chunk_size(value_kb)
        self.value_bytes = int(value_kb * 1024)
        #: Machines without a record, known because they have reported to their owner. They outlast a new listing.
        self.heard: dict[str, rec.MachineRecord] = {}
        self._team_names = {rec.team_key(team.name): team.name for team in teams}
        self.reset()

    def reset(self) -> None:
        """Forget everything, to be listed again."""
        self.revision = 0
        self.epoch: rec.EpochRecord | None = None
        self.epoch_version = 0
        self.members: dict[str, rec.MemberRecord] = {}
        self.jobs: dict[str, Job] = {}
        self.finals: OrderedDict[str, rec.FinalRecord] = OrderedDict()
        self.teams: dict[str, rec.TeamRecord] = {}
        self.machines: dict[str, rec.MachineRecord] = dict(self.heard)
        #: What controllers that can't reach each other have to say.
        self.mail: dict[str, rec.MailRecord] = {}
        #: The machines among them that are not simply up.
        self.aside: dict[str, rec.MachineUse] = {}
        #: What the records place on each machine.
        self.on_machine: dict[str, dict[TaskKey, rec.TaskRecord]] = {}
        #: Machines whose wanted tasks changed since the owner last looked, and the same for the placers.
        self.touched: set[str] = set()
        self.stale: set[str] = set()
        #: Counts every change taken in, and the changes that bear on which jobs are within a guarantee.
        self.changes = 0
        self.job_changes = 0
        #: Jobs with tasks that wait, jobs that are over, gangs: so that nobody has to look through all jobs.
        self.queued: dict[str, Job] = {}
        self.over: dict[str, Job] = {}
        self.gangs: dict[str, Job] = {}
        self.gang_teams: dict[str, int] = {}
        self._guaranteed: tuple[int, set[str]] = (-1, set())
        #: Teams that have more unfinished work than their guarantee, as of when that was last worked out.
        self.crowded: set[str] = set()
        #: Attempts that this controller knows to have ended, though the records don't say so yet. They take no room.
        self.ended: dict[TaskKey, int] = {}
        #: Machines that have lost their work and of which no record or owner has said anything since.
        self.doubted: set[str] = set()
        self._used: dict[str, tuple[float, float, float]] = {}
        #: How many attempts each team has of each size (cores, cards): counted as they come and go, since looking
        #: through all jobs after every change took steps that grew with the fleet.
        self._team_use: dict[str, Counter[tuple[float, float]]] = {}
        self._versions: dict[str, int] = {}
        self._gone: OrderedDict[str, int] = OrderedDict()
        self._orphans: dict[str, dict[int, tuple[list[rec.TaskRecord], int]]] = {}

    def version(self, key: str) -> int:
        """The revision of the key's last change as far as known; 0 if the key does not exist."""
        return self._versions.get(key, 0)

    def apply(self, key: str, value: bytes | msgspec.Raw | None, version: int) -> bool:
        """Take in one change; False if it was no news."""
        if version <= self._versions.get(key, 0) or version <= self._gone.get(key, 0):
            return False
        if value is None:
            self._versions.pop(key, None)
            self._bury(key, version)
        else:
            self._versions[key] = version
        self.changes += 1
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
                self.note_final(name, decode(rec.FinalRecord, value))
            self._versions.pop(key, None)  # final records never change; no need to know their revision
        elif kind == rec.TEAMS:
            team = self._team_names.get(key)
            if team is not None:
                self.teams[team] = rec.TeamRecord() if value is None else decode(rec.TeamRecord, value)
        elif kind == rec.MACHINES:
            self.heard.pop(name, None)
            self.doubted.discard(name)
            if value is None:
                self.machines.pop(name, None)
                self.aside.pop(name, None)
            else:
                machine = self.machines[name] = decode(rec.MachineRecord, value)
                if machine.use is rec.MachineUse.UP:
                    self.aside.pop(name, None)
                else:
                    self.aside[name] = machine.use
            self.touched.add(name)
            self.stale.add(name)
        elif kind == rec.MAIL:
            if value is None:
                self.mail.pop(name, None)
            else:
                self.mail[name] = decode(rec.MailRecord, value)
        elif kind == rec.MEMBERS:
            if value is None:
                self.members.pop(name, None)
            else:
                self.members[name] = decode(rec.MemberRecord, value)
        elif key == rec.EPOCH:
            self.epoch = None if value is None else decode(rec.EpochRecord, value)
            self.epoch_version = version

    def hear(self, name: str, record: rec.MachineRecord) -> None:
        """Take in a machine that has reported somewhere.

        A machine that is simply up needs no record: its owner tells the others of it. A record is written when there is
        more to say, and counts before what was heard.
        """
        if name in self.doubted:
            self.doubted.discard(name)
            self.stale.add(name)
        if name not in self.machines and not self.buried(name):
            self.heard[name] = self.machines[name] = record
            self.touched.add(name)
            self.stale.add(name)

    def forget_machine(self, name: str) -> None:
        """A machine without a record was returned: late reports and late words of it count no more."""
        if self.heard.pop(name, None) is not None:
            self.machines.pop(name, None)
            self._bury(rec.machine_key(name), self.revision)
        self.doubted.discard(name)
        self.touched.add(name)
        self.stale.add(name)

    def buried(self, machine: str) -> bool:
        """Whether the machine was returned, as far as this controller remembers."""
        return rec.machine_key(machine) in self._gone

    def _bury(self, key: str, version: int) -> None:
        self._gone[key] = version
        if len(self._gone) > TOMBSTONES:
            self._gone.popitem(last=False)

    def note_final(self, job: str, final: rec.FinalRecord) -> None:
        self.finals[job] = final
        self.finals.move_to_end(job)
        if len(self.finals) > FINALS_KEPT:
            self.finals.popitem(last=False)

    def _take_job(self, name: str, record: rec.JobRecord | None, version: int) -> None:
        if record is None:
            self._forget_job(name)
            return
        job = self.jobs.get(name)
        if job is None:
            job = self.jobs[name] = Job(record, version, self.size)
            self.job_changes += 1
            if job.spec.kind is Kind.GANG:
                self.gangs[name] = job
                self.gang_teams[job.spec.team] = self.gang_teams.get(job.spec.team, 0) + 1
            for index, (chunk, chunk_version) in self._orphans.pop(name, {}).items():
                self._take_chunk(name, index, chunk, chunk_version)
        else:
            was_cancelled = job.cancelled
            job.record, job.version = record, version
            if record.cancelled and not was_cancelled:
                self.job_changes += 1
                machines = {task.machine for _, task in job.placed()}
                self.touched.update(machines)
                self.stale.update(machines)
        self._sort_in(job)

    def _sort_in(self, job: Job) -> None:
        """Keep the lists of waiting and of finished jobs."""
        if job.queued_count:
            self.queued[job.id] = job
        else:
            self.queued.pop(job.id, None)
        if job.over:
            self.over[job.id] = job
        else:
            self.over.pop(job.id, None)

    def _forget_job(self, name: str) -> None:
        job = self.jobs.pop(name, None)
        if job is None:
            return
        self.job_changes += 1
        if name in self.gangs:
            self.gang_teams[job.spec.team] -= 1
        for jobs in (self.queued, self.over, self.gangs):
            jobs.pop(name, None)
        self._count_use(job.spec, -job.occupied)
        for number, task in job.placed():
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
        base = index * self.size
        old = job.chunks.get(index)
        occupied = job.occupied
        for offset in range(job.chunk_length(index)):
            before = old[offset] if old is not None else _EMPTY
            after = chunk[offset] if chunk is not None else _EMPTY
            if before == after:
                continue
            job.counts[before.state] -= 1
            job.counts[after.state] += 1
            job.begun += bool(after.attempt) - bool(before.attempt)
            if before.machine:
                self._lift(name, base + offset, before.machine)
            if after.machine:
                self.on_machine.setdefault(after.machine, {})[(name, base + offset)] = after
                self.touched.add(after.machine)
                self.stale.add(after.machine)
                self._used.pop(after.machine, None)
        if chunk is None:
            job.chunks.pop(index, None)
            job.versions.pop(index, None)
        else:
            job.chunks[index] = chunk
            job.versions[index] = version
        if job.occupied != occupied:
            self._count_use(job.spec, job.occupied - occupied)
        self._sort_in(job)

    def _lift(self, name: str, number: int, machine: str) -> None:
        there = self.on_machine.get(machine)
        if there is not None:
            there.pop((name, number), None)
            if not there:
                del self.on_machine[machine]
        self.touched.add(machine)
        self.stale.add(machine)
        self._used.pop(machine, None)

    def orphans(self) -> Iterator[tuple[str, int]]:
        """Chunks left behind by jobs that are over."""
        for name, chunks in self._orphans.items():
            for index, (_, version) in chunks.items():
                yield rec.chunk_key(name, index), version

    # Questions -----------------------------------------------------------------------------------------------

    def used_by_team(self, team: str) -> tuple[float, float]:
        """Cores and cards that the team's attempts take, from their commit until they are proven gone."""
        cpus = gpus = 0.0
        for (each_cpus, each_gpus), count in self._team_use.get(team, {}).items():
            cpus += count * each_cpus
            gpus += count * each_gpus
        return cpus, gpus

    def _count_use(self, spec: JobSpec, step: int) -> None:
        """Count attempts of a job that have come or gone."""
        sizes = self._team_use.setdefault(spec.team, Counter())
        size = (spec.cpus, spec.gpus)
        sizes[size] += step
        if not sizes[size]:
            del sizes[size]

    def end(self, key: TaskKey, attempt: int | None) -> None:
        """Note that an attempt has ended, ahead of the records; None: they say it now, or it was not so."""
        if attempt is None:
            self.ended.pop(key, None)
        else:
            self.ended[key] = attempt
        job = self.jobs.get(key[0])
        machine = "" if job is None else job.task(key[1]).machine
        if machine:
            self.stale.add(machine)
            self._used.pop(machine, None)

    def residents(self, machine: str) -> list[tuple[TaskKey, rec.TaskRecord]]:
        """What the records place on a machine, without what is known to have ended."""
        there = self.on_machine.get(machine)
        if not there:
            return []
        return [(key, task) for key, task in there.items() if self.ended.get(key) != task.attempt]

    def used_on(self, machine: str) -> tuple[float, float, float]:
        used = self._used.get(machine)
        if used is None:
            cpus = gpus = memory = 0.0
            for (job_id, _), _ in self.residents(machine):
                spec = self.jobs[job_id].spec
                cpus += spec.cpus
                gpus += spec.gpus
                memory += spec.memory_gb
            used = self._used[machine] = cpus, gpus, memory
        return used

    def never_runs(self, spec: JobSpec) -> str | None:
        """Why the job is more than its team's limit allows for good, or None."""
        team = self.limits.get(spec.team)
        if team is None:
            return f"unknown team {spec.team}"
        times = 1 if spec.kind is Kind.ARRAY else spec.tasks
        if spec.cpus * times > team.most_cpus + 1e-9 or spec.gpus * times > team.most_gpus + 1e-9:
            return f"needs more than the limit of team {spec.team}"
        return None

    def guaranteed(self) -> set[str]:
        """Jobs that fit into their team's guarantee along with the team's earlier unfinished jobs."""
        if self._guaranteed[0] == self.job_changes:
            return self._guaranteed[1]
        inside: set[str] = set()
        crowded: set[str] = set()
        sums: dict[str, list[float]] = {}
        for job in sorted(self.jobs.values(), key=lambda job: (job.record.accepted_ms, job.id)):
            team = self.limits.get(job.spec.team)
            if team is None or job.cancelled:
                continue
            total = sums.setdefault(job.spec.team, [0.0, 0.0])
            total[0] += job.spec.cpus * job.spec.tasks
            total[1] += job.spec.gpus * job.spec.tasks
            if total[0] <= team.cpus + 1e-9 and total[1] <= team.gpus + 1e-9:
                inside.add(job.id)
            else:
                crowded.add(job.spec.team)
        self.crowded = crowded
        for name in inside ^ self._guaranteed[1]:
            changed = self.jobs.get(name)
            if changed is not None:
                self.stale.update(task.machine for _, task in changed.placed())
        self._guaranteed = (self.job_changes, inside)
        return inside


def _bare(task: rec.TaskRecord) -> rec.TaskRecord:
    return msgspec.structs.replace(task, note="") if task.note else task


class Change:
    """One transaction in the making, on top of a picture."""

    def __init__(self, picture: Picture, max_ops: int, max_bytes: int) -> None:
        self.picture = picture
        self.max_ops = max_ops
        self.max_conditions = 4 * max_ops
        self.max_bytes = max_bytes
        self.conditions: dict[str, int] = {}
        self.puts: dict[str, bytes | None] = {}
        self._chunks: dict[tuple[str, int], list[rec.TaskRecord]] = {}
        self._most_value = picture.value_bytes
        #: What the teams use with this change made, and the teams for which it places something.
        self._teams: dict[str, list[float]] = {}
        self.placing: set[str] = set()
        #: Jobs that end with this change: their tasks are not touched any more.
        self.over: set[str] = set()
        self.claims: set[str] = set()
        self.notes: list[str] = []
        #: About what the changes take as JSON, counted as they come: asking for room must not cost a look at all.
        self._size = 200
        self.require(rec.EPOCH, picture.epoch_version)

    def require(self, key: str, version: int | None = None) -> None:
        self.conditions.setdefault(key, self.picture.version(key) if version is None else version)

    def room(self, jobs: int = 1, teams: int = 1, machines: int = 0) -> bool:
        """Whether that many more chunks, and conditions on team and machine records, surely fit."""
        ops = len(self.puts) + len(self._chunks) + jobs
        conditions = len(self.conditions) + 2 * jobs + teams + machines
        return ops <= self.max_ops and conditions <= self.max_conditions and self._bytes() < self.max_bytes

    def _bytes(self) -> int:
        return self._size + 160 * len(self.conditions)

    def has_chunk(self, job: Job, number: int) -> bool:
        return (job.id, number // job.size) in self._chunks

    def put(self, key: str, value: Any) -> None:
        self.require(key)
        self.puts[key] = msgspec.json.encode(value)
        self._size += 100 + len(self.puts[key] or b"")

    def drop_chunk(self, job: Job, index: int) -> None:
        """The job is over: its chunk goes, with whatever it held."""
        self._chunks.pop((job.id, index), None)
        self.require(rec.chunk_key(job.id, index), job.versions[index])
        self.puts[rec.chunk_key(job.id, index)] = None

    def drop(self, key: str) -> None:
        self.require(key)
        self.puts[key] = None

    def task(self, job: Job, number: int) -> rec.TaskRecord:
        chunk = self._chunks.get((job.id, number // job.size))
        return job.task(number) if chunk is None else chunk[number % job.size]

    def holds(self, job: Job, number: int, machine: str) -> bool:
        """Whether the task's chunk, without its notes, still fits a value with this task on such a machine."""
        index, offset = divmod(number, job.size)
        chunk = self._chunks.get((job.id, index)) or job.chunks.get(index)
        if chunk is None or len(chunk) * (rec.BARE_TASK_BYTES + len(machine)) <= self._most_value:
            return True
        others = sum(rec.BARE_TASK_BYTES + len(task.machine) for task in chunk if task.machine)
        return others + rec.BARE_TASK_BYTES + len(machine) + 16 * len(chunk) <= self._most_value

    def set_task(self, job: Job, number: int, record: rec.TaskRecord) -> None:
        """Change a task and, with it, what its team uses."""
        index, offset = divmod(number, job.size)
        if job.id in self.over:
            return
        chunk = self._chunks.get((job.id, index))
        if chunk is None:
            known = job.chunks.get(index)
            chunk = list(known) if known is not None else [_EMPTY] * job.chunk_length(index)
            self._chunks[(job.id, index)] = chunk
            self._size += 100 + sum(16 + len(task.machine) + len(task.note) for task in chunk)
            self.require(rec.job_key(job.id), job.version)
            self.require(rec.chunk_key(job.id, index), job.versions.get(index, 0))
        before = chunk[offset]
        chunk[offset] = record
        self._size += 16 + len(record.machine) + len(record.note)
        step = bool(record.machine) - bool(before.machine)
        if step:
            used = self._used(job.spec.team)
            used[0] += step * job.spec.cpus
            used[1] += step * job.spec.gpus
        if step > 0:
            self.placing.add(job.spec.team)
            self.require(rec.team_key(job.spec.team))

    def _used(self, team: str) -> list[float]:
        used = self._teams.get(team)
        if used is None:
            used = self._teams[team] = [*self.picture.used_by_team(team)]
        return used

    def team_room(self, job: Job) -> int:
        """How many more tasks of the job its team's limit allows."""
        limit = self.picture.limits[job.spec.team]
        used = self._teams.get(job.spec.team) or self.picture.used_by_team(job.spec.team)
        room = job.spec.tasks
        for need, most, now in ((job.spec.cpus, limit.most_cpus, used[0]), (job.spec.gpus, limit.most_gpus, used[1])):
            if need > 0 and most < math.inf:
                room = min(room, int((most - now + 1e-6) / need))
        return max(0, room)

    def finish(self) -> bool:
        """Turn the edited chunks into puts; False if nothing is to be changed."""
        for (job, index), chunk in self._chunks.items():
            value = msgspec.json.encode(rec.ChunkRecord(chunk))
            if len(value) > self._most_value:
                # Notes are for people to read; without them it fits.
                value = msgspec.json.encode(rec.ChunkRecord([_bare(task) for task in chunk]))
            self.puts[rec.chunk_key(job, index)] = value
        self._chunks.clear()
        self._teams.clear()
        return bool(self.puts)
