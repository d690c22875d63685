"""What teams use, what they are guaranteed, and what they may never have."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.settings import Team
from gladecroft.protocol.wire import JobSpec, Kind


class TeamUse:
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


def within_guarantees(limits: Mapping[str, Team], jobs: Iterable[Job]) -> tuple[set[str], set[str]]:
    """The jobs that fit into their team's guarantee along with the team's earlier unfinished jobs, and the teams that
    have more unfinished work than their guarantee."""
    inside: set[str] = set()
    crowded: set[str] = set()
    sums: dict[str, list[float]] = {}
    for job in sorted(jobs, key=lambda job: (job.record.accepted_ms, job.id)):
        team = limits.get(job.spec.team)
        if team is None or job.cancelled:
            continue
        total = sums.setdefault(job.spec.team, [0.0, 0.0])
        total[0] += job.spec.cpus * job.spec.tasks
        total[1] += job.spec.gpus * job.spec.tasks
        if total[0] <= team.cpus + 1e-9 and total[1] <= team.gpus + 1e-9:
            inside.add(job.id)
        else:
            crowded.add(job.spec.team)
    return inside, crowded


def never_runs(limits: Mapping[str, Team], spec: JobSpec) -> str | None:
    """Why the job is more than its team's limit allows for good, or None."""
    team = limits.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    times = 1 if spec.kind is Kind.ARRAY else spec.tasks
    if spec.cpus * times > team.most_cpus + 1e-9 or spec.gpus * times > team.most_gpus + 1e-9:
        return f"needs more than the limit of team {spec.team}"
    return None
