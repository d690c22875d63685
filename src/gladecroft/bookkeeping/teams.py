"""Usage, guarantees and limits of teams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from sortedcontainers import SortedList

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.settings import Team
from gladecroft.protocol.wire import JobKind, JobSpec


class TeamUsage:
    """The number of attempts of each team by size (cores, GPUs).

    Updated with each recorded placement and exit. Scanning all jobs after each change took time that grew with the
    number of machines.
    """

    def __init__(self) -> None:
        self._sizes: dict[str, Counter[tuple[float, float]]] = {}

    def used(self, team: str) -> tuple[float, float]:
        """Cores and GPUs held by the team's attempts, from their placement until their exit is recorded."""
        cpus = gpus = 0.0
        for (each_cpus, each_gpus), count in self._sizes.get(team, {}).items():
            cpus += count * each_cpus
            gpus += count * each_gpus
        return cpus, gpus

    def add(self, spec: JobSpec, count: int) -> None:
        """Add ``count`` attempts of a job, or remove them if it is negative."""
        sizes = self._sizes.setdefault(spec.team, Counter())
        size = (spec.cpus, spec.gpus)
        sizes[size] += count
        if not sizes[size]:
            del sizes[size]


class Guarantees:
    """Tracks which jobs fit into the guarantee of their team together with the team's earlier unfinished jobs.

    Only teams whose jobs have changed are evaluated again, and only up to the first job that does not fit, so the cost
    does not depend on the number of later jobs.
    """

    def __init__(self, team_settings: Mapping[str, Team]) -> None:
        self._team_settings = team_settings
        #: Ids of the jobs that fit into the guarantee of their team.
        self.guaranteed_job_ids: set[str] = set()
        #: Teams whose unfinished jobs exceed their guarantee.
        self.teams_over: set[str] = set()
        self._jobs_by_acceptance: dict[str, SortedList[tuple[int, str]]] = {}
        #: By job id: its entry in ``_jobs_by_acceptance``, the time of acceptance in Unix milliseconds and the job id.
        self._sort_keys: dict[str, tuple[int, str]] = {}
        self._guaranteed_job_ids_by_team: dict[str, set[str]] = {}
        self._dirty_teams: set[str] = set()

    def update(self, job: Job) -> None:
        """Add a new job, or remove one that has been cancelled."""
        if (job.id in self._sort_keys) is not job.cancelled:
            return
        if job.cancelled:
            self.remove(job)
        elif job.spec.team in self._team_settings:
            sort_key = self._sort_keys[job.id] = (job.record.accepted_ms, job.id)
            self._jobs_by_acceptance.setdefault(job.spec.team, SortedList()).add(sort_key)
            self._dirty_teams.add(job.spec.team)

    def remove(self, job: Job) -> None:
        """Remove a job that is finished or cancelled."""
        sort_key = self._sort_keys.pop(job.id, None)
        if sort_key is not None:
            self._jobs_by_acceptance[job.spec.team].remove(sort_key)
            self._dirty_teams.add(job.spec.team)

    def refresh(self, jobs: Mapping[str, Job]) -> set[str]:
        """Update ``guaranteed_job_ids`` and ``teams_over``; return the ids of the affected jobs."""
        changed: set[str] = set()
        for team in self._dirty_teams:
            before = self._guaranteed_job_ids_by_team.get(team, set())
            within, is_over = self._evaluate_team(team, jobs)
            if is_over is not (team in self.teams_over):
                changed |= within
            (self.teams_over.add if is_over else self.teams_over.discard)(team)
            changed |= within ^ before
            self._guaranteed_job_ids_by_team[team] = within
            self.guaranteed_job_ids -= before
            self.guaranteed_job_ids |= within
        self._dirty_teams.clear()
        return changed

    def _evaluate_team(self, team: str, jobs: Mapping[str, Job]) -> tuple[set[str], bool]:
        within: set[str] = set()
        settings = self._team_settings[team]
        cpus = gpus = 0.0
        for _, job_id in self._jobs_by_acceptance[team]:
            spec = jobs[job_id].spec
            cpus += spec.cpus * spec.tasks
            gpus += spec.gpus * spec.tasks
            if cpus > settings.cpus + 1e-9 or gpus > settings.gpus + 1e-9:
                return within, True  # no later job fits, since the sums only grow
            within.add(job_id)
        return within, False


def infeasible_reason(team_settings: Mapping[str, Team], spec: JobSpec) -> str | None:
    """Why the job can never run: its team is unknown or its limit too low. None if it can."""
    team = team_settings.get(spec.team)
    if team is None:
        return f"unknown team {spec.team}"
    concurrent_tasks = 1 if spec.kind is JobKind.ARRAY else spec.tasks
    if spec.cpus * concurrent_tasks > team.cpu_limit + 1e-9 or spec.gpus * concurrent_tasks > team.gpu_limit + 1e-9:
        return f"needs more than the limit of team {spec.team}"
    return None
