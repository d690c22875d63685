"""Runs scheduling rounds: applies the two placers to all pending jobs and adds the placements to transactions.

A team's home controller is the only one that places tasks of the team's jobs.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.admission.tiers import BOOSTED, DEFERRED, NORMAL, AdmissionTiers
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.machines.fault_attribution import allowed_extra_starts, is_faulty_job, retry_backoff
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.evictor import Evictor
from gladecroft.coordination.scheduling.gang_scheduler import GangScheduler
from gladecroft.coordination.scheduling.ordering import JobOrdering
from gladecroft.coordination.scheduling.pending_queue import PendingQueue, SchedulingRound, SubQueue
from gladecroft.coordination.scheduling.placement import (
    EPSILON,
    Candidate,
    HighPriorityPlacer,
    LowPriorityPlacer,
    Offer,
    PlacedTask,
    Ranking,
    TaskRequest,
)
from gladecroft.coordination.scheduling.placement_writer import PlacementWriter
from gladecroft.coordination.scheduling.selection import (
    MachineSelector,
    reserve,
    restrict_to_one_zone,
    task_request,
    zone_counts_and_cap,
)
from gladecroft.coordination.scheduling.unschedulable_cache import UnschedulableCache
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.protocol.wire import PRIORITY_RANK, JobKind, JobSpec, MachineType

log = logging.getLogger(__name__)

MAX_PLACEMENTS_PER_ROUND = 400
#: A controller without tasks to place refreshes its pending queue only after more than this many jobs have changed.
MAX_UNPROCESSED_CHANGES = 1000
NO_CAPACITY = "no machine has room"
NO_MACHINE = "no allowed machine is up"
TEAM_LIMIT_REACHED = "the team's limit is used up"
MAX_BACKOFF_S = 64.0
FAILING_EVERYWHERE = "its tasks fail on every machine: one is tried now and then"


class Scheduler:
    """Assigns pending tasks to machines, and evicts other tasks for them where the placers decide to."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        machine_manager: MachineManager,
        state_writer: StateWriter,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self.state_writer = state_writer
        #: Largest rank (lowest priority) that the high-priority placer handles; rank 0 is the highest priority.
        self.max_high_priority_rank = PRIORITY_RANK[context.operator_settings.priority_line]
        self.candidate_cache = CandidateCache(
            context, membership, machine_manager, state_writer, self.max_high_priority_rank
        )
        self.machine_allowed = self.candidate_cache.machine_allowed
        high_priority_placer = HighPriorityPlacer(
            context.operator_settings.offer_top, context.operator_settings.spot_avoiding
        )
        self.selector = MachineSelector(high_priority_placer, LowPriorityPlacer(), self.max_high_priority_rank)
        self.ordering = JobOrdering(context)
        #: The pending jobs of all teams in scheduling order.
        self.pending = PendingQueue(context.cluster_state, self.ordering, context.policy_engine)
        self.evictor = Evictor(context, membership, self.candidate_cache, self.selector)
        self.placement_writer = PlacementWriter(context, self.candidate_cache)
        #: By job id: the number of the last round that tried to place the job, and why it still waits. For a job that
        #: later rounds skipped, the reason for which its subqueue was closed is newer.
        self.wait_reasons: dict[str, tuple[int, str]] = {}
        #: Why some tasks of the current job could not be placed, if that may affect other jobs of its subqueue; else
        #: empty.
        self._unplaced_reason = ""
        #: Tiers of teams and classes in this round, and the function that returns the current ones. None: no tiers.
        self._tiers: AdmissionTiers | None = None
        self.current_tiers: Callable[[], AdmissionTiers | None] | None = None
        self.gang_scheduler = GangScheduler(
            context,
            state_writer,
            self.candidate_cache,
            self.selector,
            self.evictor,
            self.placement_writer,
            self.set_wait_reason,
        )
        #: By job id, task number and attempt: time of the monotonic clock at which a failed task may start again.
        self._retry_times: dict[tuple[str, int, int], timedelta] = {}
        #: By id of a job whose tasks fail on every machine: trial starts since that was detected, and the time of the
        #: monotonic clock from which the next is due.
        self._probes: dict[str, tuple[int, timedelta]] = {}
        self.unschedulable_cache = UnschedulableCache(self.candidate_cache, self.max_high_priority_rank)
        #: Cores on machines with high-priority tasks that low-priority tasks may still take in this round.
        self._headroom_cpus = 0.0
        state_writer.composers.append(self.evictor.drain)
        state_writer.composers.append(self.evictor.stop_incomplete_gangs)
        state_writer.composers.append(self.place)
        state_writer.composers.append(self.evictor.migrate_services)

    def infeasible_reason(self, spec: JobSpec) -> str | None | bool:
        """Return why a job's tasks fit no machine type; None if they fit one, False if the types are not known yet."""
        if not self.types:
            return False
        for machine_type in self.types.values():
            if self.candidate_cache.is_suitable_type(spec, machine_type) and (
                spec.zone is None or spec.zone in machine_type.zones
            ):
                return None
        return "a task fits no allowed machine type"

    @property
    def types(self) -> dict[str, MachineType]:
        """The machine types that the cloud offers, by name."""
        return self.candidate_cache.machine_types

    def zone_counts_and_cap(self, job: Job) -> tuple[dict[str, int], int]:
        """Return the number of the job's tasks in each zone, and the maximum number in any zone."""
        return zone_counts_and_cap(self.cluster_state, job)

    def place(self, txn: TransactionBuilder) -> None:
        """Run a scheduling round: place the pending tasks of the teams whose home controller is this one.

        The round covers the pending jobs of all home controllers in one order, but only this controller's placements
        are written; for the jobs of others it reserves the capacity that they are about to use. Before that, two home
        controllers placed tasks on the same capacity, and capacity freed by an eviction went to another task outside
        its team's guarantee, which was evicted in turn.
        """
        context = self.context
        if len(self.wait_reasons) > 2 * len(self.cluster_state.queued_jobs) + 100:
            for job_id in [job_id for job_id in self.wait_reasons if job_id not in self.cluster_state.queued_jobs]:
                del self.wait_reasons[job_id]
        self.state_writer.queued_job_count = 0
        if not self._has_tasks_to_place():
            if len(self.cluster_state.dirty_jobs) > MAX_UNPROCESSED_CHANGES:
                self.pending.refresh(context.wall_time.timestamp())  # else ids of finished jobs would accumulate
            return
        self.pending.refresh(context.wall_time.timestamp())
        self.state_writer.queued_job_count = len(self.pending)
        self.candidate_cache.refresh(self.cluster_state.guaranteed_job_ids())
        self.unschedulable_cache.clear()
        self._headroom_cpus = self.low_priority_headroom()
        remaining_placements = MAX_PLACEMENTS_PER_ROUND
        self._tiers, round_ = self.start_round()
        for job, subqueue in round_:
            if self.is_held(job):
                continue
            max_starts = self.start_limit(job, subqueue)
            if max_starts == 0:
                continue
            home = self.membership.job_home(job.spec) or ""
            place = self.gang_scheduler.place if job.spec.kind is JobKind.GANG else self._place_job
            self._unplaced_reason = ""
            max_placements = remaining_placements if max_starts is None else min(max_starts, remaining_placements)
            placed = place(txn, job, subqueue.uses_guarantee, home, max_placements)
            remaining_placements -= placed
            if max_starts is not None:
                self._note_limited_start(job, placed, max_placements)
            if self._tiers is not None:
                self._tiers.add_tentative_cpus(subqueue.group, placed * job.spec.cpus)
            # Nothing more can be written once the transaction is full; the next round starts from the first job again.
            if remaining_placements <= 0 or not txn.has_room(1, 0):
                break
            boosted = (
                self._tiers is not None and self._tiers.tier_of(subqueue.group, subqueue.uses_guarantee) == BOOSTED
            )
            if self._unplaced_reason == NO_CAPACITY and (boosted or subqueue.overdue):
                self.unschedulable_cache.reserve_machine(job, self.cluster_state.workload.smallest_task_cpus())
            if self._unplaced_reason:
                self._close_if_unschedulable(round_, subqueue, job, txn)

    def start_round(self) -> tuple[AdmissionTiers | None, SchedulingRound]:
        """Begin a round over all pending jobs, ordered by the current tiers; the queue must have been refreshed."""
        tiers = None if self.current_tiers is None else self.current_tiers()
        if tiers is None:
            return None, self.pending.start_round()
        # Jobs of a group above its share may be deferred, but not once they are overdue.
        return tiers, self.pending.start_round(
            lambda subqueue: min(
                tiers.tier_of(subqueue.group, subqueue.uses_guarantee), NORMAL if subqueue.overdue else DEFERRED
            )
        )

    def _has_tasks_to_place(self) -> bool:
        """Whether this controller has any pending task to place."""
        own_name = self.context.name
        return any(
            demand.queued_jobs and self.membership.home(team) == own_name
            for team, demand in self.cluster_state.workload.teams.items()
        )

    def _close_if_unschedulable(
        self, round_: SchedulingRound, subqueue: SubQueue, job: Job, txn: TransactionBuilder
    ) -> None:
        """Close the subqueue of a job that could not be placed in full if its smallest job can't be placed either."""
        reason = self._unplaced_reason
        if reason == TEAM_LIMIT_REACHED:
            unschedulable_for_all = txn.remaining_team_tasks(round_.smallest_job(subqueue)) <= 0
        else:
            unschedulable_for_all = reason == NO_MACHINE or round_.mark_unschedulable(subqueue, job)
        if unschedulable_for_all:
            round_.close(subqueue, reason)

    def is_held(self, job: Job) -> bool:
        """Whether a policy delays the start of the job's tasks; if so, records the reason."""
        policy_engine = self.context.policy_engine
        reason = policy_engine.hold_reason(job) if policy_engine is not None and policy_engine.has_holds() else None
        if reason is not None and self.membership.job_home(job.spec) == self.context.name:
            self.set_wait_reason(job.id, reason)
        return reason is not None

    def start_limit(self, job: Job, subqueue: SubQueue) -> int | None:
        """Return how many of a job's tasks may start now; None if only capacity and the team's limit restrict them."""
        max_starts = self._probe_limit(job)
        if max_starts is None and subqueue.overdue and job.spec.kind is not JobKind.GANG:
            max_starts = self.ordering.tasks_to_start(job)
        return max_starts

    def _probe_limit(self, job: Job) -> int | None:
        """Return how many tasks of a job that fails on every machine may start now; None for other jobs.

        Without this limit, retries of every task of a faulty array cost hundreds of starts, transactions and image
        fetches, and machines are rented for them.
        """
        if not is_faulty_job(job):
            self._probes.pop(job.id, None)
            return None
        max_starts = allowed_extra_starts(job, self.context.wall_time.timestamp())
        probes, due = self._probes.setdefault(job.id, (0, self.context.now + retry_backoff(0)))
        if len(self._probes) > 2 * len(self.cluster_state.queued_jobs) + 100:
            for job_id in [job_id for job_id in self._probes if job_id not in self.cluster_state.queued_jobs]:
                del self._probes[job_id]
        if not job.placed_count and self.context.now < due:
            max_starts = 0
        return max_starts

    def _note_limited_start(self, job: Job, placed: int, max_starts: int) -> None:
        """Update the state of a job with a start limit, after the round has tried to place its tasks."""
        if job.id in self._probes:
            if placed:
                probes = self._probes[job.id][0] + 1
                self._probes[job.id] = (probes, self.context.now + retry_backoff(probes))
            # The job does not wait for capacity, so its subqueue stays open for other jobs.
            self._unplaced_reason = ""
        if placed >= max_starts:
            self.set_wait_reason(job.id, "")

    def set_wait_reason(self, job_id: str, reason: str) -> None:
        """Record why a job waits; an empty reason means that it no longer waits."""
        if reason:
            self.wait_reasons[job_id] = (self.pending.round_number, reason)
        else:
            self.wait_reasons.pop(job_id, None)

    def low_priority_headroom(self) -> float:
        """Return the free cores on machines with high-priority tasks, less a reserve for further high-priority tasks.

        Without the reserve, low-priority tasks filled these machines, were evicted for the next services and had to
        start over.
        """
        free_cpus = high_priority_cpus = 0.0
        for candidate in self.candidate_cache.candidates.values():
            if candidate.high_priority_cpus > EPSILON:
                free_cpus += max(0.0, candidate.free_cpus)
                high_priority_cpus += candidate.high_priority_cpus
        return free_cpus - self.context.operator_settings.machine_reserve * high_priority_cpus

    def _place_job(self, txn: TransactionBuilder, job: Job, uses_guarantee: bool, home: str, max_tasks: int) -> int:
        """Place as many of a job's pending tasks as fit, at most ``max_tasks``.

        ``home`` is the job's home controller; if it is another one, capacity is only reserved. Returns how many tasks
        were placed or had capacity reserved for them.
        """
        spec = job.spec
        holds_claim = self.state_writer.holds_claim(spec.team)
        may_write = home == self.context.name and holds_claim
        max_placements = min(txn.remaining_team_tasks(job), max_tasks)
        reason = ""
        tasks_by_zone, max_per_zone = (
            zone_counts_and_cap(self.cluster_state, job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        )
        if spec.one_zone and max_per_zone < spec.tasks:
            max_placements, reason = 0, "some of its machines are not known yet"
        tiers = self._tiers
        group = (spec.team, spec.job_class)
        tier = NORMAL if tiers is None else tiers.tier_of(group, uses_guarantee)
        protected = () if tiers is None else tiers.protected_groups(group, uses_guarantee, tier)
        request = task_request(job, uses_guarantee, home, tier == DEFERRED, protected)
        is_high_priority = request.rank <= self.candidate_cache.max_high_priority_rank
        avoid_high_priority_machines = (
            not is_high_priority and not uses_guarantee and self._headroom_cpus < request.cpus
        )
        placed = evicted = 0
        full_zones = [zone for zone, count in tasks_by_zone.items() if count >= max_per_zone] if spec.spread else []
        constraints: tuple[object, ...] = (
            tuple(spec.types) if spec.types is not None else None,
            spec.zone,
            spec.spot,
            tuple(sorted(full_zones)),
            is_high_priority or uses_guarantee,
        )
        if self.context.policy_engine is not None and self.context.policy_engine.is_job_specific():
            constraints = (*constraints, job.id)  # policies may allow a machine for one job and reject it for another
        preemption_key = (*constraints, request.rank, request.uses_guarantee, request.team, tier)
        ranking: Ranking | None = None
        usable: list[Candidate] = []
        # If such requests fit into no free capacity, only machines with releasing or borrowed capacity are left.
        no_free_capacity = (
            max_placements > 0 and not spec.one_zone and self.unschedulable_cache.is_unschedulable(constraints, request)
        )
        if no_free_capacity:
            usable = self.unschedulable_cache.preemption_candidates(
                constraints, preemption_key, job, request, full_zones
            )
            ranking = Ranking(
                request,
                (),
                self.selector.high_priority_placer.sort_key
                if is_high_priority
                else self.selector.low_priority_placer.sort_key,
            )
        if no_free_capacity and not usable:
            max_placements = 0
            reason = self._unplaced_reason = NO_CAPACITY
            self.unschedulable_cache.copy_policy_rejection(constraints, job)
        for task_number in job.queued_task_numbers():
            if placed >= max_placements:
                if not reason and max_placements < max_tasks:
                    self._unplaced_reason = TEAM_LIMIT_REACHED
                reason = reason or TEAM_LIMIT_REACHED
                break
            previous = txn.task(job, task_number)
            if previous.state is not TaskState.QUEUED or not self._retry_due(job.id, task_number, previous):
                continue
            if ranking is None:
                # Tasks on unknown machines may use up the cap of every zone. Then no zone is usable, not even one
                # without a known task of the job.
                usable = self.candidate_cache.usable(job, full_zones) if max_per_zone > 0 else []
                if spec.one_zone:
                    usable = restrict_to_one_zone(usable, tasks_by_zone)
                if avoid_high_priority_machines:
                    usable = [candidate for candidate in usable if candidate.high_priority_cpus <= EPSILON]
                ranking = Ranking(
                    request,
                    usable,
                    self.selector.high_priority_placer.sort_key
                    if is_high_priority
                    else self.selector.low_priority_placer.sort_key,
                )
            offer = self.selector.select(request, ranking, usable, previous)
            if offer is None:
                if usable and not spec.one_zone and not (spec.spread and placed):
                    self.unschedulable_cache.mark_unschedulable(constraints, request)
                    self.unschedulable_cache.mark_unschedulable(preemption_key, request)
                    self.unschedulable_cache.record_policy_rejection(constraints, job)
                reason = NO_CAPACITY if usable else NO_MACHINE
                if not spec.spread or not tasks_by_zone:
                    self._unplaced_reason = reason
                break
            candidate = offer.candidate
            placed += 1
            self.candidate_cache.invalidate(candidate)
            if offer.victims:
                evicted += self._evict(txn, job, request, offer, may_write)
                reason = "waiting for evicted work to stop"
            elif not candidate.fits(request):
                reason = "waiting for evicted work to stop"
                reserve(candidate, request)
            else:
                if may_write and not self.placement_writer.write(txn, job, task_number, previous, candidate):
                    may_write, reason = False, "about to be placed"
                ranking.allocate(candidate, self.candidate_cache.max_high_priority_rank)
                if not is_high_priority and not uses_guarantee and candidate.high_priority_cpus > EPSILON:
                    self._headroom_cpus -= request.cpus
                    if self._headroom_cpus < request.cpus:
                        usable = [candidate for candidate in usable if candidate.high_priority_cpus <= EPSILON]
                        ranking.remove(lambda candidate: candidate.high_priority_cpus > EPSILON)
                candidate.add_task(
                    PlacedTask(
                        job.id,
                        task_number,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        job.priority_rank,
                        spec.team,
                        uses_guarantee,
                        1 << 40,  # later than every recorded time, since the placement has no time yet
                    )
                )
            if spec.spread:
                tasks_by_zone[candidate.zone] = tasks_by_zone.get(candidate.zone, 0) + 1
                if tasks_by_zone[candidate.zone] >= max_per_zone:
                    full_zone = candidate.zone
                    usable = [candidate for candidate in usable if candidate.zone != full_zone]
                    ranking.remove(lambda candidate, full_zone=full_zone: candidate.zone == full_zone)  # type: ignore[misc]
        if home == self.context.name:
            if not holds_claim:
                reason = reason or "about to be placed"
            if reason:
                rejection = self.candidate_cache.policy_rejections.get(job.id)
                reason = reason if rejection is None else f"{reason}; {rejection}"
            self.set_wait_reason(job.id, reason)
            if evicted:
                log.info("%s evicts %d tasks", job.id, evicted)
        return placed

    def _evict(self, txn: TransactionBuilder, job: Job, request: TaskRequest, offer: Offer, may_write: bool) -> int:
        """Stop an offer's victims and reserve their capacity for the request; return how many are stopped.

        Without ``may_write`` the victims only count as stopping in this round. The home controller of ``job`` stops
        them, in a later round if it is this one.
        """
        stopped_count = 0
        candidate = offer.candidate
        for victim in offer.victims:
            victim_job = self.cluster_state.jobs.get(victim.job_id)
            if (
                not may_write
                or victim_job is not None
                and self.evictor.stop_task_or_gang(txn, victim_job, victim.task_number, f"evicted for {job.id}")
            ):
                candidate.mark_stopping(victim)
                stopped_count += 1
        reserve(candidate, request)
        return stopped_count

    def _retry_due(self, job_id: str, task_number: int, task: TaskRecord) -> bool:
        """Whether a task may start now; after failures it is delayed with exponential backoff."""
        if not task.failures:
            return True
        key = (job_id, task_number, task.attempt)
        due = self._retry_times.get(key)
        if due is None:
            if len(self._retry_times) > 20_000:
                self._retry_times.clear()
            wait = timedelta(seconds=min(MAX_BACKOFF_S, 2.0 ** (task.failures - 1)))
            due = self._retry_times[key] = self.context.now + wait
        return self.context.now >= due

    def wait_reason(self, job: Job) -> str:
        """Return why a job waits, followed by why some of its tasks last stopped; empty if it does not wait."""
        parts = []
        if job.queued_count:
            policy_engine = self.context.policy_engine
            hold = policy_engine.hold_reason(job) if policy_engine is not None and policy_engine.has_holds() else None
            # For a job that the last rounds skipped, the reason for which its subqueue was closed is newer.
            _, reason = max(
                self.wait_reasons.get(job.id, (-1, "")), self.pending.last_close(job), key=lambda known: known[0]
            )
            failing = FAILING_EVERYWHERE if is_faulty_job(job) else ""
            parts.append(hold or failing or reason or "waiting to be placed")
            parts += job.queued_notes()
        return "; ".join(parts)
