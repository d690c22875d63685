"""Runs the two placers over the picture and works their choices into transactions."""

from __future__ import annotations

import logging
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.picture import Change, Job
from gladecroft.bookkeeping.records import MachineUse, TaskRecord, TaskState
from gladecroft.coordination.floor import Floor
from gladecroft.coordination.keeper import Keeper
from gladecroft.coordination.ledger import Ledger
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.node import Node
from gladecroft.coordination.placement import TINY, HighPlacer, LowSide, Need, Offer, Ranking, Resident, Slot
from gladecroft.protocol.wire import PRIORITY_RANK, JobSpec, Kind, MachineType

log = logging.getLogger(__name__)

MOST_PER_ROUND = 400
BACK_OFF_MOST = 64.0
PATIENCE = 60.0
STARVED = 3.0
CAN_WAIT = 100
MOVED = "moved from"
#: Stands for the zone of a machine that is not known.
UNKNOWN = "?"
#: So many seconds before a machine is taken, what still runs there is stopped, so that its end is known at once.
LAST_MOMENT = 3.0
MOVES_AT_ONCE = 2
#: In a large fleet one more service may move at a time for so many machines.
MACHINES_PER_MOVE = 20


class Placers:
    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.keeper = keeper
        self.ledger = ledger
        self.line = PRIORITY_RANK[node.operator.priority_line]
        self.floor = Floor(node, membership, keeper, ledger, self.line)
        self.allowed = self.floor.allowed
        self.high = HighPlacer(node.operator.offer_top, node.operator.spot_avoiding)
        self.low = LowSide()
        self.waits: dict[str, str] = {}
        self._retry: dict[tuple[str, int, int], timedelta] = {}
        self._aim_spans: dict[tuple[str, str], list[float]] = {}
        #: Needs for which this round has found no room, by what kind of room it looked for.
        self._no_room: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}
        self._patiences: dict[str, float] = {}
        #: Cores on machines with high-priority work that low-priority work may still take in this round.
        self._spare = 0.0
        ledger.composers.append(self.drain)
        ledger.composers.append(self.mend_gangs)
        ledger.composers.append(self.place)
        ledger.composers.append(self.move)

    # What a job allows ---------------------------------------------------------------------------------------

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

    def order(self, jobs: list[Job], guaranteed: set[str]) -> list[Job]:
        """Work within a guarantee first, then by priority, then by what can still be on time, little work first.

        In an overload not all jobs can meet their aims. The most are on time if those that still can come before
        those that can't any more, and small ones before big ones. A job that has waited for long comes first.
        """
        return sorted(jobs, key=lambda job: (job.id not in guaranteed, job.rank, *self._turn(job), job.id))

    def pressing(self, guaranteed: set[str]) -> set[str]:
        """The waiting jobs that come first, and may evict, for their team's guarantee.

        A team whose unfinished work all fits into its guarantee need not wait for others at all. One that has more
        waits for itself: of its jobs those arrays do without the privilege that have missed every aim already. Large
        ones that were past helping took, and evicted, what would have brought many others home in time.
        """
        crowded = self.picture.crowded
        return {
            job.id
            for job in self.picture.queued.values()
            if job.id in guaranteed and not (job.spec.team in crowded and self._past_helping(job))
        }

    def _past_helping(self, job: Job) -> bool:
        """Whether nothing more can be won by an array's end. A late service is as much missed as ever."""
        if job.spec.kind is not Kind.ARRAY:
            return False
        limits = self._limits(job)
        return bool(limits) and max(limits) <= self._age(job) <= STARVED * max(*limits, PATIENCE)

    def _age(self, job: Job) -> float:
        return self.node.wall.timestamp() - job.record.accepted_ms / 1000

    def _limits(self, job: Job) -> list[float]:
        """By what age the job must have started (or, for its end, its tasks must have) to meet each of its aims."""
        limits = [span - job.spec.estimate_s for span in self._aims(job, "finished")]
        return limits if self._has_started(job) else limits + self._aims(job, "wait")

    def _turn(self, job: Job) -> tuple[int, float]:
        spec = job.spec
        age = self._age(job)
        work = spec.cpus * job.queued_count * max(1.0, spec.estimate_s)
        limits = self._limits(job)
        if self._has_started(job):
            # Its start is behind it; it can wait as long as its end is not in danger.
            most = max(spec.cpus, self.picture.limits[spec.team].most_cpus)
            if all(limit - age - work / most > PATIENCE for limit in limits):
                return CAN_WAIT, work
        limits = limits or [PATIENCE]
        if age > STARVED * max(*limits, PATIENCE):
            return 0, work
        return sum(age >= limit for limit in limits), work

    def _aims(self, job: Job, kind: str) -> list[float]:
        spans = self._aim_spans.get((job.spec.job_class, kind))
        if spans is None:
            spans = self._aim_spans[(job.spec.job_class, kind)] = [
                aim.within_s
                for aim in self.node.cluster.objectives
                if aim.job_class == job.spec.job_class and aim.kind == kind and aim.within_s > 0
            ]
            if len(self._aim_spans) > 1000:
                self._aim_spans.clear()
        return spans

    def _has_started(self, job: Job) -> bool:
        """Whether the aim for this job's start is behind it: as many tasks have started as may run at once."""
        if job.spec.kind is not Kind.ARRAY or not self._aims(job, "wait") or not job.chunks:
            return False
        most = job.spec.tasks
        limit = self.picture.limits.get(job.spec.team)
        if limit is not None and limit.cpus_max > 0 and job.spec.cpus > 0:
            most = min(most, int((limit.cpus_max + 1e-6) / job.spec.cpus))
        return job.begun >= most

    def patience(self, job: Job) -> float:
        """The shortest time that the aims give a job of this class."""
        known = self._patiences.get(job.spec.job_class)
        if known is None:
            spans = [aim.within_s for aim in self.node.cluster.objectives if aim.job_class == job.spec.job_class]
            known = self._patiences[job.spec.job_class] = min((span for span in spans if span > 0), default=PATIENCE)
        return known

    def zone_room(self, job: Job) -> tuple[dict[str, int], int]:
        """How many of the job's tasks are in each zone, and how many may be.

        A task on a machine that this controller does not know (any more, or yet) may be in any zone. Counted in none,
        it let more than half of a service into one zone after all controllers had been started again.
        """
        zones = self.zones_used(job)
        return zones, job.spec.zone_cap() - zones.pop(UNKNOWN, 0)

    def zones_used(self, job: Job, change: Change | None = None) -> dict[str, int]:
        zones: dict[str, int] = {}
        for number, task in job.placed():
            now = task if change is None else change.task(job, number)
            machine = self.picture.machines.get(now.machine) or self.picture.machines.get(task.machine)
            if now.machine or task.machine:
                zone = machine.zone if machine is not None else UNKNOWN
                zones[zone] = zones.get(zone, 0) + 1
        return zones

    # Draining ------------------------------------------------------------------------------------------------

    def drain(self, change: Change) -> None:
        """Stop what of our jobs runs on machines that are about to go or are taken out of use.

        The home does it, not the machine's owner, so that a team's records have one writer.
        """
        for name, use in self.picture.aside.items():
            if use not in (MachineUse.LEAVING, MachineUse.BAD):
                continue
            why = "notice" if use is MachineUse.LEAVING else "bad machine"
            until_s = self.picture.machines[name].until_s if use is MachineUse.LEAVING else 0
            for (job_name, number), task in list(self.picture.on_machine.get(name, {}).items()):
                job = self.picture.jobs[job_name]
                if task.state is not TaskState.ACTIVE or job.cancelled or self._ends_in_time(job, task, until_s):
                    continue
                if self.membership.job_home(job.spec) == self.node.name:
                    self._stop(change, job, number, f"{why} {name}")

    def _ends_in_time(self, job: Job, task: TaskRecord, until_s: int) -> bool:
        """Whether a task that can't save will probably end before its machine is taken. Stopped, it begins anew."""
        now = self.node.wall.timestamp()
        if job.spec.checkpoint_s > 0 or job.spec.kind is not Kind.ARRAY or until_s - now <= LAST_MOMENT:
            return False
        return job.spec.estimate_s - (now - task.placed_s) <= until_s - now

    def move(self, change: Change) -> None:
        """Move our services off machines that are being emptied, a few at a time and only to where there is room."""
        me = self.node.name
        emptying = [name for name, use in self.picture.aside.items() if use is MachineUse.EMPTYING]
        if not emptying:
            return
        if any(
            job.spec.kind is Kind.SERVICE and self.membership.job_home(job.spec) == me
            for job in self.picture.queued.values()
        ):
            return
        at_once = max(MOVES_AT_ONCE, len(self.picture.machines) // MACHINES_PER_MOVE)
        on_the_way = sum(
            task.state is TaskState.STOPPING and task.note.startswith(MOVED)
            for job in self.picture.jobs.values()
            if job.counts[TaskState.STOPPING]
            and job.spec.kind is Kind.SERVICE
            and self.membership.job_home(job.spec) == me
            for _, task in job.placed()
        )
        guaranteed = self.picture.guaranteed()
        self.floor.refresh(guaranteed)
        for name in emptying:
            for (job_name, number), task in list(self.picture.on_machine.get(name, {}).items()):
                if on_the_way >= at_once or not change.room(1, 0):
                    return
                job = self.picture.jobs[job_name]
                if job.spec.kind is not Kind.SERVICE or task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self.membership.job_home(job.spec) != me:
                    continue
                offer = self._where_else(job, job_name in guaranteed, self.picture.machines[name].zone)
                if offer is not None and self._stop(change, job, number, f"{MOVED} {name}"):
                    self._take(offer.slot)
                    offer.slot.take(self._need(job, job_name in guaranteed, me), self.line)
                    on_the_way += 1

    def _where_else(self, job: Job, inside: bool, zone: str) -> Offer | None:
        zones, cap = self.zone_room(job)
        zones[zone] = zones.get(zone, 0) - 1
        need = self._need(job, inside, self.node.name)
        usable = [
            slot
            for slot in self.floor.usable(job.spec)
            if slot.fits(need) and zones.get(slot.zone, 0) < cap and (not job.spec.one_zone or slot.zone == zone)
        ]
        return self.low.choose(need, self.high.offers(need, usable))

    @staticmethod
    def _need(job: Job, inside: bool, home: str) -> Need:
        spec = job.spec
        return Need(spec.cpus, spec.gpus, spec.memory_gb, spec.image, job.rank, spec.team, inside, home)

    def _stop(self, change: Change, job: Job, number: int, note: str) -> bool:
        task = change.task(job, number)
        if task.state is not TaskState.ACTIVE or self.picture.ended.get((job.id, number)) == task.attempt:
            return False
        if not change.room(0 if change.has_chunk(job, number) else 1, 0):
            return False
        after = TaskRecord(TaskState.STOPPING, task.attempt, task.machine, task.failures, note[:24], task.placed_s)
        change.set_task(job, number, after)
        change.notes.append(f"{job.id}/{number}#{task.attempt} on {task.machine} is to stop: {note}")
        return True

    # Placing -------------------------------------------------------------------------------------------------

    def place(self, change: Change) -> None:
        """Place our waiting tasks.

        The plan is made for all waiting work in one order, other homes' too, and only our part of it is carried
        out: what others are about to take is left to them. Without this two homes took the same room, and room freed
        by an eviction went to the next borrower, who was evicted again.
        """
        me = self.node.name
        if len(self.waits) > 2 * len(self.picture.queued) + 100:
            self.waits = {name: why for name, why in self.waits.items() if name in self.picture.queued}
        waiting = list(self.picture.queued.values())
        homes = {job.id: self.membership.job_home(job.spec) or "" for job in waiting}
        if me not in homes.values():
            return
        guaranteed = self.picture.guaranteed()
        self.floor.refresh(guaranteed)
        self._no_room.clear()
        self._spare = self.spare_cpus()
        most = MOST_PER_ROUND
        pressing = self.pressing(guaranteed)
        for job in self.order(waiting, pressing):
            place = self._place_gang if job.spec.kind is Kind.GANG else self._place_job
            most -= place(change, job, job.id in pressing, homes[job.id], most)
            # Once the transaction is full there is nothing more to carry out; the next round plans anew.
            if most <= 0 or not change.room(1, 0):
                break

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

    def _take(self, slot: Slot) -> None:
        """Note that this round plans on a slot: before the next it is worked out anew."""
        self.picture.stale.add(slot.machine)

    def _lacks_room(self, key: tuple[object, ...], need: Need) -> bool:
        """Whether no room was found for a need in this round that is no bigger. Room only dwindles in a round."""
        return any(
            need.cpus >= cpus and need.gpus >= gpus and need.memory_gb >= memory
            for cpus, gpus, memory in self._no_room.get(key, ())
        )

    def _place_job(self, change: Change, job: Job, inside: bool, home: str, most: int) -> int:
        """Place one job's waiting tasks as far as they go, or only set the room aside if it is another home's job."""
        spec = job.spec
        claimed = self.ledger.claimed(spec.team)
        ours = home == self.node.name and claimed
        room = min(change.team_room(job), most)
        why = ""
        zones, cap = self.zone_room(job) if spec.spread or spec.one_zone else ({}, spec.tasks)
        if spec.one_zone and cap < spec.tasks:
            room, why = 0, "some of its machines are not known yet"
        need = self._need(job, inside, home)
        high = need.rank <= self.line
        kept_out = not high and not inside and self._spare < need.cpus
        taken = evicted = 0
        where = (
            tuple(spec.types) if spec.types is not None else None,
            spec.zone,
            spec.spot,
            # Zones that are full for this job are not looked at.
            tuple(sorted(zone for zone, count in zones.items() if count >= cap)) if spec.spread else (),
            high or inside,
        )
        push = (*where, need.rank, need.guaranteed, need.team)
        ranking: Ranking | None = None
        usable: list[Slot] = []
        if room > 0 and not spec.one_zone and self._lacks_room(where, need) and self._lacks_room(push, need):
            room = 0
            why = "no machine has room"
        for number in job.queued_tasks():
            if taken >= room:
                why = why or "the team's limit is used up"
                break
            before = change.task(job, number)
            if before.state is not TaskState.QUEUED or not self._due(job.id, number, before):
                continue
            if ranking is None:
                usable = list(self.floor.usable(spec))
                if spec.one_zone:
                    usable = self._one_zone(usable, zones, need, job)
                elif spec.spread:
                    usable = [slot for slot in usable if zones.get(slot.zone, 0) < cap]
                if kept_out:
                    usable = [slot for slot in usable if slot.high_cpus <= TINY]
                ranking = Ranking(need, usable, self.high.rank if high else self.low.rank)
            offer = self._choose(need, ranking, usable, before)
            if offer is None:
                if usable and not spec.one_zone and not (spec.spread and taken):
                    for key in (where, push):
                        self._no_room.setdefault(key, []).append((need.cpus, need.gpus, need.memory_gb))
                why = "no machine has room" if usable else "no allowed machine is up"
                break
            slot = offer.slot
            taken += 1
            self._take(slot)
            if offer.victims:
                evicted += self._evict(change, job, need, offer, ours)
                why = "waiting for evicted work to stop"
            elif not slot.fits(need):
                why = "waiting for evicted work to stop"
                self._claim(slot, need)
            else:
                if ours and not self._put(change, job, number, before, slot):
                    ours, why = False, "about to be placed"
                ranking.take(slot, self.line)
                if not high and not inside and slot.high_cpus > TINY:
                    self._spare -= need.cpus
                    if self._spare < need.cpus:
                        usable = [slot for slot in usable if slot.high_cpus <= TINY]
                        ranking.drop(lambda slot: slot.high_cpus > TINY)
                slot.residents.append(
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
                self.waits[job.id] = why
            else:
                self.waits.pop(job.id, None)
            if evicted:
                # Recorded once per job and round.
                log.info("%s evicts %d tasks", job.id, evicted)
        return taken

    def _place_gang(self, change: Change, job: Job, inside: bool, home: str, most: int) -> int:
        """Place all of a gang's tasks in one transaction, or none; room is made for it only if all then fit."""
        tasks = list(job.queued_tasks())
        if len(tasks) + job.done < job.spec.tasks:
            self.waits[job.id] = "waiting for the rest of the gang to stop"
            return 0
        if len(tasks) > min(change.team_room(job), most):
            self.waits[job.id] = "the team's limit leaves no room for the whole gang"
            return 0
        need = self._need(job, inside, home)
        slots = self.floor.slots
        usable = list(self.floor.usable(job.spec))
        kept = {slot.machine: slot.room() for slot in usable}
        offers, pending = self._gang_offers(job, need, len(tasks), usable)
        for offer in offers:
            self._take(offer.slot)
        if len(offers) < len(tasks):
            for name, room in kept.items():
                slots[name].set_room(room)
            for offer in offers:
                for victim in offer.victims:
                    victim.stopping = False
            self.waits[job.id] = "no room for the whole gang"
            return 0
        if home != self.node.name:
            return len(tasks)
        if not self.ledger.claimed(job.spec.team):
            self.waits[job.id] = "about to be placed"
            return len(tasks)
        if pending:
            self.waits[job.id] = "waiting for evicted work to stop"
            victims = [victim for offer in offers for victim in offer.victims]
            stopped = sum(
                self._stop_with_gang(change, self.picture.jobs[victim.job], victim.number, job.id) for victim in victims
            )
            if stopped:
                log.info("%s evicts %d tasks", job.id, stopped)
            return len(tasks)
        chunks = len({number // job.size for number in tasks})
        places = {offer.slot.machine for offer in offers}
        foreign = len({offer.slot.machine for offer in offers if not offer.slot.mine})
        # Where a transaction can't hold all the machine records, being conditional on them must do.
        bump = change.room(chunks + foreign, 1, len(places))
        if not bump and not change.room(chunks, 1, len(places)):
            self.waits[job.id] = "about to be placed"
            return len(tasks)
        self.waits.pop(job.id, None)
        for number, offer in zip(tasks, offers, strict=True):
            self._put(change, job, number, change.task(job, number), offer.slot, bump)
        return len(tasks)

    def _gang_offers(self, job: Job, need: Need, count: int, slots: list[Slot]) -> tuple[list[Offer], bool]:
        """An offer for each task, as far as they go, with their room set aside, and whether any room must be freed."""
        zones, cap = self.zone_room(job)
        usable = self._one_zone(slots, zones, need, job) if job.spec.one_zone else slots
        offers: list[Offer] = []
        pending = False
        while len(offers) < count:
            there = [slot for slot in usable if zones.get(slot.zone, 0) < cap]
            rank = self.high.rank if need.rank <= self.line else self.low.rank
            offer = self._choose(need, Ranking(need, there, rank), there)
            if offer is None:
                break
            if offer.slot.fits(need):
                offer.slot.take(need, self.line)
            else:
                pending = True
                for victim in offer.victims:
                    offer.slot.free_up(victim)
                self._claim(offer.slot, need)
            zones[offer.slot.zone] = zones.get(offer.slot.zone, 0) + 1
            offers.append(offer)
        return offers, pending

    def mend_gangs(self, change: Change) -> None:
        """A gang that has lost a task is stopped and queued whole."""
        for job in self.picture.gangs.values():
            if job.cancelled or not job.queued_count or not job.occupied:
                continue
            if self.membership.job_home(job.spec) == self.node.name:
                for number, task in list(job.placed()):
                    if task.state is TaskState.ACTIVE:
                        self._stop(change, job, number, "gang incomplete")

    def _stop_with_gang(self, change: Change, job: Job, number: int, cause: str) -> bool:
        """Evict a task, and all of its gang with it."""
        if job.spec.kind is not Kind.GANG:
            return self._stop(change, job, number, f"evicted for {cause}")
        stopped = False
        for other, _ in list(job.placed()):
            stopped |= self._stop(change, job, other, f"evicted for {cause}")
        return stopped

    def _put(self, change: Change, job: Job, number: int, before: TaskRecord, slot: Slot, bump: bool = True) -> bool:
        """Work a placement into the transaction; False if it has no room."""
        key = rec.machine_key(slot.machine)
        # Another part's room is taken only by a conditional write. A gang's also changes the machine's record; for
        # single tasks a write for each machine would use up the state service's budget in a large fleet. Should two
        # homes take the same room all the same, the worker refuses the second.
        gang = job.spec.kind is Kind.GANG
        foreign = bump and gang and not slot.mine and key not in change.puts
        if not change.room((0 if change.has_chunk(job, number) else 1) + foreign, 1, 1):
            return False
        if not change.holds(job, number, slot.machine):
            return False  # with names this long not all of a chunk's tasks can be placed at once
        change.require(key)
        if foreign:
            change.put(key, self.picture.machines[slot.machine])
        attempt = before.attempt + 1
        now_s = int(self.node.wall.timestamp())
        change.set_task(job, number, TaskRecord(TaskState.ACTIVE, attempt, slot.machine, before.failures, "", now_s))
        change.notes.append(f"{job.id}/{number}#{attempt} goes to {slot.machine}")
        self.floor.note_image(slot.machine, job.spec.image)
        return True

    def _choose(
        self, need: Need, ranking: Ranking, usable: list[Slot], before: TaskRecord | None = None
    ) -> Offer | None:
        """The two placers' choice for one task: where it fits, else where room comes up or can be made."""
        shunned = before.note if before is not None and before.failures else ""
        if need.rank <= self.line:
            fitting = self._top(ranking, shunned)
            if fitting and self.high.avoid_evictions:
                return self.low.choose(need, [Offer(slot, []) for slot in fitting])
            if not fitting:
                for slot in usable:
                    if slot.coming_cpus > 0 and slot.will_fit(need):
                        return Offer(slot, [])
            enough = [
                slot for slot in usable if need.cpus <= slot.free_cpus + slot.coming_cpus + slot.borrowed_cpus + TINY
            ]
            return self.low.choose(need, self.high.offers(need, enough))
        best = self._top(ranking, shunned)
        if best:
            return Offer(best[0], [])
        if need.guaranteed:
            for slot in usable:
                if slot.coming_cpus > 0 and slot.will_fit(need):
                    return Offer(slot, [])
        return self.low.push(need, usable)

    def _top(self, ranking: Ranking, shunned: str) -> list[Slot]:
        """The first N of a ranking; a machine on which the task has just failed only if there is no other."""
        top: list[Slot] = []
        for slot in ranking:
            if not shunned or not shunned.endswith(slot.machine):
                top.append(slot)
                if len(top) >= self.high.top:
                    break
        return top or list(ranking)[:1]

    @staticmethod
    def _claim(slot: Slot, need: Need) -> None:
        """Set room that is being freed aside, so that it is not counted on twice in this round."""
        slot.coming_cpus -= max(0.0, need.cpus - max(0.0, slot.free_cpus))
        slot.coming_gpus -= max(0.0, need.gpus - max(0.0, slot.free_gpus))
        slot.coming_memory -= max(0.0, need.memory_gb - max(0.0, slot.free_memory))
        slot.free_cpus = max(0.0, slot.free_cpus - need.cpus)
        slot.free_gpus = max(0.0, slot.free_gpus - need.gpus)
        slot.free_memory = max(0.0, slot.free_memory - need.memory_gb)

    def _evict(self, change: Change, job: Job, need: Need, offer: Offer, ours: bool) -> int:
        count = 0
        slot = offer.slot
        for victim in offer.victims:
            other = self.picture.jobs.get(victim.job)
            if not ours or other is not None and self._stop_with_gang(change, other, victim.number, job.id):
                slot.free_up(victim)
                count += 1
        self._claim(slot, need)
        return count

    def _one_zone(self, slots: list[Slot], zones: dict[str, int], need: Need, job: Job) -> list[Slot]:
        """All tasks go to one zone: where some are already, else where most fit."""
        if zones:
            zone = next(iter(zones))
            return [slot for slot in slots if slot.zone == zone]
        room: dict[str, float] = {}
        for slot in slots:
            room[slot.zone] = room.get(slot.zone, 0.0) + max(0.0, slot.free_cpus)
        if not room:
            return []
        best = max(sorted(room), key=lambda zone: room[zone])
        return [slot for slot in slots if slot.zone == best]

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
            parts.append(self.waits.get(job.id, "waiting to be placed"))
            notes: dict[str, int] = {}
            for chunk in job.chunks.values():
                for task in chunk:
                    if task.note and task.state is TaskState.QUEUED:
                        notes[task.note] = notes.get(task.note, 0) + 1
            parts += [f"{note} ({count})" for note, count in sorted(notes.items(), key=lambda item: -item[1])[:3]]
        return "; ".join(parts)
