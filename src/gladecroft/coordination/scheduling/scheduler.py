"""Runs scheduling rounds: applies the two placers to all pending jobs and writes the placements into transactions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.admission.tiers import BOOSTED, DEFERRED, NORMAL, PriorityTiers
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.machines import MachineManager
from gladecroft.coordination.machines.fault_attribution import allowed_extra_starts, is_faulty_job, retry_backoff
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.evictor import Evictor
from gladecroft.coordination.scheduling.gang_scheduler import GangScheduler
from gladecroft.coordination.scheduling.infeasible_cache import InfeasibleCache
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
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.protocol.wire import PRIORITY_RANK, JobKind, JobSpec, MachineType

log = logging.getLogger(__name__)

MAX_PLACEMENTS_PER_ROUND = 400
#: A controller without tasks to place updates its queue only once this many jobs have changed.
MAX_UNPROCESSED_CHANGES = 1000
NO_CAPACITY = "no machine has room"
NO_MACHINE = "no allowed machine is up"
TEAM_LIMIT_REACHED = "the team's limit is used up"
MAX_BACKOFF_S = 64.0
FAILING_EVERYWHERE = "its tasks fail on every machine: one is tried now and then"


class Scheduler:
    """Assigns pending tasks to machines, and evicts tasks where the placers decide so."""

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
        self.priority_line = PRIORITY_RANK[context.operator_settings.priority_line]
        self.candidate_cache = CandidateCache(context, membership, machine_manager, state_writer, self.priority_line)
        self.machine_allowed = self.candidate_cache.machine_allowed
        high_priority = HighPriorityPlacer(context.operator_settings.offer_top, context.operator_settings.spot_avoiding)
        self.selector = MachineSelector(high_priority, LowPriorityPlacer(), self.priority_line)
        self.ordering = JobOrdering(context)
        #: All pending jobs in scheduling order.
        self.pending = PendingQueue(context.cluster_state, self.ordering, context.policy_engine)
        self.evictor = Evictor(context, membership, self.candidate_cache, self.selector)
        self.writer = PlacementWriter(context, self.candidate_cache)
        #: By job: the last round that visited it, and why it waits. For jobs not visited the subqueue's reason holds.
        self.wait_reasons: dict[str, tuple[int, str]] = {}
        #: Why the current job could not be placed whole, if that may hold for others of its subqueue; else empty.
        self._unplaced_reason = ""
        #: Tiers of teams and classes in this round, and the function that gives them; None if there are none.
        self._tiers: PriorityTiers | None = None
        self.current_tiers: Callable[[], PriorityTiers | None] | None = None
        self.gang_scheduler = GangScheduler(
            context, state_writer, self.candidate_cache, self.selector, self.evictor, self.writer, self.set_wait_reason
        )
        #: By job, task and attempt: when a failed task may start again.
        self._retry_times: dict[tuple[str, int, int], timedelta] = {}
        #: By job whose tasks fail on every machine: trial starts since that was detected, and when the next is due.
        self._probes: dict[str, tuple[int, timedelta]] = {}
        self.infeasible = InfeasibleCache(self.candidate_cache, self.priority_line)
        #: Cores on machines with high-priority tasks that low-priority tasks may still take in this round.
        self._headroom_cpus = 0.0
        state_writer.composers.append(self.evictor.drain)
        state_writer.composers.append(self.evictor.stop_incomplete_gangs)
        state_writer.composers.append(self.place)
        state_writer.composers.append(self.evictor.migrate_services)

    def infeasible_reason(self, spec: JobSpec) -> str | None | bool:
        """Return why no machine type holds a task of a job; None if one does, False if the types are not known yet."""
        if not self.types:
            return False
        for machine_type in self.types.values():
            if self.candidate_cache.type_allowed(spec, machine_type) and (
                spec.zone is None or spec.zone in machine_type.zones
            ):
                return None
        return "a task fits no allowed machine type"

    @property
    def types(self) -> dict[str, MachineType]:
        """The machine types that the cloud offers, by name."""
        return self.candidate_cache.machine_types

    def zone_counts_and_cap(self, job: Job) -> tuple[dict[str, int], int]:
        """Return the number of the job's tasks in each zone, and the most that any zone may hold."""
        return zone_counts_and_cap(self.cluster_state, job)

    def place(self, txn: TransactionBuilder) -> None:
        """Run a scheduling round: place the pending tasks of the teams that this controller is home to.

        The plan covers the pending jobs of all home controllers in one order, but only this controller's placements
        are written, so that capacity which others are about to use is left to them. Otherwise two home controllers
        placed tasks on the same capacity, and capacity freed by an eviction went to another borrower that was evicted
        in turn.
        """
        context = self.context
        if len(self.wait_reasons) > 2 * len(self.cluster_state.queued_jobs) + 100:
            for job_id in [job_id for job_id in self.wait_reasons if job_id not in self.cluster_state.queued_jobs]:
                del self.wait_reasons[job_id]
        self.state_writer.waiting_jobs = 0
        if not self._has_tasks_to_place():
            if len(self.cluster_state.dirty_jobs) > MAX_UNPROCESSED_CHANGES:
                self.pending.refresh(context.wall_time.timestamp())  # else the ids of all past jobs would pile up
            return
        self.pending.refresh(context.wall_time.timestamp())
        self.state_writer.waiting_jobs = len(self.pending)
        self.candidate_cache.refresh(self.cluster_state.guaranteed_jobs())
        self.infeasible.clear()
        self._headroom_cpus = self.low_priority_headroom()
        max_tasks = MAX_PLACEMENTS_PER_ROUND
        self._tiers, round_ = self.start_round()
        for job, subqueue in round_:
            if self.is_held(job):
                continue
            limit = self.start_limit(job, subqueue)
            if limit == 0:
                continue
            home = self.membership.job_home(job.spec) or ""
            place = self.gang_scheduler.place if job.spec.kind is JobKind.GANG else self._place_job
            self._unplaced_reason = ""
            max_now = max_tasks if limit is None else min(limit, max_tasks)
            placed = place(txn, job, subqueue.uses_guarantee, home, max_now)
            max_tasks -= placed
            if limit is not None:
                self._note_limited_start(job, placed, max_now)
            if self._tiers is not None:
                self._tiers.add_planned(subqueue.group, placed * job.spec.cpus)
            # Once the transaction is full nothing more can be written; the next round plans again.
            if max_tasks <= 0 or not txn.has_room(1, 0):
                break
            boosted = (
                self._tiers is not None and self._tiers.tier_of(subqueue.group, subqueue.uses_guarantee) == BOOSTED
            )
            if self._unplaced_reason == NO_CAPACITY and (boosted or subqueue.overdue):
                self.infeasible.reserve_machine(job, self.cluster_state.workload.smallest_task_cpus())
            if self._unplaced_reason:
                self._close_if_infeasible(round_, subqueue, job, txn)

    def start_round(self) -> tuple[PriorityTiers | None, SchedulingRound]:
        """Begin a round over all pending jobs, ordered by the current tiers; the queue must have been refreshed."""
        tiers = None if self.current_tiers is None else self.current_tiers()
        if tiers is None:
            return None, self.pending.start_round()
        # A job may be delayed for exceeding its share, but not beyond the deadline for its start.
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

    def _close_if_infeasible(
        self, round_: SchedulingRound, subqueue: SubQueue, job: Job, txn: TransactionBuilder
    ) -> None:
        """After a job that could not be placed whole, close its subqueue if its smallest job can't be placed either."""
        reason = self._unplaced_reason
        if reason == TEAM_LIMIT_REACHED:
            infeasible_for_all = txn.remaining_team_tasks(round_.smallest_job(subqueue)) <= 0
        else:
            infeasible_for_all = reason == NO_MACHINE or round_.mark_infeasible(subqueue, job)
        if infeasible_for_all:
            round_.close(subqueue, reason)

    def is_held(self, job: Job) -> bool:
        """Whether a policy delays the start of the job's tasks; if so, records the reason."""
        policy_engine = self.context.policy_engine
        reason = policy_engine.hold_reason(job) if policy_engine is not None and policy_engine.has_holds() else None
        if reason is not None and self.membership.job_home(job.spec) == self.context.name:
            self.set_wait_reason(job.id, reason)
        return reason is not None

    def start_limit(self, job: Job, subqueue: SubQueue) -> int | None:
        """Return how many of a job's tasks may start now; None if only capacity limits them."""
        limit = self._probe_limit(job)
        if limit is None and subqueue.overdue and job.spec.kind is not JobKind.GANG:
            limit = self.ordering.tasks_to_start(job)
        return limit

    def _probe_limit(self, job: Job) -> int | None:
        """Return how many tasks of a job that fails on every machine may start now; None for other jobs.

        If every task of a faulty array is retried by itself, that costs hundreds of starts, transactions and image
        fetches, and machines are rented for it.
        """
        if not is_faulty_job(job):
            self._probes.pop(job.id, None)
            return None
        limit = allowed_extra_starts(job, self.context.wall_time.timestamp())
        probes, due = self._probes.setdefault(job.id, (0, self.context.now + retry_backoff(0)))
        if len(self._probes) > 2 * len(self.cluster_state.queued_jobs) + 100:
            for job_id in [job_id for job_id in self._probes if job_id not in self.cluster_state.queued_jobs]:
                del self._probes[job_id]
        if not job.placed_count and self.context.now < due:
            limit = 0
        return limit

    def _note_limited_start(self, job: Job, placed: int, limit: int) -> None:
        """Update the state of a job that has a start limit, after the round has visited it."""
        if job.id in self._probes:
            if placed:
                probes = self._probes[job.id][0] + 1
                self._probes[job.id] = (probes, self.context.now + retry_backoff(probes))
            # Its tasks do not wait for capacity, so the subqueue stays open for other jobs.
            self._unplaced_reason = ""
        if placed >= limit:
            self.set_wait_reason(job.id, "")

    def set_wait_reason(self, job: str, reason: str) -> None:
        """Record why a job waits; an empty reason says that it no longer does."""
        if reason:
            self.wait_reasons[job] = (self.pending.rounds, reason)
        else:
            self.wait_reasons.pop(job, None)

    def low_priority_headroom(self) -> float:
        """Return the free cores on machines with high-priority tasks, less a reserve for further such tasks.

        Without the reserve, low-priority tasks filled these machines, were evicted for the next services and had to
        start over.
        """
        free_cpus = high_priority_cpus = 0.0
        for candidate in self.candidate_cache.candidates.values():
            if candidate.high_priority_cpus > EPSILON:
                free_cpus += max(0.0, candidate.free_cpus)
                high_priority_cpus += candidate.high_priority_cpus
        return free_cpus - self.context.operator_settings.machine_reserve * high_priority_cpus

    def _place_job(self, txn: TransactionBuilder, job: Job, guaranteed: bool, home: str, max_tasks: int) -> int:
        """Place as many of a job's pending tasks as fit; for another home controller's job only reserve the capacity.

        Returns how many tasks were placed or had capacity reserved for them.
        """
        spec = job.spec
        claimed = self.state_writer.holds_claim(spec.team)
        may_write = home == self.context.name and claimed
        max_placements = min(txn.remaining_team_tasks(job), max_tasks)
        reason = ""
        zones, cap = zone_counts_and_cap(self.cluster_state, job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        if spec.one_zone and cap < spec.tasks:
            max_placements, reason = 0, "some of its machines are not known yet"
        tiers = self._tiers
        group = (spec.team, spec.job_class)
        tier = NORMAL if tiers is None else tiers.tier_of(group, guaranteed)
        protected = () if tiers is None else tiers.protected_groups(group, guaranteed, tier)
        request = task_request(job, guaranteed, home, tier == DEFERRED, protected)
        high_priority = request.rank <= self.candidate_cache.priority_line
        excluded = not high_priority and not guaranteed and self._headroom_cpus < request.cpus
        placed = evicted = 0
        full_zones = [zone for zone, count in zones.items() if count >= cap] if spec.spread else []
        constraints: tuple[object, ...] = (
            tuple(spec.types) if spec.types is not None else None,
            spec.zone,
            spec.spot,
            tuple(sorted(full_zones)),
            high_priority or guaranteed,
        )
        if self.context.policy_engine is not None and self.context.policy_engine.is_job_specific():
            constraints = (*constraints, job.id)  # policies may allow one job a machine that they refuse to another
        preemption_key = (*constraints, request.rank, request.guaranteed, request.team, tier)
        ranking: Ranking | None = None
        usable: list[Candidate] = []
        # If no free capacity is left for such requests, only machines with releasing or borrowed capacity can serve.
        nothing_free = max_placements > 0 and not spec.one_zone and self.infeasible.is_infeasible(constraints, request)
        if nothing_free:
            usable = self.infeasible.preemption_candidates(constraints, preemption_key, job, request, full_zones)
            ranking = Ranking(
                request,
                (),
                self.selector.high_priority.sort_key if high_priority else self.selector.low_priority.sort_key,
            )
        if nothing_free and not usable:
            max_placements = 0
            reason = self._unplaced_reason = NO_CAPACITY
            self.infeasible.copy_refusal(constraints, job)
        for number in job.queued_numbers():
            if placed >= max_placements:
                if not reason and max_placements < max_tasks:
                    self._unplaced_reason = TEAM_LIMIT_REACHED
                reason = reason or TEAM_LIMIT_REACHED
                break
            previous = txn.task(job, number)
            if previous.state is not TaskState.QUEUED or not self._retry_due(job.id, number, previous):
                continue
            if ranking is None:
                # Tasks on unknown machines may use up the cap of every zone; then no zone is open, not even one that
                # holds no known task of the job.
                usable = self.candidate_cache.usable(job, full_zones) if cap > 0 else []
                if spec.one_zone:
                    usable = restrict_to_one_zone(usable, zones)
                if excluded:
                    usable = [candidate for candidate in usable if candidate.high_priority_cpus <= EPSILON]
                ranking = Ranking(
                    request,
                    usable,
                    self.selector.high_priority.sort_key if high_priority else self.selector.low_priority.sort_key,
                )
            offer = self.selector.select(request, ranking, usable, previous)
            if offer is None:
                if usable and not spec.one_zone and not (spec.spread and placed):
                    self.infeasible.mark_infeasible(constraints, request)
                    self.infeasible.mark_infeasible(preemption_key, request)
                    self.infeasible.record_refusal(constraints, job)
                reason = NO_CAPACITY if usable else NO_MACHINE
                if not spec.spread or not zones:
                    self._unplaced_reason = reason
                break
            candidate = offer.candidate
            placed += 1
            self.candidate_cache.mark_planned(candidate)
            if offer.victims:
                evicted += self._evict(txn, job, request, offer, may_write)
                reason = "waiting for evicted work to stop"
            elif not candidate.fits(request):
                reason = "waiting for evicted work to stop"
                reserve(candidate, request)
            else:
                if may_write and not self.writer.write(txn, job, number, previous, candidate):
                    may_write, reason = False, "about to be placed"
                ranking.allocate(candidate, self.candidate_cache.priority_line)
                if not high_priority and not guaranteed and candidate.high_priority_cpus > EPSILON:
                    self._headroom_cpus -= request.cpus
                    if self._headroom_cpus < request.cpus:
                        usable = [candidate for candidate in usable if candidate.high_priority_cpus <= EPSILON]
                        ranking.remove(lambda candidate: candidate.high_priority_cpus > EPSILON)
                candidate.add_task(
                    PlacedTask(
                        job.id,
                        number,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        job.priority_rank,
                        spec.team,
                        guaranteed,
                        1 << 40,
                    )
                )
            if spec.spread:
                zones[candidate.zone] = zones.get(candidate.zone, 0) + 1
                if zones[candidate.zone] >= cap:
                    full_zone = candidate.zone
                    usable = [candidate for candidate in usable if candidate.zone != full_zone]
                    ranking.remove(lambda candidate, full_zone=full_zone: candidate.zone == full_zone)  # type: ignore[misc]
        if home == self.context.name:
            if not claimed:
                reason = reason or "about to be placed"
            if reason:
                refusal = self.candidate_cache.refusals.get(job.id)
                reason = reason if refusal is None else f"{reason}; {refusal}"
            self.set_wait_reason(job.id, reason)
            if evicted:
                log.info("%s evicts %d tasks", job.id, evicted)
        return placed

    def _evict(self, txn: TransactionBuilder, job: Job, request: TaskRequest, offer: Offer, may_write: bool) -> int:
        """Stop an offer's victims, or only plan it if another home controller will; return how many."""
        count = 0
        candidate = offer.candidate
        for victim in offer.victims:
            other = self.cluster_state.jobs.get(victim.job)
            if (
                not may_write
                or other is not None
                and self.evictor.stop_task_or_gang(txn, other, victim.number, f"evicted for {job.id}")
            ):
                candidate.mark_stopping(victim)
                count += 1
        reserve(candidate, request)
        return count

    def _retry_due(self, job: str, number: int, task: TaskRecord) -> bool:
        """Whether a task may start now; after failures it waits with exponential backoff."""
        if not task.failures:
            return True
        key = (job, number, task.attempt)
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
            # The subqueue's reason is newer for a job that the last rounds have skipped.
            _, reason = max(
                self.wait_reasons.get(job.id, (-1, "")), self.pending.last_close(job), key=lambda known: known[0]
            )
            failing = FAILING_EVERYWHERE if is_faulty_job(job) else ""
            parts.append(hold or failing or reason or "waiting to be placed")
            parts += job.queued_notes()
        return "; ".join(parts)
