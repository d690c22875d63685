"""Runs the two placers over the picture and works their choices into transactions."""

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
    TINY,
    Candidate,
    HighPriorityPlacer,
    LowPriorityPlacer,
    Offer,
    PlacedTask,
    Ranking,
    TaskRequest,
)
from gladecroft.coordination.scheduling.placement_writer import PlacementWriter
from gladecroft.coordination.scheduling.selection import MachineSelector, claim, need_of, one_zone, zone_room
from gladecroft.coordination.state_writer import StateWriter
from gladecroft.protocol.wire import PRIORITY_RANK, JobKind, JobSpec, MachineType

log = logging.getLogger(__name__)

MOST_PER_ROUND = 400
#: A controller that places nothing itself takes notice of changed jobs only when there are so many.
MANY_MOVED = 1000
NO_ROOM = "no machine has room"
NO_MACHINE = "no allowed machine is up"
LIMIT = "the team's limit is used up"
BACK_OFF_MOST = 64.0
FAILING = "its tasks fail on every machine: one is tried now and then"


class Scheduler:
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
        self.machine_allowed = self.candidate_cache.allowed
        high = HighPriorityPlacer(context.operator_settings.offer_top, context.operator_settings.spot_avoiding)
        self.chooser = MachineSelector(high, LowPriorityPlacer(), self.priority_line)
        self.ordering = JobOrdering(context)
        #: All waiting work in the order in which it is planned.
        self.pending = PendingQueue(context.cluster_state, self.ordering, context.panel)
        self.stops = Evictor(context, membership, self.candidate_cache, self.chooser)
        self.writer = PlacementWriter(context, self.candidate_cache)
        #: Why jobs wait that a round has gone through, and the round. Of the others their row tells.
        self.waits: dict[str, tuple[int, str]] = {}
        self._short = ""
        #: What is agreed for this round, if anything is, and where that is known.
        self._tiers: PriorityTiers | None = None
        self.current_tiers: Callable[[], PriorityTiers | None] | None = None
        self.gangs = GangScheduler(
            context, state_writer, self.candidate_cache, self.chooser, self.stops, self.writer, self.wait
        )
        self._retry: dict[tuple[str, int, int], timedelta] = {}
        #: Of jobs whose tasks fail on every machine: how many tries there were since that was seen, and when the next
        #: is due.
        self._tries: dict[str, tuple[int, timedelta]] = {}
        self.shortage = InfeasibleCache(self.candidate_cache, self.priority_line)
        #: Cores on machines with high-priority work that low-priority work may still take in this round.
        self._spare = 0.0
        state_writer.composers.append(self.stops.drain)
        state_writer.composers.append(self.stops.mend_gangs)
        state_writer.composers.append(self.place)
        state_writer.composers.append(self.stops.move)

    def infeasible_reason(self, spec: JobSpec) -> str | None | bool:
        """None if some machine type takes a task; why not; False if the types are not known yet."""
        if not self.types:
            return False
        for kind in self.types.values():
            if self.candidate_cache.type_allowed(spec, kind) and (spec.zone is None or spec.zone in kind.zones):
                return None
        return "a task fits no allowed machine type"

    @property
    def types(self) -> dict[str, MachineType]:
        return self.candidate_cache.types

    def zone_counts_and_cap(self, job: Job) -> tuple[dict[str, int], int]:
        """How many of the job's tasks are in each zone, and how many may be."""
        return zone_room(self.cluster_state, job)

    def place(self, txn: TransactionBuilder) -> None:
        """Place our waiting tasks.

        The plan is made for all waiting work in one order, other homes' too, and only our part of it is carried
        out: what others are about to take is left to them. Without this two homes took the same room, and room freed
        by an eviction went to the next borrower, who was evicted again.
        """
        context = self.context
        if len(self.waits) > 2 * len(self.cluster_state.queued_jobs) + 100:
            for name in [name for name in self.waits if name not in self.cluster_state.queued_jobs]:
                del self.waits[name]
        self.state_writer.waiting_jobs = 0
        if not self._any_of_ours():
            if len(self.cluster_state.dirty_jobs) > MANY_MOVED:
                self.pending.refresh(
                    context.wall_time.timestamp()
                )  # else the names of all jobs that ever were would be kept
            return
        self.pending.refresh(context.wall_time.timestamp())
        self.state_writer.waiting_jobs = len(self.pending)
        self.candidate_cache.refresh(self.cluster_state.guaranteed_jobs())
        self.shortage.clear()
        self._spare = self.low_priority_headroom()
        most = MOST_PER_ROUND
        self._tiers, round_ = self.start_round()
        for job, row in round_:
            if self.is_held(job):
                continue
            few = self.start_limit(job, row)
            if few == 0:
                continue
            home = self.membership.job_home(job.spec) or ""
            place = self.gangs.place if job.spec.kind is JobKind.GANG else self._place_job
            self._short = ""
            most_now = most if few is None else min(few, most)
            taken = place(txn, job, row.uses_guarantee, home, most_now)
            most -= taken
            if few is not None:
                self._took_few(job, taken, most_now)
            if self._tiers is not None:
                self._tiers.add_planned(row.group, taken * job.spec.cpus)
            # Once the transaction is full there is nothing more to carry out; the next round plans anew.
            if most <= 0 or not txn.has_room(1, 0):
                break
            first = self._tiers is not None and self._tiers.tier_of(row.group, row.uses_guarantee) == BOOSTED
            if self._short == NO_ROOM and (first or row.overdue):
                self.shortage.set_aside(job, self.cluster_state.workload.smallest_task_cpus())
            if self._short:
                self._give_up(round_, row, job, txn)

    def start_round(self) -> tuple[PriorityTiers | None, SchedulingRound]:
        """A round through all that waits, in the order that is agreed; ``Lineup.refresh`` comes before it."""
        tiers = None if self.current_tiers is None else self.current_tiers()
        if tiers is None:
            return None, self.pending.round()
        # Having more than its share is no reason why a job should not begin for minutes.
        return tiers, self.pending.round(
            lambda row: min(tiers.tier_of(row.group, row.uses_guarantee), NORMAL if row.overdue else DEFERRED)
        )

    def _any_of_ours(self) -> bool:
        """Whether any waiting task is ours to place."""
        me = self.context.name
        return any(
            waits.queued_jobs and self.membership.home(team) == me
            for team, waits in self.cluster_state.workload.teams.items()
        )

    def _give_up(self, round_: SchedulingRound, row: SubQueue, job: Job, txn: TransactionBuilder) -> None:
        """A job could not be placed whole: close its row if that goes for the smallest in it too."""
        why = self._short
        if why == LIMIT:
            whole = txn.remaining_team_tasks(round_.smallest(row)) <= 0
        else:
            whole = why == NO_MACHINE or round_.mark_infeasible(row, job)
        if whole:
            round_.close(row, why)

    def is_held(self, job: Job) -> bool:
        """Whether a policy says that the job's tasks may not start yet."""
        panel = self.context.panel
        why = panel.hold(job) if panel is not None and panel.holds() else None
        if why is not None and self.membership.job_home(job.spec) == self.context.name:
            self.wait(job.id, why)
        return why is not None

    def start_limit(self, job: Job, row: SubQueue) -> int | None:
        """How many of a job's tasks may start now; None: as many as there is room for."""
        few = self._failing(job)
        if few is None and row.overdue and job.spec.kind is not JobKind.GANG:
            few = self.ordering.to_begin(job)
        return few

    def _failing(self, job: Job) -> int | None:
        """How many of a job's tasks may start now if they fail on every machine; None: they don't.

        Started again each by itself, the tasks of one array that was submitted with a mistake took hundreds of starts,
        changes and fetches of images, and machines were rented for them.
        """
        if not is_faulty_job(job):
            self._tries.pop(job.id, None)
            return None
        few = allowed_extra_starts(job, self.context.wall_time.timestamp())
        tries, due = self._tries.setdefault(job.id, (0, self.context.now + retry_backoff(0)))
        if len(self._tries) > 2 * len(self.cluster_state.queued_jobs) + 100:
            for name in [name for name in self._tries if name not in self.cluster_state.queued_jobs]:
                del self._tries[name]
        if not job.placed_count and self.context.now < due:
            few = 0
        return few

    def _took_few(self, job: Job, taken: int, few: int) -> None:
        """A job of which only a few tasks may start has been looked at."""
        if job.id in self._tries:
            if taken:
                tries = self._tries[job.id][0] + 1
                self._tries[job.id] = (tries, self.context.now + retry_backoff(tries))
            # Its tasks do not wait for room, so its row is not closed for others.
            self._short = ""
        if taken >= few:
            self.wait(job.id, "")

    def wait(self, job: str, why: str) -> None:
        """Note why a job waits; empty: it does no more."""
        if why:
            self.waits[job] = (self.pending.rounds, why)
        else:
            self.waits.pop(job, None)

    def low_priority_headroom(self) -> float:
        """What is free on machines with high-priority work, less a reserve for more of that.

        Low-priority work that filled these machines was evicted again by the next services, and began anew.
        """
        free = held = 0.0
        for slot in self.candidate_cache.candidates.values():
            if slot.high_priority_cpus > TINY:
                free += max(0.0, slot.free_cpus)
                held += slot.high_priority_cpus
        return free - self.context.operator_settings.machine_reserve * held

    def _place_job(self, txn: TransactionBuilder, job: Job, inside: bool, home: str, most: int) -> int:
        """Place one job's waiting tasks as far as they go, or only set the room aside if it is another home's job."""
        spec = job.spec
        claimed = self.state_writer.holds_claim(spec.team)
        ours = home == self.context.name and claimed
        room = min(txn.remaining_team_tasks(job), most)
        why = ""
        zones, cap = zone_room(self.cluster_state, job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        if spec.one_zone and cap < spec.tasks:
            room, why = 0, "some of its machines are not known yet"
        tiers = self._tiers
        group = (spec.team, spec.job_class)
        tier = NORMAL if tiers is None else tiers.tier_of(group, inside)
        spared = () if tiers is None else tiers.protected_groups(group, inside, tier)
        need = need_of(job, inside, home, tier == DEFERRED, spared)
        high = need.rank <= self.candidate_cache.line
        kept_out = not high and not inside and self._spare < need.cpus
        taken = evicted = 0
        closed = [zone for zone, count in zones.items() if count >= cap] if spec.spread else []
        where: tuple[object, ...] = (
            tuple(spec.types) if spec.types is not None else None,
            spec.zone,
            spec.spot,
            # Zones that are full for this job are not looked at.
            tuple(sorted(closed)),
            high or inside,
        )
        if self.context.panel is not None and self.context.panel.by_job():
            where = (*where, job.id)  # what is no room for one job may be room for another
        push = (*where, need.rank, need.guaranteed, need.team, tier)
        ranking: Ranking | None = None
        usable: list[Candidate] = []
        # Where nothing is free only what comes up or may be pushed away is looked at.
        nothing_free = room > 0 and not spec.one_zone and self.shortage.of(where, need)
        if nothing_free:
            usable = self.shortage.to_push(where, push, job, need, closed)
            ranking = Ranking(need, (), self.chooser.high.sort_key if high else self.chooser.low.sort_key)
        if nothing_free and not usable:
            room = 0
            why = self._short = NO_ROOM
            self.shortage.tell_why(where, job)
        for number in job.queued_numbers():
            if taken >= room:
                if not why and room < most:
                    self._short = LIMIT
                why = why or LIMIT
                break
            before = txn.task(job, number)
            if before.state is not TaskState.QUEUED or not self._due(job.id, number, before):
                continue
            if ranking is None:
                # Tasks on machines that are not known may take up all that any zone may have: then it is closed though
                # none of the job's tasks is known to be there.
                usable = self.candidate_cache.usable(job, closed) if cap > 0 else []
                if spec.one_zone:
                    usable = one_zone(usable, zones)
                if kept_out:
                    usable = [slot for slot in usable if slot.high_priority_cpus <= TINY]
                ranking = Ranking(need, usable, self.chooser.high.sort_key if high else self.chooser.low.sort_key)
            offer = self.chooser.choose(need, ranking, usable, before)
            if offer is None:
                if usable and not spec.one_zone and not (spec.spread and taken):
                    self.shortage.note(where, need)
                    self.shortage.note(push, need)
                    self.shortage.note_why(where, job)
                why = NO_ROOM if usable else NO_MACHINE
                if not spec.spread or not zones:
                    self._short = why
                break
            slot = offer.slot
            taken += 1
            self.candidate_cache.plan_on(slot)
            if offer.victims:
                evicted += self._evict(txn, job, need, offer, ours)
                why = "waiting for evicted work to stop"
            elif not slot.fits(need):
                why = "waiting for evicted work to stop"
                claim(slot, need)
            else:
                if ours and not self.writer.put(txn, job, number, before, slot):
                    ours, why = False, "about to be placed"
                ranking.take(slot, self.candidate_cache.line)
                if not high and not inside and slot.high_priority_cpus > TINY:
                    self._spare -= need.cpus
                    if self._spare < need.cpus:
                        usable = [slot for slot in usable if slot.high_priority_cpus <= TINY]
                        ranking.drop(lambda slot: slot.high_priority_cpus > TINY)
                slot.add(
                    PlacedTask(
                        job.id,
                        number,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        job.priority_rank,
                        spec.team,
                        inside,
                        1 << 40,
                    )
                )
            if spec.spread:
                zones[slot.zone] = zones.get(slot.zone, 0) + 1
                if zones[slot.zone] >= cap:
                    full = slot.zone
                    usable = [slot for slot in usable if slot.zone != full]
                    ranking.drop(lambda slot, full=full: slot.zone == full)  # type: ignore[misc]
        if home == self.context.name:
            if not claimed:
                why = why or "about to be placed"
            if why:
                refusal = self.candidate_cache.refusals.get(job.id)
                why = why if refusal is None else f"{why}; {refusal}"
            self.wait(job.id, why)
            if evicted:
                # Recorded once per job and round.
                log.info("%s evicts %d tasks", job.id, evicted)
        return taken

    def _evict(self, txn: TransactionBuilder, job: Job, need: TaskRequest, offer: Offer, ours: bool) -> int:
        count = 0
        slot = offer.slot
        for victim in offer.victims:
            other = self.cluster_state.jobs.get(victim.job)
            if (
                not ours
                or other is not None
                and self.stops.stop_with_gang(txn, other, victim.number, f"evicted for {job.id}")
            ):
                slot.free_up(victim)
                count += 1
        claim(slot, need)
        return count

    def _due(self, job: str, number: int, task: TaskRecord) -> bool:
        """Tasks that have failed wait longer each time."""
        if not task.failures:
            return True
        key = (job, number, task.attempt)
        due = self._retry.get(key)
        if due is None:
            if len(self._retry) > 20_000:
                self._retry.clear()
            wait = timedelta(seconds=min(BACK_OFF_MOST, 2.0 ** (task.failures - 1)))
            due = self._retry[key] = self.context.now + wait
        return self.context.now >= due

    def wait_reason(self, job: Job) -> str:
        """Why a job waits, or why some of its tasks last stopped."""
        parts = []
        if job.queued_count:
            panel = self.context.panel
            held = panel.hold(job) if panel is not None and panel.holds() else None
            # What is known of the row is newer than what is known of a job that the last rounds have not come to.
            _, why = max(self.waits.get(job.id, (-1, "")), self.pending.why(job), key=lambda known: known[0])
            failing = FAILING if is_faulty_job(job) else ""
            parts.append(held or failing or why or "waiting to be placed")
            parts += job.queued_notes()
        return "; ".join(parts)
