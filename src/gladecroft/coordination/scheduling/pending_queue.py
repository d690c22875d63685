"""The queue of pending jobs in scheduling order, kept between rounds.

Jobs of one team and class that have the same priority and the same constraints on machines share a *subqueue*. A
*scheduling round* is one pass over the pending jobs, which merges the subqueues. Jobs are taken by the tier of their
subqueue (see ``admission.tiers``; all equal except in an overload), then by its ``priority_key``, then by their own
position: the job's precedence, sort value (see ``JobOrdering.precedence``) and id. A job is *overdue* if too few of its
tasks have been placed within ``ordering.START_DEADLINE_S``; it comes before jobs of every priority in its tier.

Once a subqueue's smallest job is known not to fit, the subqueue is closed and the rest of it is skipped. Only jobs that
have changed, or whose precedence changes with time, are moved. So the cost of a round grows with the number of
subqueues and of placements, not with the number of pending jobs; visiting all of them took two thirds of a controller's
time under a large backlog.
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

#: Sort key of a job in its subqueue: precedence, sort value (see ``JobOrdering.precedence``) and job id.
QueuePosition = tuple[int, float, str]
#: Sort key of a job by the size of its tasks: cores, GPUs and GB of memory of one task, and job id as tie-breaker.
SizeKey = tuple[float, float, float, str]


class SubQueue:
    """Jobs of one team and class that have the same priority and the same constraints on machines.

    They also agree in whether they are overdue and whether they use their team's guarantee.
    """

    __slots__ = (
        "key",
        "group",
        "uses_guarantee",
        "overdue",
        "priority_key",
        "positions",
        "size_keys",
        "close_reason",
        "closed_in_round",
    )

    def __init__(self, key: tuple[Any, ...], job: Job, uses_guarantee: bool, overdue: bool) -> None:
        self.key = key
        self.group = (job.spec.team, job.spec.job_class)
        self.uses_guarantee = uses_guarantee
        self.overdue = overdue
        #: Sort key: overdue jobs first, then jobs that use their team's guarantee by priority, then others by priority.
        self.priority_key = (0, False, 0) if overdue else (1, not uses_guarantee, job.priority_rank)
        self.positions: SortedList[QueuePosition] = SortedList()
        self.size_keys: SortedList[SizeKey] = SortedList()
        #: Why the subqueue was last closed, and in which round.
        self.close_reason = ""
        self.closed_in_round = -1


class QueueEntry(msgspec.Struct, eq=False):
    """The place of a pending job in the queue."""

    subqueue: SubQueue
    position: QueuePosition
    size_key: SizeKey
    #: Wall-clock time in seconds at which the position must be recomputed even if the job is unchanged; inf: never.
    reorder_at_s: float


class PendingQueue:
    """All pending jobs, in subqueues that are updated as jobs change and as time passes."""

    def __init__(
        self, cluster_state: ClusterState, ordering: JobOrdering, policy_engine: PolicyEngine | None = None
    ) -> None:
        self.cluster_state = cluster_state
        self.policy_engine = policy_engine
        self.ordering = ordering
        self.round_number = 0
        self._seen_reset_count = -1
        self._subqueues: dict[tuple[Any, ...], SubQueue] = {}
        self._entries: dict[str, QueueEntry] = {}
        self._reorder_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def refresh(self, now_wall_s: float) -> None:
        """Update the positions of jobs that changed, or whose precedence may have changed with time.

        ``now_wall_s`` is the wall-clock time in seconds.
        """
        cluster_state = self.cluster_state
        guaranteed_job_ids = cluster_state.guaranteed_job_ids()
        if self._seen_reset_count != cluster_state.reset_count:
            self._seen_reset_count = cluster_state.reset_count
            self._subqueues.clear()
            self._entries.clear()
            self._reorder_heap.clear()
            cluster_state.dirty_jobs.update(cluster_state.queued_jobs)
        changed, cluster_state.dirty_jobs = cluster_state.dirty_jobs, set()
        while self._reorder_heap and self._reorder_heap[0][0] <= now_wall_s:
            changed.add(heapq.heappop(self._reorder_heap)[1])
        for job_id in changed:
            job = cluster_state.queued_jobs.get(job_id)
            self._update(
                job_id, job, job is not None and self.ordering.uses_guarantee(job, guaranteed_job_ids), now_wall_s
            )
        # Rebuilds the heap when most of its elements are outdated: jobs that were moved or removed stay in it.
        if len(self._reorder_heap) > 4 * len(self._entries) + 100:
            self._reorder_heap = [
                (entry.reorder_at_s, job_id)
                for job_id, entry in self._entries.items()
                if entry.reorder_at_s < float("inf")
            ]
            heapq.heapify(self._reorder_heap)

    def _update(self, job_id: str, job: Job | None, uses_guarantee: bool, now_wall_s: float) -> None:
        entry = self._entries.get(job_id)
        if job is None:
            if entry is not None:
                self._remove(entry)
                del self._entries[job_id]
            return
        precedence, sort_value, reorder_at_s = self.ordering.precedence(job)
        overdue = precedence == OVERDUE
        key = subqueue_key(
            job, uses_guarantee, self.policy_engine is not None and self.policy_engine.is_job_specific(), overdue
        )
        position = (precedence, sort_value, job_id)
        if entry is not None:
            if entry.subqueue.key == key and entry.position == position and entry.reorder_at_s == reorder_at_s:
                return
            self._remove(entry)
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            subqueue = self._subqueues[key] = SubQueue(key, job, uses_guarantee, overdue)
        spec = job.spec
        size_key = (spec.cpus, spec.gpus, spec.memory_gb, job_id)
        self._entries[job_id] = QueueEntry(subqueue, position, size_key, reorder_at_s)
        subqueue.positions.add(position)
        subqueue.size_keys.add(size_key)
        if reorder_at_s < float("inf"):
            # A time in the past becomes 1 ms from now, so that another refresh at the same time leaves the job alone.
            heapq.heappush(self._reorder_heap, (max(reorder_at_s, now_wall_s + 1e-3), job_id))

    def _remove(self, entry: QueueEntry) -> None:
        subqueue = entry.subqueue
        subqueue.positions.remove(entry.position)
        subqueue.size_keys.remove(entry.size_key)
        if not subqueue.positions:
            del self._subqueues[subqueue.key]

    def start_round(self, tier_of: Callable[[SubQueue], int] | None = None) -> SchedulingRound:
        """Begin a scheduling round over the queue as of the last ``refresh``.

        ``tier_of`` returns a subqueue's tier; subqueues of the lowest tier come first, whatever their priority. A tier
        may rise during the round.
        """
        self.round_number += 1
        return SchedulingRound(
            self.cluster_state.queued_jobs, list(self._subqueues.values()), self.round_number, tier_of
        )

    def last_close(self, job: Job) -> tuple[int, str]:
        """Return the round in which the job's subqueue was last closed, and why."""
        entry = self._entries.get(job.id)
        return (-1, "") if entry is None else (entry.subqueue.closed_in_round, entry.subqueue.close_reason)


