"""Sums over the unfinished work, kept as it changes: in an overload nobody may look through all that waits."""

from __future__ import annotations

from collections import Counter

from sortedcontainers import SortedList

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.wire import JobKind

#: A team and a class of jobs.
JobGroup = tuple[str, str]


class TeamDemand:
    """What waits of one team. ``sizes``: the cores of a task of each waiting job, in order."""

    __slots__ = ("queued_jobs", "queued_cpus", "task_cpus", "production_jobs", "service_jobs", "changing_jobs")

    def __init__(self) -> None:
        self.queued_jobs = self.production_jobs = self.service_jobs = 0
        self.queued_cpus = 0.0
        self.task_cpus: SortedList[float] = SortedList()
        #: Jobs that wait or will end soon: the ones that changes are spent on.
        self.changing_jobs = 0


class SpotWork:
    """Core-seconds of a group's arrays that may run on cheap machines, by their owners' estimates."""

    __slots__ = ("queued_cpu_s", "running_cpu_s", "queued_cpus")

    def __init__(self) -> None:
        self.queued_cpu_s = self.running_cpu_s = self.queued_cpus = 0.0


class GroupUsage:
    """Of one team and class: unfinished jobs, and cores, cards and GB that its attempts hold and its waiting tasks ask
    for."""

    __slots__ = ("jobs", "used", "queued")

    def __init__(self) -> None:
        self.jobs = 0
        self.used = [0.0, 0.0, 0.0]
        self.queued = [0.0, 0.0, 0.0]


class _Counted:
    __slots__ = ("queued", "occupied", "weight")

    def __init__(self) -> None:
        self.queued = self.occupied = self.weight = 0


class Workload:
    """``note`` is told of a job whenever its tasks' states or its record change, ``forget`` when it is over."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamDemand] = {}
        self.spot_work: dict[JobGroup, SpotWork] = {}
        self.groups: dict[JobGroup, GroupUsage] = {}
        #: Jobs that have come and gone since the records were listed.
        self.arrivals: Counter[JobGroup] = Counter()
        self.departures: Counter[JobGroup] = Counter()
        self._counted: dict[str, _Counted] = {}

    @property
    def queued_cpus(self) -> float:
        """Cores that waiting tasks ask for in all."""
        return sum(team.queued_cpus for team in self.teams.values())

    def smallest_task_cpus(self) -> float:
        """The cores of the smallest waiting task; 0 if none waits."""
        return min((team.task_cpus[0] for team in self.teams.values() if team.task_cpus), default=0.0)

    def note(self, job: Job) -> None:
        self._set(
            job, job.queued_count, job.placed_count, bool(job.queued_count) or job.spec.kind is not JobKind.SERVICE
        )

    def forget(self, job: Job) -> None:
        if job.id not in self._counted:
            return
        self._set(job, 0, 0, False)
        del self._counted[job.id]
        group = self.groups[(job.spec.team, job.spec.job_class)]
        self.departures[(job.spec.team, job.spec.job_class)] += 1
        group.jobs -= 1
        if not group.jobs:
            # With it goes what adding and taking away has left over.
            del self.groups[(job.spec.team, job.spec.job_class)]

    def _set(self, job: Job, queued: int, occupied: int, weighs: bool) -> None:
        spec = job.spec
        noted = self._counted.get(job.id)
        if noted is None:
            noted = self._counted[job.id] = _Counted()
            self.groups.setdefault((spec.team, spec.job_class), GroupUsage()).jobs += 1
            self.arrivals[(spec.team, spec.job_class)] += 1
        if noted.queued == queued and noted.occupied == occupied and noted.weight == weighs:
            return
        team = self.teams.get(spec.team)
        if team is None:
            team = self.teams[spec.team] = TeamDemand()
        step = bool(queued) - bool(noted.queued)
        if step:
            team.queued_jobs += step
            team.production_jobs += step * (job.priority_rank == 0)
            team.service_jobs += step * (spec.kind is JobKind.SERVICE)
            if step > 0:
                team.task_cpus.add(spec.cpus)
            else:
                team.task_cpus.remove(spec.cpus)
        team.changing_jobs += weighs - noted.weight
        team.queued_cpus += (queued - noted.queued) * spec.cpus
        if not team.queued_jobs:
            team.queued_cpus = 0.0  # what adding and taking away has left over
        group = self.groups[(spec.team, spec.job_class)]
        for index, each in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
            group.queued[index] += (queued - noted.queued) * each
            group.used[index] += (occupied - noted.occupied) * each
        if spec.kind is JobKind.ARRAY and spec.spot:
            work = self.spot_work.get((spec.team, spec.job_class))
            if work is None:
                work = self.spot_work[(spec.team, spec.job_class)] = SpotWork()
            each = spec.cpus * spec.estimate_s
            work.queued_cpu_s += (queued - noted.queued) * each
            work.queued_cpus += (queued - noted.queued) * spec.cpus
            work.running_cpu_s += (occupied - noted.occupied) * each
        noted.queued, noted.occupied, noted.weight = queued, occupied, int(weighs)
