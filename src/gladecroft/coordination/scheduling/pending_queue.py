"""The queue of pending jobs in scheduling order, kept between rounds.

Jobs that compete for the same machines share a *subqueue*. A round merges the subqueues by priority. Once a subqueue's
smallest job is known not to fit, the subqueue is closed and the rest of it is skipped. Only jobs that have changed, or
whose precedence changes with time, are moved. So the cost of a round grows with the number of subqueues and of
placements, not with the number of pending jobs; visiting all of them took two thirds of a controller's time under a
large backlog.
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
from gladecroft.policies import PolicyEngine
from gladecroft.protocol.wire import JobKind

#: Sort key of a job in its subqueue: its precedence, its work in core-seconds (time of acceptance if overdue), its id.
QueuePosition = tuple[int, float, str]
#: Cores, GPUs and memory of a task, and the job's id.
TaskSize = tuple[float, float, float, str]


class SubQueue:
    """Jobs of one team and class with the same priority and the same constraints on machines."""

    __slots__ = (
        "key",
        "group",
        "uses_guarantee",
        "overdue",
        "priority_key",
        "order",
        "sizes",
        "close_reason",
        "closed_in_round",
    )

    def __init__(self, key: tuple[Any, ...], job: Job, uses_guarantee: bool, overdue: bool) -> None:
        self.key = key
        self.group = (job.spec.team, job.spec.job_class)
        self.uses_guarantee = uses_guarantee
        self.overdue = overdue
        #: Overdue jobs come first whatever their priority, then jobs that use their team's guarantee, then by priority.
        self.priority_key = (0, False, 0) if overdue else (1, not uses_guarantee, job.priority_rank)
        self.order: SortedList[QueuePosition] = SortedList()
        self.sizes: SortedList[TaskSize] = SortedList()
        #: Why the subqueue was last closed, and in which round.
        self.close_reason = ""
        self.closed_in_round = -1


class QueueEntry(msgspec.Struct, eq=False):
    """The place of a pending job in the queue."""

    subqueue: SubQueue
    position: QueuePosition
    size: TaskSize
    #: Wall-clock time at which its position may change if the job itself does not.
    reorder_at_s: float


class PendingQueue:
    """All pending jobs, in subqueues that are updated as jobs change and as time passes."""

    def __init__(
        self, cluster_state: ClusterState, ordering: JobOrdering, policy_engine: PolicyEngine | None = None
    ) -> None:
        self.cluster_state = cluster_state
        self.policy_engine = policy_engine
        self.ordering = ordering
        self.rounds = 0
        self._seen_resets = -1
        self._subqueues: dict[tuple[Any, ...], SubQueue] = {}
        self._entries: dict[str, QueueEntry] = {}
        self._reorder_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def refresh(self, now: float) -> None:
        """Update the positions of jobs that changed or whose precedence changes by ``now`` (wall-clock seconds)."""
        cluster_state = self.cluster_state
        guaranteed = cluster_state.guaranteed_jobs()
        if self._seen_resets != cluster_state.reset_count:
            self._seen_resets = cluster_state.reset_count
            self._subqueues.clear()
            self._entries.clear()
            self._reorder_heap.clear()
            cluster_state.dirty_jobs.update(cluster_state.queued_jobs)
        changed, cluster_state.dirty_jobs = cluster_state.dirty_jobs, set()
        while self._reorder_heap and self._reorder_heap[0][0] <= now:
            changed.add(heapq.heappop(self._reorder_heap)[1])
        for job_id in changed:
            job = cluster_state.queued_jobs.get(job_id)
            self._update(job_id, job, job is not None and self.ordering.uses_guarantee(job, guaranteed), now)
        if len(self._reorder_heap) > 4 * len(self._entries) + 100:
            self._reorder_heap = [
                (entry.reorder_at_s, job_id)
                for job_id, entry in self._entries.items()
                if entry.reorder_at_s < float("inf")
            ]
            heapq.heapify(self._reorder_heap)

    def _update(self, job_id: str, job: Job | None, uses_guarantee: bool, now: float) -> None:
        entry = self._entries.get(job_id)
        if job is None:
            if entry is not None:
                self._remove(entry)
                del self._entries[job_id]
            return
        precedence, work, reorder_at_s = self.ordering.precedence(job)
        overdue = precedence == OVERDUE
        key = subqueue_key(
            job, uses_guarantee, self.policy_engine is not None and self.policy_engine.is_job_specific(), overdue
        )
        position = (precedence, work, job_id)
        if entry is not None:
            if entry.subqueue.key == key and entry.position == position and entry.reorder_at_s == reorder_at_s:
                return
            self._remove(entry)
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            subqueue = self._subqueues[key] = SubQueue(key, job, uses_guarantee, overdue)
        spec = job.spec
        size = (spec.cpus, spec.gpus, spec.memory_gb, job_id)
        self._entries[job_id] = QueueEntry(subqueue, position, size, reorder_at_s)
        subqueue.order.add(position)
        subqueue.sizes.add(size)
        if reorder_at_s < float("inf"):
            # A time that has passed already is handled in the next round, so that this one ends.
            heapq.heappush(self._reorder_heap, (max(reorder_at_s, now + 1e-3), job_id))

    def _remove(self, entry: QueueEntry) -> None:
        subqueue = entry.subqueue
        subqueue.order.remove(entry.position)
        subqueue.sizes.remove(entry.size)
        if not subqueue.order:
            del self._subqueues[subqueue.key]

    def start_round(self, tier: Callable[[SubQueue], int] | None = None) -> SchedulingRound:
        """Begin a scheduling round over the queue as of the last ``refresh``.

        ``tier`` gives a subqueue's tier, which is compared before its priority, lowest first. It may rise during the
        round.
        """
        self.rounds += 1
        return SchedulingRound(self.cluster_state.queued_jobs, list(self._subqueues.values()), self.rounds, tier)

    def last_close(self, job: Job) -> tuple[int, str]:
        """Return the round in which the job's subqueue was last closed, and why."""
        entry = self._entries.get(job.id)
        return (-1, "") if entry is None else (entry.subqueue.closed_in_round, entry.subqueue.close_reason)