def subqueue_key(job: Job, uses_guarantee: bool, job_specific: bool = False, overdue: bool = False) -> tuple[Any, ...]:
    """Return the key of the subqueue to which a job belongs.

    If ``job_specific`` is true, the job gets a subqueue of its own, because policies may allow it other machines than
    other jobs with the same constraints.
    """
    spec = job.spec
    job_id = ""
    if job_specific or spec.kind is JobKind.GANG or ((spec.one_zone or spec.spread) and job.placed_count):
        # The machines that the job may use depend on where its other tasks are, or on job-specific policies.
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
    """One pass over the pending jobs; iterating yields each that is not skipped, with its subqueue.

    The queue must not be refreshed during the iteration.
    """

    def __init__(
        self,
        jobs: dict[str, Job],
        subqueues: list[SubQueue],
        number: int,
        tier_of: Callable[[SubQueue], int] | None = None,
    ) -> None:
        self._jobs = jobs
        self.number = number
        self._tier_of = tier_of
        #: ``id()`` of the subqueues of which the rest is skipped.
        self._skipped_ids: set[int] = set()
        #: By ``id()`` of the subqueue: task sizes for which no machine had capacity.
        self._unschedulable: dict[int, list[SizeKey]] = {}
        #: Heap of the subqueues that are not skipped. An element consists of tier, priority key, position of the
        #: subqueue's next job, index of that position in the subqueue, index of the subqueue (unique, so that subqueues
        #: are never compared) and the subqueue.
        self._heads = [
            (
                0 if tier_of is None else tier_of(subqueue),
                subqueue.priority_key,
                subqueue.positions[0],
                0,
                index,
                subqueue,
            )
            for index, subqueue in enumerate(subqueues)
        ]
        heapq.heapify(self._heads)

    def __iter__(self) -> Iterator[tuple[Job, SubQueue]]:
        heads, tier_of = self._heads, self._tier_of
        while heads:
            popped_tier, priority_key, position, offset, index, subqueue = heapq.heappop(heads)
            if tier_of is not None:
                current_tier = tier_of(subqueue)
                if current_tier > popped_tier:  # placements in this round have raised the tier
                    heapq.heappush(heads, (current_tier, priority_key, position, offset, index, subqueue))
                    continue
            yield self._jobs[position[2]], subqueue
            if id(subqueue) in self._skipped_ids:
                continue
            unschedulable = self._unschedulable.get(id(subqueue))
            for next_offset, position in enumerate(subqueue.positions.islice(offset + 1), offset + 1):
                if unschedulable is None or not self._is_unschedulable(self._jobs[position[2]], unschedulable):
                    heapq.heappush(heads, (popped_tier, priority_key, position, next_offset, index, subqueue))
                    break

    @staticmethod
    def _is_unschedulable(job: Job, unschedulable: list[SizeKey]) -> bool:
        spec = job.spec
        return any(
            spec.cpus >= cpus and spec.gpus >= gpus and spec.memory_gb >= memory
            for cpus, gpus, memory, _ in unschedulable
        )

    def smallest_job(self, subqueue: SubQueue) -> Job:
        """Return the first job of a subqueue by cores, then GPUs, then memory per task.

        A job with more cores but fewer GPUs or less memory than it is not considered.
        """
        return self._jobs[subqueue.size_keys[0][3]]

    def close(self, subqueue: SubQueue, reason: str) -> None:
        """Skip the rest of a subqueue in this round, and keep the reason to show it to the users of its jobs."""
        self.skip(subqueue)
        subqueue.close_reason, subqueue.closed_in_round = reason, self.number

    def skip(self, subqueue: SubQueue) -> None:
        """Skip the rest of a subqueue in this round without keeping a reason for its users."""
        self._skipped_ids.add(id(subqueue))

    def mark_unschedulable(self, subqueue: SubQueue, job: Job) -> bool:
        """Record that a job found no capacity; jobs of its subqueue with tasks no smaller are skipped in this round.

        Returns whether the subqueue's ``smallest_job`` is one of them, so that the whole subqueue can be closed.
        """
        spec = job.spec
        unschedulable = self._unschedulable.setdefault(id(subqueue), [])
        unschedulable.append((spec.cpus, spec.gpus, spec.memory_gb, job.id))
        return self._is_unschedulable(self.smallest_job(subqueue), unschedulable)
