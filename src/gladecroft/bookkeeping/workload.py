"""Totals over the unfinished jobs.

They are updated incrementally, since scanning all queued jobs takes too long in an overload.
"""

from __future__ import annotations

from collections import Counter

from sortedcontainers import SortedList

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.wire import JobKind

#: A team and a job class.
JobGroup = tuple[str, str]


class TeamDemand:
    """The queued work of one team: numbers of jobs with queued tasks, and the cores that the queued tasks request.

    ``task_cpus``: the cores per task of each of these jobs, sorted.
    """

    __slots__ = ("queued_jobs", "queued_cpus", "task_cpus", "queued_production_jobs", "service_jobs", "changing_jobs")

    def __init__(self) -> None:
        self.queued_jobs = self.queued_production_jobs = self.service_jobs = 0
        self.queued_cpus = 0.0
        self.task_cpus: SortedList[float] = SortedList()
        #: Jobs that will cause further transactions: those with queued tasks, and those that finish by themselves, that
        #: is, all but services.
        self.changing_jobs = 0


class SpotWork:
    """Work of a group's arrays that may run on spot machines, in core-seconds by the users' estimates.

    ``queued_cpus`` is the number of cores that the queued tasks request.
    """

    __slots__ = ("queued_cpu_s", "running_cpu_s", "queued_cpus")

    def __init__(self) -> None:
        self.queued_cpu_s = self.running_cpu_s = self.queued_cpus = 0.0


class GroupUsage:
    """The number of unfinished jobs of a group, and its resources as a list of cores, GPUs and GB of memory.

    ``used`` is what its placed tasks hold, ``queued`` what its queued tasks request.
    """

    __slots__ = ("jobs", "used", "queued")

    def __init__(self) -> None:
        self.jobs = 0
        self.used = [0.0, 0.0, 0.0]
        self.queued = [0.0, 0.0, 0.0]


class _CountedJob:
    """What the totals include of one job: its numbers of queued and placed tasks, and whether it is changing."""

    __slots__ = ("queued", "placed", "changing")

    def __init__(self) -> None:
        self.queued = self.placed = self.changing = 0


class Workload:
    """Totals by team and by group.

    ``update`` must be called whenever a job's record or the states of its tasks change, ``remove`` when it is finished.
    """

    def __init__(self) -> None:
        self.teams: dict[str, TeamDemand] = {}
        self.spot_work: dict[JobGroup, SpotWork] = {}
        self.groups: dict[JobGroup, GroupUsage] = {}
        #: Numbers of jobs added and removed since the cluster state was last reset.
        self.arrivals: Counter[JobGroup] = Counter()
        self.departures: Counter[JobGroup] = Counter()
        self._counted: dict[str, _CountedJob] = {}

    @property
    def queued_cpus(self) -> float:
        """Cores that all queued tasks request."""
        return sum(team.queued_cpus for team in self.teams.values())

    def smallest_task_cpus(self) -> float:
        """The fewest cores that any queued task requests; 0 if there is none."""
        return min((team.task_cpus[0] for team in self.teams.values() if team.task_cpus), default=0.0)

    def update(self, job: Job) -> None:
        """Bring the totals up to date with a job."""
        self._update_totals(
            job, job.queued_count, job.placed_count, bool(job.queued_count) or job.spec.kind is not JobKind.SERVICE
        )

    def remove(self, job: Job) -> None:
        """Take a finished job out of the totals."""
        if job.id not in self._counted:
            return
        self._update_totals(job, 0, 0, False)
        del self._counted[job.id]
        group = self.groups[(job.spec.team, job.spec.job_class)]
        self.departures[(job.spec.team, job.spec.job_class)] += 1
        group.jobs -= 1
        if not group.jobs:
            # Discards accumulated rounding errors along with the entry.
            del self.groups[(job.spec.team, job.spec.job_class)]

    def _update_totals(self, job: Job, queued: int, placed: int, changing: bool) -> None:
        spec = job.spec
        counted = self._counted.get(job.id)
        if counted is None:
            counted = self._counted[job.id] = _CountedJob()
            self.groups.setdefault((spec.team, spec.job_class), GroupUsage()).jobs += 1
            self.arrivals[(spec.team, spec.job_class)] += 1
        if counted.queued == queued and counted.placed == placed and counted.changing == changing:
            return
        team = self.teams.get(spec.team)
        if team is None:
            team = self.teams[spec.team] = TeamDemand()
        delta = bool(queued) - bool(counted.queued)
        if delta:
            team.queued_jobs += delta
            team.queued_production_jobs += delta * (job.priority_rank == 0)
            team.service_jobs += delta * (spec.kind is JobKind.SERVICE)
            if delta > 0:
                team.task_cpus.add(spec.cpus)
            else:
                team.task_cpus.remove(spec.cpus)
        team.changing_jobs += changing - counted.changing
        team.queued_cpus += (queued - counted.queued) * spec.cpus
        if not team.queued_jobs:
            team.queued_cpus = 0.0  # discards accumulated rounding errors
        group = self.groups[(spec.team, spec.job_class)]
        for index, amount in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
            group.queued[index] += (queued - counted.queued) * amount
            group.used[index] += (placed - counted.placed) * amount
        if spec.kind is JobKind.ARRAY and spec.spot:
            work = self.spot_work.get((spec.team, spec.job_class))
            if work is None:
                work = self.spot_work[(spec.team, spec.job_class)] = SpotWork()
            amount = spec.cpus * spec.estimate_s
            work.queued_cpu_s += (queued - counted.queued) * amount
            work.queued_cpus += (queued - counted.queued) * spec.cpus
            work.running_cpu_s += (placed - counted.placed) * amount
        counted.queued, counted.placed, counted.changing = queued, placed, int(changing)
