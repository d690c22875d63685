"""The waiting jobs in the order in which they are planned, kept from round to round.

Jobs that look for the same room stand in one *row*. A round takes the rows' foremost jobs in turn; a row for which no
room is left is closed, and nothing behind its first job is looked at. Only jobs that have changed, or whose turn
changes with the time, are put in their places anew. So what a round costs grows with the rows and with what it places,
not with what waits: going through all that waited took two thirds of a controller's time in a flood.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from sortedcontainers import SortedList

from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.coordination.scheduling.ordering import OVERDUE, JobOrdering
from gladecroft.policies import Panel
from gladecroft.protocol.wire import JobKind

#: Where a job stands in its row: how much it is past helping, its work in core-seconds, its name.
Place = tuple[int, float, str]
#: Cores, cards and memory of a task, and the job's name.
Size = tuple[float, float, float, str]


class SubQueue:
    """Jobs of one team and class, alike in privilege, priority and in the machines that they may use."""

    __slots__ = ("key", "group", "uses_guarantee", "overdue", "privilege", "places", "sizes", "why", "why_round")

    def __init__(self, key: tuple[Any, ...], job: Job, pressing: bool, overdue: bool) -> None:
        self.key = key
        self.group = (job.spec.team, job.spec.job_class)
        self.uses_guarantee = pressing
        self.overdue = overdue
        #: What has waited too long to begin first, whatever it is; then work within a guarantee, then by priority.
        self.privilege = (0, False, 0) if overdue else (1, not pressing, job.priority_rank)
        self.places: SortedList[Place] = SortedList()
        self.sizes: SortedList[Size] = SortedList()
        #: Why the row was last closed, and in which round.
        self.why = ""
        self.why_round = -1


class QueueEntry(msgspec.Struct, eq=False):
    row: SubQueue
    place: Place
    size: Size
    #: When its place may change with the time, by the time of day in seconds.
    due: float


class PendingQueue:
    def __init__(self, cluster_state: ClusterState, ordering: JobOrdering, panel: Panel | None = None) -> None:
        self.cluster_state = cluster_state
        self.panel = panel
        self.ordering = ordering
        self.rounds = 0
        self._resets = -1
        self._rows: dict[tuple[Any, ...], SubQueue] = {}
        self._entries: dict[str, QueueEntry] = {}
        self._due: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def refresh(self, now: float) -> None:
        """Put the jobs in their places that have changed, or whose time has come. ``now``: the time of day."""
        cluster_state = self.cluster_state
        guaranteed = cluster_state.guaranteed_jobs()
        if self._resets != cluster_state.reset_count:
            self._resets = cluster_state.reset_count
            self._rows.clear()
            self._entries.clear()
            self._due.clear()
            cluster_state.dirty_jobs.update(cluster_state.queued_jobs)
        moved, cluster_state.dirty_jobs = cluster_state.dirty_jobs, set()
        while self._due and self._due[0][0] <= now:
            moved.add(heapq.heappop(self._due)[1])
        for name in moved:
            job = cluster_state.queued_jobs.get(name)
            self._set(name, job, job is not None and self.ordering.is_pressing(job, guaranteed), now)
        if len(self._due) > 4 * len(self._entries) + 100:
            self._due = [(entry.due, name) for name, entry in self._entries.items() if entry.due < float("inf")]
            heapq.heapify(self._due)

    def _set(self, name: str, job: Job | None, pressing: bool, now: float) -> None:
        old = self._entries.get(name)
        if job is None:
            if old is not None:
                self._take_out(old)
                del self._entries[name]
            return
        turn, work, due = self.ordering.turn(job)
        overdue = turn == OVERDUE
        key = row_key(job, pressing, self.panel is not None and self.panel.by_job(), overdue)
        place = (turn, work, name)
        if old is not None:
            if old.row.key == key and old.place == place and old.due == due:
                return
            self._take_out(old)
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = SubQueue(key, job, pressing, overdue)
        spec = job.spec
        size = (spec.cpus, spec.gpus, spec.memory_gb, name)
        self._entries[name] = QueueEntry(row, place, size, due)
        row.places.add(place)
        row.sizes.add(size)
        if due < float("inf"):
            # A due that has passed already is looked at again with the next round, not in this one.
            heapq.heappush(self._due, (max(due, now + 1e-3), name))

    def _take_out(self, entry: QueueEntry) -> None:
        row = entry.row
        row.places.remove(entry.place)
        row.sizes.remove(entry.size)
        if not row.places:
            del self._rows[row.key]

    def round(self, tier: Callable[[SubQueue], int] | None = None) -> SchedulingRound:
        """Begin a round; ``refresh`` comes before it. ``tier``: what comes before privilege and priority, lowest
        first; it may rise in the course of a round."""
        self.rounds += 1
        return SchedulingRound(self.cluster_state.queued_jobs, list(self._rows.values()), self.rounds, tier)

    def why(self, job: Job) -> tuple[int, str]:
        """In which round the job's row was last closed, and why."""
        entry = self._entries.get(job.id)
        return (-1, "") if entry is None else (entry.row.why_round, entry.row.why)