def subqueue_key(job: Job, uses_guarantee: bool, by_job: bool = False, overdue: bool = False) -> tuple[Any, ...]:
    """Return the key of the subqueue in which a job belongs. ``by_job``: policies treat every job by itself."""
    spec = job.spec
    job_id = ""
    if by_job or spec.kind is JobKind.GANG or ((spec.one_zone or spec.spread) and job.placed_count):
        # The machines it may use depend on where its other tasks are, or on policies that judge jobs individually.
        job_id = job.id
    return (
        spec.team,
        spec.job_class,
        not overdue,
        not uses_guarantee,
        job.priority_rank,
        tuple(spec.types) if spec.types is not None else None,
        spec.zone,
        spec.spot,
        spec.spread,
        spec.one_zone,
        job_id,
    )


class SchedulingRound:
    """One pass over the pending jobs. The queue must not be refreshed during the iteration."""

    def __init__(
        self,
        jobs: dict[str, Job],
        subqueues: list[SubQueue],
        number: int,
        tier: Callable[[SubQueue], int] | None = None,
    ) -> None:
        self._jobs = jobs
        self.number = number
        self._tier = tier
        self._closed: set[int] = set()
        #: By subqueue: task sizes for which no machine had capacity.
        self._infeasible: dict[int, list[TaskSize]] = {}
        #: Heap with the next job of each open subqueue, and the offset of that job in it.
        self._heads = [
            (0 if tier is None else tier(subqueue), subqueue.priority_key, subqueue.order[0], 0, index, subqueue)
            for index, subqueue in enumerate(subqueues)
        ]
        heapq.heapify(self._heads)

    def __iter__(self) -> Iterator[tuple[Job, SubQueue]]:
        heads, tier = self._heads, self._tier
        while heads:
            popped_tier, priority_key, position, offset, index, subqueue = heapq.heappop(heads)
            if tier is not None:
                current_tier = tier(subqueue)
                if current_tier > popped_tier:  # placements of this round have used up its lower tier
                    heapq.heappush(heads, (current_tier, priority_key, position, offset, index, subqueue))
                    continue
            yield self._jobs[position[2]], subqueue
            if id(subqueue) in self._closed:
                continue
            infeasible = self._infeasible.get(id(subqueue))
            for following, position in enumerate(subqueue.order.islice(offset + 1), offset + 1):
                if infeasible is None or not self._known_infeasible(self._jobs[position[2]], infeasible):
                    heapq.heappush(heads, (popped_tier, priority_key, position, following, index, subqueue))
                    break

    @staticmethod
    def _known_infeasible(job: Job, infeasible: list[TaskSize]) -> bool:
        spec = job.spec
        return any(
            spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory for cpus, gpus, memory, _ in infeasible
        )

    def smallest_job(self, subqueue: SubQueue) -> Job:
        """Return the job of a subqueue with the smallest tasks."""
        return self._jobs[subqueue.sizes[0][3]]

    def close(self, subqueue: SubQueue, reason: str) -> None:
        """Skip the rest of a subqueue in this round, for a reason that is shown to the users of its jobs."""
        self.skip(subqueue)
        subqueue.close_reason, subqueue.closed_in_round = reason, self.number

    def skip(self, subqueue: SubQueue) -> None:
        """Skip the rest of a subqueue in this round."""
        self._closed.add(id(subqueue))

    def mark_infeasible(self, subqueue: SubQueue, job: Job) -> bool:
        """Record that a job found no capacity; jobs of its subqueue with tasks no smaller are skipped in this round.

        Returns whether that goes for every job of the subqueue.
        """
        spec = job.spec
        infeasible = self._infeasible.setdefault(id(subqueue), [])
        infeasible.append((spec.cpus, spec.gpus, spec.memory_gb, job.id))
        return self._known_infeasible(self.smallest_job(subqueue), infeasible)
