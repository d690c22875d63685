"""What teams use, what they are guaranteed, and what they may never have."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from sortedcontainers import SortedList

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.settings import Team
from gladecroft.protocol.wire import JobKind, JobSpec


class TeamUsage:
    """How many attempts each team has of each size (cores, cards): counted as they come and go, since looking through
    all jobs after every change took steps that grew with the fleet."""

    def __init__(self) -> None:
        self._sizes: dict[str, Counter[tuple[float, float]]] = {}

    def used(self, team: str) -> tuple[float, float]:
        """Cores and cards that the team's attempts take, from their commit until they are proven gone."""
        cpus = gpus = 0.0
        for (each_cpus, each_gpus), count in self._sizes.get(team, {}).items():
            cpus += count * each_cpus
            gpus += count * each_gpus
        return cpus, gpus

    def count(self, spec: JobSpec, step: int) -> None:
        """Count attempts of a job that have come or gone."""
        sizes = self._sizes.setdefault(spec.team, Counter())
        size = (spec.cpus, spec.gpus)
        sizes[size] += step
        if not sizes[size]:
            del sizes[size]


class Guarantees:
    """Which jobs fit into their team's guarantee along with the team's earlier unfinished jobs.

    Only teams of which jobs have come or gone are worked out anew, and of these only the jobs up to the first that no
    longer fits: what waits behind it costs nothing.
    """

    def __init__(self, limits: Mapping[str, Team]) -> None:
        self._limits = limits
        #: The jobs within their team's guarantee, and the teams that have more unfinished work than that.
        self.inside: set[str] = set()
        self.teams_over: set[str] = set()
        self._order: dict[str, SortedList[tuple[int, str]]] = {}
        self._places: dict[str, tuple[int, str]] = {}
        self._inside: dict[str, set[str]] = {}
        self._stale: set[str] = set()

    def update(self, job: Job) -> None:
        """A job has come, or has been cancelled: then it counts no more."""
        if (job.id in self._places) is not job.cancelled:
            return
        if job.cancelled:
            self.remove(job)
        elif job.spec.team in self._limits:
            place = self._places[job.id] = (job.record.accepted_ms, job.id)
            self._order.setdefault(job.spec.team, SortedList()).add(place)
            self._stale.add(job.spec.team)

    def remove(self, job: Job) -> None:
        place = self._places.pop(job.id, None)
        if place is not None:
            self._order[job.spec.team].remove(place)
            self._stale.add(job.spec.team)

    def refresh(self, jobs: Mapping[str, Job]) -> set[str]:
        """Bring ``inside`` and ``crowded`` up to date; the jobs for which something has changed."""
        changed: set[str] = set()
        for team in self._stale:
            before = self._inside.get(team, set())
            inside, crowded = self._within(team, jobs)
            if crowded is not (team in self.teams_over):
                changed |= inside
            (self.teams_over.add if crowded else self.teams_over.discard)(team)
            changed |= inside ^ before
            self._inside[team] = inside
            self.inside -= before
            self.inside |= inside
        self._stale.clear()
        return changed

    def _within(self, team: str, jobs: Mapping[str, Job]) -> tuple[set[str], bool]:
        inside: set[str] = set()
        limit = self._limits[team]
        cpus = gpus = 0.0
        for _, name in self._order[team]:
            spec = jobs[name].spec
            cpus += spec.cpus * spec.tasks
            gpus += spec.gpus * spec.tasks
            if cpus > limit.cpus + 1e-9 or gpus > limit.gpus + 1e-9:
                return inside, True  # the sums only grow
            inside.add(name)
        return inside, False


def infeasible_reason(limits: Mapping[str, Team], spec: JobSpec) -> str | None:
    """Why the job is more than its team's limit allows for good, or None."""
    team = limits.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    times = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    if spec.cpus * times > team.cpu_limit + 1e-9 or spec.gpus * times > team.gpu_limit + 1e-9:
        return f"needs more than the limit of team {spec.team}"
    return None