def row_key(job: Job, pressing: bool, by_job: bool = False, overdue: bool = False) -> tuple[Any, ...]:
    spec = job.spec
    alone = ""
    if by_job or spec.kind is JobKind.GANG or ((spec.one_zone or spec.spread) and job.placed_count):
        # What room it looks for depends on where its other tasks are, or on what policies say of it alone.
        alone = job.id
    return (
        spec.team,
        spec.job_class,
        not overdue,
        not pressing,
        job.priority_rank,
        tuple(spec.types) if spec.types is not None else None,
        spec.zone,
        spec.spot,
        spec.spread,
        spec.one_zone,
        alone,
    )


class SchedulingRound:
    """One going through the rows. What is iterated over must not be refreshed meanwhile."""

    def __init__(
        self, jobs: dict[str, Job], rows: list[SubQueue], number: int, tier: Callable[[SubQueue], int] | None = None
    ) -> None:
        self._jobs = jobs
        self.number = number
        self._tier = tier
        self._closed: set[int] = set()
        #: Sizes that found no room, by row.
        self._lacking: dict[int, list[Size]] = {}
        self._heads = [
            (0 if tier is None else tier(row), row.privilege, row.places[0], 0, index, row)
            for index, row in enumerate(rows)
        ]
        heapq.heapify(self._heads)

    def __iter__(self) -> Iterator[tuple[Job, SubQueue]]:
        heads, tier = self._heads, self._tier
        while heads:
            level, privilege, place, at, index, row = heapq.heappop(heads)
            if tier is not None:
                now = tier(row)
                if now > level:  # it has got what put it first
                    heapq.heappush(heads, (now, privilege, place, at, index, row))
                    continue
            yield self._jobs[place[2]], row
            if id(row) in self._closed:
                continue
            lacking = self._lacking.get(id(row))
            for after, place in enumerate(row.places.islice(at + 1), at + 1):
                if lacking is None or not self._too_big(self._jobs[place[2]], lacking):
                    heapq.heappush(heads, (level, privilege, place, after, index, row))
                    break

    @staticmethod
    def _too_big(job: Job, lacking: list[Size]) -> bool:
        spec = job.spec
        return any(
            spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory for cpus, gpus, memory, _ in lacking
        )

    def smallest(self, row: SubQueue) -> Job:
        return self._jobs[row.sizes[0][3]]

    def close(self, row: SubQueue, why: str) -> None:
        """Nothing more of the row is looked at in this round, for a reason that its jobs' users are told."""
        self.skip(row)
        row.why, row.why_round = why, self.number

    def skip(self, row: SubQueue) -> None:
        self._closed.add(id(row))

    def mark_infeasible(self, row: SubQueue, job: Job) -> bool:
        """A job of the row has found no room; equal and bigger ones of the row are passed over in this round. Whether
        that goes for the whole row."""
        spec = job.spec
        lacking = self._lacking.setdefault(id(row), [])
        lacking.append((spec.cpus, spec.gpus, spec.memory_gb, job.id))
        return self._too_big(self.smallest(row), lacking)
