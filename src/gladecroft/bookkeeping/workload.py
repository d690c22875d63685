"""Sums over the unfinished work, kept as it changes: in an overload nobody may look through all that waits."""

from __future__ import annotations

from collections import Counter

from sortedcontainers import SortedList

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.wire import Kind

#: A team and a class of jobs.
Group = tuple[str, str]


class TeamWaits:
    """What waits of one team. ``sizes``: the cores of a task of each waiting job, in order."""

    __slots__ = ("jobs", "cpus", "sizes", "urgent", "services", "weight")

    def __init__(self) -> None:
        self.jobs = self.urgent = self.services = 0
        self.cpus = 0.0
        self.sizes: SortedList[float] = SortedList()
        #: Jobs that wait or will end soon: the ones that changes are spent on.
        self.weight = 0


class Work:
    """Core-seconds of a group's arrays that may run on cheap machines, by their owners' estimates."""

    __slots__ = ("waiting", "running", "waiting_cpus")

    def __init__(self) -> None:
        self.waiting = self.running = self.waiting_cpus = 0.0


class GroupUse:
    """Of one team and class: unfinished jobs, and cores, cards and GB that its attempts hold and its waiting tasks ask
    for."""

    __slots__ = ("jobs", "used", "waiting")

    def __init__(self) -> None:
        self.jobs = 0
        self.used = [0.0, 0.0, 0.0]
        self.waiting = [0.0, 0.0, 0.0]


class _Noted:
    __slots__ = ("queued", "occupied", "weight")

    def __init__(self) -> None:
        self.queued = self.occupied = self.weight = 0


class Waiting:
    """``note`` is told of a job whenever its tasks' states or its record change, ``forget`` when it is over."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamWaits] = {}
        self.work: dict[Group, Work] = {}
        self.groups: dict[Group, GroupUse] = {}
        #: Jobs that have come and gone since the records were listed.
        self.came: Counter[Group] = Counter()
        self.gone: Counter[Group] = Counter()
        self._noted: dict[str, _Noted] = {}

    @property
    def cpus(self) -> float:
        """Cores that waiting tasks ask for in all."""
        return sum(team.cpus for team in self.teams.values())

    def smallest(self) -> float:
        """The cores of the smallest waiting task; 0 if none waits."""
        return min((team.sizes[0] for team in self.teams.values() if team.sizes), default=0.0)

    def note(self, job: Job) -> None:
        self._set(job, job.queued_count, job.occupied, bool(job.queued_count) or job.spec.kind is not Kind.SERVICE)

    def forget(self, job: Job) -> None:
        if job.id not in self._noted:
            return
        self._set(job, 0, 0, False)
        del self._noted[job.id]
        group = self.groups[(job.spec.team, job.spec.job_class)]
        self.gone[(job.spec.team, job.spec.job_class)] += 1
        group.jobs -= 1
        if not group.jobs:
            # With it goes what adding and taking away has left over.
            del self.groups[(job.spec.team, job.spec.job_class)]

    def _set(self, job: Job, queued: int, occupied: int, weighs: bool) -> None:
        spec = job.spec
        noted = self._noted.get(job.id)
        if noted is None:
            noted = self._noted[job.id] = _Noted()
            self.groups.setdefault((spec.team, spec.job_class), GroupUse()).jobs += 1
            self.came[(spec.team, spec.job_class)] += 1
        if noted.queued == queued and noted.occupied == occupied and noted.weight == weighs:
            return
        team = self.teams.get(spec.team)
        if team is None:
            team = self.teams[spec.team] = TeamWaits()
        step = bool(queued) - bool(noted.queued)
        if step:
            team.jobs += step
            team.urgent += step * (job.rank == 0)
            team.services += step * (spec.kind is Kind.SERVICE)
            if step > 0:
                team.sizes.add(spec.cpus)
            else:
                team.sizes.remove(spec.cpus)
        team.weight += weighs - noted.weight
        team.cpus += (queued - noted.queued) * spec.cpus
        if not team.jobs:
            team.cpus = 0.0  # what adding and taking away has left over
        group = self.groups[(spec.team, spec.job_class)]
        for index, each in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
            group.waiting[index] += (queued - noted.queued) * each
            group.used[index] += (occupied - noted.occupied) * each
        if spec.kind is Kind.ARRAY and spec.spot:
            work = self.work.get((spec.team, spec.job_class))
            if work is None:
                work = self.work[(spec.team, spec.job_class)] = Work()
            each = spec.cpus * spec.estimate_s
            work.waiting += (queued - noted.queued) * each
            work.waiting_cpus += (queued - noted.queued) * spec.cpus
            work.running += (occupied - noted.occupied) * each
        noted.queued, noted.occupied, noted.weight = queued, occupied, int(weighs)
