"""Runs the two placers over the picture and works their choices into transactions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import Change
from gladecroft.coordination.admission.tiers import FIRST, LAST, USUAL, Tiers
from gladecroft.coordination.context import Node
from gladecroft.coordination.machines import Keeper
from gladecroft.coordination.machines.fault_attribution import accuses_itself, may_start, next_try
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling.candidate_cache import Floor
from gladecroft.coordination.scheduling.evictor import Stops
from gladecroft.coordination.scheduling.gang_scheduler import Gangs
from gladecroft.coordination.scheduling.infeasible_cache import Shortage
from gladecroft.coordination.scheduling.ordering import Queue
from gladecroft.coordination.scheduling.pending_queue import Lineup, Round, Row
from gladecroft.coordination.scheduling.placement import TINY, HighPlacer, LowSide, Need, Offer, Ranking, Resident, Slot
from gladecroft.coordination.scheduling.placement_writer import Writer
from gladecroft.coordination.scheduling.selection import Chooser, claim, need_of, one_zone, zone_room
from gladecroft.coordination.state_writer import Ledger
from gladecroft.protocol.wire import PRIORITY_RANK, JobSpec, Kind, MachineType

log = logging.getLogger(__name__)

MOST_PER_ROUND = 400
#: A controller that places nothing itself takes notice of changed jobs only when there are so many.
MANY_MOVED = 1000
NO_ROOM = "no machine has room"
NO_MACHINE = "no allowed machine is up"
LIMIT = "the team's limit is used up"
BACK_OFF_MOST = 64.0
FAILING = "its tasks fail on every machine: one is tried now and then"


class Placers:
    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ledger = ledger
        self.line = PRIORITY_RANK[node.operator.priority_line]
        self.floor = Floor(node, membership, keeper, ledger, self.line)
        self.allowed = self.floor.allowed
        high = HighPlacer(node.operator.offer_top, node.operator.spot_avoiding)
        self.chooser = Chooser(high, LowSide(), self.line)
        self.queue = Queue(node)
        #: All waiting work in the order in which it is planned.
        self.lineup = Lineup(node.picture, self.queue, node.panel)
        self.stops = Stops(node, membership, self.floor, self.chooser)
        self.writer = Writer(node, self.floor)
        #: Why jobs wait that a round has gone through, and the round. Of the others their row tells.
        self.waits: dict[str, tuple[int, str]] = {}
        self._short = ""
        #: What is agreed for this round, if anything is, and where that is known.
        self._tiers: Tiers | None = None
        self.agreed: Callable[[], Tiers | None] | None = None
        self.gangs = Gangs(node, ledger, self.floor, self.chooser, self.stops, self.writer, self.wait)
        self._retry: dict[tuple[str, int, int], timedelta] = {}
        #: Of jobs whose tasks fail on every machine: how many tries there were since that was seen, and when the next
        #: is due.
        self._tries: dict[str, tuple[int, timedelta]] = {}
        self.shortage = Shortage(self.floor, self.line)
        #: Cores on machines with high-priority work that low-priority work may still take in this round.
        self._spare = 0.0
        ledger.composers.append(self.stops.drain)
        ledger.composers.append(self.stops.mend_gangs)
        ledger.composers.append(self.place)
        ledger.composers.append(self.stops.move)

    def fits(self, spec: JobSpec) -> str | None | bool:
        """None if some machine type takes a task; why not; False if the types are not known yet."""
        if not self.types:
            return False
        for kind in self.types.values():
            if self.floor.type_allowed(spec, kind) and (spec.zone is None or spec.zone in kind.zones):
                return None
        return "a task fits no allowed machine type"

    @property
    def types(self) -> dict[str, MachineType]:
        return self.floor.types

    def zone_room(self, job: Job) -> tuple[dict[str, int], int]:
        """How many of the job's tasks are in each zone, and how many may be."""
        return zone_room(self.picture, job)

    def place(self, change: Change) -> None:
        """Place our waiting tasks.

        The plan is made for all waiting work in one order, other homes' too, and only our part of it is carried
        out: what others are about to take is left to them. Without this two homes took the same room, and room freed
        by an eviction went to the next borrower, who was evicted again.
        """
        node = self.node
        if len(self.waits) > 2 * len(self.picture.queued) + 100:
            for name in [name for name in self.waits if name not in self.picture.queued]:
                del self.waits[name]
        self.ledger.waiting = 0
        if not self._any_of_ours():
            if len(self.picture.requeued) > MANY_MOVED:
                self.lineup.refresh(node.wall.timestamp())  # else the names of all jobs that ever were would be kept
            return
        self.lineup.refresh(node.wall.timestamp())
        self.ledger.waiting = len(self.lineup)
        self.floor.refresh(self.picture.guaranteed())
        self.shortage.clear()
        self._spare = self.spare_cpus()
        most = MOST_PER_ROUND
        self._tiers, round_ = self.begin()
        for job, row in round_:
            if self.held(job):
                continue
            few = self.few(job, row)
            if few == 0:
                continue
            home = self.membership.job_home(job.spec) or ""
            place = self.gangs.place if job.spec.kind is Kind.GANG else self._place_job
            self._short = ""
            most_now = most if few is None else min(few, most)
            taken = place(change, job, row.pressing, home, most_now)
            most -= taken
            if few is not None:
                self._took_few(job, taken, most_now)
            if self._tiers is not None:
                self._tiers.plan(row.group, taken * job.spec.cpus)
            # Once the transaction is full there is nothing more to carry out; the next round plans anew.
            if most <= 0 or not change.room(1, 0):
                break
            first = self._tiers is not None and self._tiers.of(row.group, row.pressing) == FIRST
            if self._short == NO_ROOM and (first or row.overdue):
                self.shortage.set_aside(job, self.picture.waiting.smallest())
            if self._short:
                self._give_up(round_, row, job, change)

    def begin(self) -> tuple[Tiers | None, Round]:
        """A round through all that waits, in the order that is agreed; ``Lineup.refresh`` comes before it."""
        tiers = None if self.agreed is None else self.agreed()
        if tiers is None:
            return None, self.lineup.round()
        # Having more than its share is no reason why a job should not begin for minutes.
        return tiers, self.lineup.round(
            lambda row: min(tiers.of(row.group, row.pressing), USUAL if row.overdue else LAST)
        )

    def _any_of_ours(self) -> bool:
        """Whether any waiting task is ours to place."""
        me = self.node.name
        return any(
            waits.jobs and self.membership.home(team) == me for team, waits in self.picture.waiting.teams.items()
        )

    def _give_up(self, round_: Round, row: Row, job: Job, change: Change) -> None:
        """A job could not be placed whole: close its row if that goes for the smallest in it too."""
        why = self._short
        if why == LIMIT:
            whole = change.team_room(round_.smallest(row)) <= 0
        else:
            whole = why == NO_MACHINE or round_.lacks(row, job)
        if whole:
            round_.close(row, why)

    def held(self, job: Job) -> bool:
        """Whether a policy says that the job's tasks may not start yet."""
        panel = self.node.panel
        why = panel.hold(job) if panel is not None and panel.holds() else None
        if why is not None and self.membership.job_home(job.spec) == self.node.name:
            self.wait(job.id, why)
        return why is not None

    def few(self, job: Job, row: Row) -> int | None:
        """How many of a job's tasks may start now; None: as many as there is room for."""
        few = self._failing(job)
        if few is None and row.overdue and job.spec.kind is not Kind.GANG:
            few = self.queue.to_begin(job)
        return few

    def _failing(self, job: Job) -> int | None:
        """How many of a job's tasks may start now if they fail on every machine; None: they don't.

        Started again each by itself, the tasks of one array that was submitted with a mistake took hundreds of starts,
        changes and fetches of images, and machines were rented for them.
        """
        if not accuses_itself(job):
            self._tries.pop(job.id, None)
            return None
        few = may_start(job, self.node.wall.timestamp())
        tries, due = self._tries.setdefault(job.id, (0, self.node.now + next_try(0)))
        if len(self._tries) > 2 * len(self.picture.queued) + 100:
            for name in [name for name in self._tries if name not in self.picture.queued]:
                del self._tries[name]
        if not job.occupied and self.node.now < due:
            few = 0
        return few

    def _took_few(self, job: Job, taken: int, few: int) -> None:
        """A job of which only a few tasks may start has been looked at."""
        if job.id in self._tries:
            if taken:
                tries = self._tries[job.id][0] + 1
                self._tries[job.id] = (tries, self.node.now + next_try(tries))
            # Its tasks do not wait for room, so its row is not closed for others.
            self._short = ""
        if taken >= few:
            self.wait(job.id, "")

    def wait(self, job: str, why: str) -> None:
        """Note why a job waits; empty: it does no more."""
        if why:
            self.waits[job] = (self.lineup.rounds, why)
        else:
            self.waits.pop(job, None)

    def spare_cpus(self) -> float:
        """What is free on machines with high-priority work, less a reserve for more of that.

        Low-priority work that filled these machines was evicted again by the next services, and began anew.
        """
        free = held = 0.0
        for slot in self.floor.slots.values():
            if slot.high_cpus > TINY:
                free += max(0.0, slot.free_cpus)
                held += slot.high_cpus
        return free - self.node.operator.machine_reserve * held

    def _place_job(self, change: Change, job: Job, inside: bool, home: str, most: int) -> int:
        """Place one job's waiting tasks as far as they go, or only set the room aside if it is another home's job."""
        spec = job.spec
        claimed = self.ledger.claimed(spec.team)
        ours = home == self.node.name and claimed
        room = min(change.team_room(job), most)
        why = ""
        zones, cap = zone_room(self.picture, job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        if spec.one_zone and cap < spec.tasks:
            room, why = 0, "some of its machines are not known yet"
        tiers = self._tiers
        group = (spec.team, spec.job_class)
        tier = USUAL if tiers is None else tiers.of(group, inside)
        spared = () if tiers is None else tiers.spared(group, inside, tier)
        need = need_of(job, inside, home, tier == LAST, spared)
        high = need.rank <= self.floor.line
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
        if self.node.panel is not None and self.node.panel.by_job():
            where = (*where, job.id)  # what is no room for one job may be room for another
        push = (*where, need.rank, need.guaranteed, need.team, tier)
        ranking: Ranking | None = None
        usable: list[Slot] = []
        # Where nothing is free only what comes up or may be pushed away is looked at.
        nothing_free = room > 0 and not spec.one_zone and self.shortage.of(where, need)
        if nothing_free:
            usable = self.shortage.to_push(where, push, job, need, closed)
            ranking = Ranking(need, (), self.chooser.high.rank if high else self.chooser.low.rank)
        if nothing_free and not usable:
            room = 0
            why = self._short = NO_ROOM
            self.shortage.tell_why(where, job)
        for number in job.queued_tasks():
            if taken >= room:
                if not why and room < most:
                    self._short = LIMIT
                why = why or LIMIT
                break
            before = change.task(job, number)
            if before.state is not TaskState.QUEUED or not self._due(job.id, number, before):
                continue
            if ranking is None:
                # Tasks on machines that are not known may take up all that any zone may have: then it is closed though
                # none of the job's tasks is known to be there.
                usable = self.floor.usable(job, closed) if cap > 0 else []
                if spec.one_zone:
                    usable = one_zone(usable, zones)
                if kept_out:
                    usable = [slot for slot in usable if slot.high_cpus <= TINY]
                ranking = Ranking(need, usable, self.chooser.high.rank if high else self.chooser.low.rank)
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
            self.floor.plan_on(slot)
            if offer.victims:
                evicted += self._evict(change, job, need, offer, ours)
                why = "waiting for evicted work to stop"
            elif not slot.fits(need):
                why = "waiting for evicted work to stop"
                claim(slot, need)
            else:
                if ours and not self.writer.put(change, job, number, before, slot):
                    ours, why = False, "about to be placed"
                ranking.take(slot, self.floor.line)
                if not high and not inside and slot.high_cpus > TINY:
                    self._spare -= need.cpus
                    if self._spare < need.cpus:
                        usable = [slot for slot in usable if slot.high_cpus <= TINY]
                        ranking.drop(lambda slot: slot.high_cpus > TINY)
                slot.add(
                    Resident(job.id, number, spec.cpus, spec.gpus, spec.memory_gb, job.rank, spec.team, inside, 1 << 40)
                )
            if spec.spread:
                zones[slot.zone] = zones.get(slot.zone, 0) + 1
                if zones[slot.zone] >= cap:
                    full = slot.zone
                    usable = [slot for slot in usable if slot.zone != full]
                    ranking.drop(lambda slot, full=full: slot.zone == full)  # type: ignore[misc]
        if home == self.node.name:
            if not claimed:
                why = why or "about to be placed"
            if why:
                refusal = self.floor.refusals.get(job.id)
                why = why if refusal is None else f"{why}; {refusal}"
            self.wait(job.id, why)
            if evicted:
                # Recorded once per job and round.
                log.info("%s evicts %d tasks", job.id, evicted)
        return taken

    def _evict(self, change: Change, job: Job, need: Need, offer: Offer, ours: bool) -> int:
        count = 0
        slot = offer.slot
        for victim in offer.victims:
            other = self.picture.jobs.get(victim.job)
            if (
                not ours
                or other is not None
                and self.stops.stop_with_gang(change, other, victim.number, f"evicted for {job.id}")
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
            due = self._retry[key] = self.node.now + wait
        return self.node.now >= due

    def reason(self, job: Job) -> str:
        """Why a job waits, or why some of its tasks last stopped."""
        parts = []
        if job.queued_count:
            panel = self.node.panel
            held = panel.hold(job) if panel is not None and panel.holds() else None
            # What is known of the row is newer than what is known of a job that the last rounds have not come to.
            _, why = max(self.waits.get(job.id, (-1, "")), self.lineup.why(job), key=lambda known: known[0])
            failing = FAILING if accuses_itself(job) else ""
            parts.append(held or failing or why or "waiting to be placed")
            parts += job.notes()
        return "; ".join(parts)
