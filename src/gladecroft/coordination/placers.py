"""Runs the two placers over the picture and works their choices into transactions."""

from __future__ import annotations

import logging
from datetime import timedelta

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.picture import Change, Job
from gladecroft.bookkeeping.records import MachineUse, TaskRecord, TaskState
from gladecroft.coordination.keeper import Keeper
from gladecroft.coordination.ledger import Ledger
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.node import Node
from gladecroft.coordination.placement import HighPlacer, LowSide, Need, Offer, Resident, Slot
from gladecroft.protocol.wire import PRIORITY_RANK, JobSpec, Kind, MachineType

log = logging.getLogger(__name__)

MOST_PER_ROUND = 400
BACK_OFF_MOST = 64.0
PATIENCE = 60.0
STARVED = 3.0
CAN_WAIT = 100
MOVED = "moved from"
MOVES_AT_ONCE = 2


class Placers:
    def __init__(self, node: Node, membership: Membership, keeper: Keeper, ledger: Ledger) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.keeper = keeper
        self.ledger = ledger
        self.types: dict[str, MachineType] = {}
        self.line = PRIORITY_RANK[node.operator.priority_line]
        self.high = HighPlacer(node.operator.offer_top, node.operator.spot_avoiding)
        self.low = LowSide()
        self.waits: dict[str, str] = {}
        self._retry: dict[tuple[str, int, int], timedelta] = {}
        self._images: dict[str, dict[str, None]] = {}
        self._patiences: dict[str, float] = {}
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
            if self._type_allowed(spec, kind) and (spec.zone is None or spec.zone in kind.zones):
                return None
        return "a task fits no allowed machine type"

    @staticmethod
    def _type_allowed(spec: JobSpec, kind: MachineType) -> bool:
        return (
            (spec.types is None or kind.name in spec.types)
            and spec.cpus <= kind.cpus
            and spec.gpus <= kind.gpus
            and spec.memory_gb <= kind.memory_gb
        )

    def allowed(self, spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
        kind = self.types.get(type_name)
        return (
            kind is not None
            and self._type_allowed(spec, kind)
            and (spec.zone is None or spec.zone == zone)
            and (spec.spot or not spot)
        )

    def order(self, jobs: list[Job], guaranteed: set[str]) -> list[Job]:
        """Work within a guarantee first, then by priority, then by what can still be on time, little work first.

        In an overload not all jobs can meet their aims. The most are on time if those that still can come before
        those that can't any more, and small ones before big ones. A job that has waited for long comes first.
        """
        return sorted(jobs, key=lambda job: (job.id not in guaranteed, job.rank, *self._turn(job), job.id))

    def _turn(self, job: Job) -> tuple[int, float]:
        spec = job.spec
        age = self.node.wall.timestamp() - job.record.accepted_ms / 1000
        work = spec.cpus * job.queued_count * max(1.0, spec.estimate_s)
        limits = [span - spec.estimate_s for span in self._aims(job, "finished")]
        if self._has_started(job):
            # Its start is behind it; it can wait as long as its end is not in danger.
            most = max(spec.cpus, self.picture.limits[spec.team].cpus_max)
            if all(limit - age - work / most > PATIENCE for limit in limits):
                return CAN_WAIT, work
        else:
            limits += self._aims(job, "wait")
        limits = limits or [PATIENCE]
        if age > STARVED * max(*limits, PATIENCE):
            return 0, work
        return sum(age >= limit for limit in limits), work

    def _aims(self, job: Job, kind: str) -> list[float]:
        return [
            aim.within_s
            for aim in self.node.cluster.objectives
            if aim.job_class == job.spec.job_class and aim.kind == kind and aim.within_s > 0
        ]

    def _has_started(self, job: Job) -> bool:
        """Whether the aim for this job's start is behind it: as many tasks have started as may run at once."""
        if job.spec.kind is not Kind.ARRAY or not self._aims(job, "wait") or not job.chunks:
            return False
        most = job.spec.tasks
        limit = self.picture.limits.get(job.spec.team)
        if limit is not None and job.spec.cpus > 0:
            most = min(most, int((limit.cpus_max + 1e-6) / job.spec.cpus))
        begun = sum(task.attempt > 0 for chunk in job.chunks.values() for task in chunk)
        return begun >= most

    def patience(self, job: Job) -> float:
        """The shortest time that the aims give a job of this class."""
        known = self._patiences.get(job.spec.job_class)
        if known is None:
            spans = [aim.within_s for aim in self.node.cluster.objectives if aim.job_class == job.spec.job_class]
            known = self._patiences[job.spec.job_class] = min((span for span in spans if span > 0), default=PATIENCE)
        return known

    def zones_used(self, job: Job, change: Change | None = None) -> dict[str, int]:
        zones: dict[str, int] = {}
        for number, task in job.placed():
            now = task if change is None else change.task(job, number)
            machine = self.picture.machines.get(now.machine) or self.picture.machines.get(task.machine)
            if now.machine or task.machine:
                zone = machine.zone if machine is not None else "?"
                zones[zone] = zones.get(zone, 0) + 1
        return zones

    # Draining ------------------------------------------------------------------------------------------------

    def drain(self, change: Change) -> None:
        """Stop what runs on our machines that are about to go or are taken out of use."""
        for name, record in self.picture.machines.items():
            if record.use not in (MachineUse.LEAVING, MachineUse.BAD):
                continue
            if self.membership.owner(name) != self.node.name:
                continue
            why = "notice" if record.use is MachineUse.LEAVING else "bad machine"
            for (job_name, number), task in list(self.picture.on_machine.get(name, {}).items()):
                job = self.picture.jobs[job_name]
                if task.state is TaskState.ACTIVE and not job.cancelled:
                    self._stop(change, job, number, f"{why} {name}")

    def move(self, change: Change) -> None:
        """Move our services off machines that are being emptied, a few at a time and only to where there is room."""
        me = self.node.name
        emptying = [name for name, record in self.picture.machines.items() if record.use is MachineUse.EMPTYING]
        if not emptying:
            return
        mine = [job for job in self.picture.jobs.values() if self.membership.job_home(job.spec) == me]
        if any(job.queued_count for job in mine if job.spec.kind is Kind.SERVICE):
            return
        on_the_way = sum(
            task.state is TaskState.STOPPING and task.note.startswith(MOVED)
            for job in mine
            if job.spec.kind is Kind.SERVICE
            for _, task in job.placed()
        )
        guaranteed = self.picture.guaranteed()
        slots = self.slots(guaranteed)
        for name in emptying:
            for (job_name, number), task in list(self.picture.on_machine.get(name, {}).items()):
                if on_the_way >= MOVES_AT_ONCE:
                    return
                job = self.picture.jobs[job_name]
                if job.spec.kind is not Kind.SERVICE or task.state is not TaskState.ACTIVE or job.cancelled:
                    continue
                if self.membership.job_home(job.spec) != me:
                    continue
                offer = self._where_else(job, job_name in guaranteed, slots, self.picture.machines[name].zone)
                if offer is not None and self._stop(change, job, number, f"{MOVED} {name}"):
                    offer.slot.take(self._need(job, job_name in guaranteed, me), self.line)
                    on_the_way += 1

    def _where_else(self, job: Job, inside: bool, slots: dict[str, Slot], zone: str) -> Offer | None:
        zones = self.zones_used(job)
        zones[zone] = zones.get(zone, 0) - 1
        cap = job.spec.zone_cap()
        usable = [
            slot
            for slot in slots.values()
            if self.allowed(job.spec, self.picture.machines[slot.machine].type, slot.zone, slot.spot)
            and zones.get(slot.zone, 0) < cap
            and (not job.spec.one_zone or slot.zone == zone)
        ]
        need = self._need(job, inside, self.node.name)
        return self.low.choose(need, self.high.offers(need, [slot for slot in usable if slot.fits(need)]))

    @staticmethod
    def _need(job: Job, inside: bool, home: str) -> Need:
        spec = job.spec
        return Need(spec.cpus, spec.gpus, spec.memory_gb, spec.image, job.rank, spec.team, inside, home)

    def _stop(self, change: Change, job: Job, number: int, note: str) -> bool:
        task = change.task(job, number)
        if task.state is not TaskState.ACTIVE:
            return False
        if not change.room(0 if change.has_chunk(job, number) else 1, 0):
            return False
        after = TaskRecord(TaskState.STOPPING, task.attempt, task.machine, task.failures, note[:24], task.placed_s)
        change.set_task(job, number, after)
        change.notes.append(f"{job.id}/{number}#{task.attempt} on {task.machine} is to stop: {note}")
        return True

    # Placing -------------------------------------------------------------------------------------------------

    def slots(self, guaranteed: set[str]) -> dict[str, Slot]:
        """The machines that may be offered: in use and, in our own part, heard in this epoch."""
        slots: dict[str, Slot] = {}
        for name, record in self.picture.machines.items():
            kind = self.types.get(record.type)
            if kind is None or record.use is not MachineUse.UP or name in self.ledger.machine_puts:
                continue
            owner = self.membership.owner(name) or ""
            mine = owner == self.node.name
            images = self._images.setdefault(name, {})
            if mine:
                machine = self.keeper.machines.get(name)
                # A taker-over offers a machine only after its report.
                if machine is None or machine.report is None or machine.suspect:
                    continue
                images.update(machine.images)
            residents = [
                self._resident(self.picture.jobs[job_name], number, task, guaranteed)
                for (job_name, number), task in self.picture.on_machine.get(name, {}).items()
            ]
            slot = Slot(
                name,
                record.zone,
                record.spot,
                mine,
                owner,
                kind.cpus,
                kind.gpus,
                kind.memory_gb,
                set(images),
                residents,
            )
            slot.count(self.line)
            slots[name] = slot
        for name in [name for name in self._images if name not in self.picture.machines]:
            del self._images[name]
        return slots

    def _resident(self, job: Job, number: int, task: TaskRecord, guaranteed: set[str]) -> Resident:
        spec = job.spec
        stopping = task.state is TaskState.STOPPING or job.cancelled
        return Resident(job.id, number, spec.cpus, spec.gpus, spec.memory_gb, job.rank, spec.team,
                        job.id in guaranteed, task.placed_s, stopping,
                        job.occupied if spec.kind is Kind.GANG else 1)  # fmt: skip

    def place(self, change: Change) -> None:
        """Place our waiting tasks.

        The plan is made for all waiting work in one order, other homes' too, and only our part of it is carried
        out: what others are about to take is left to them. Without this two homes took the same room, and room freed
        by an eviction went to the next borrower, who was evicted again.
        """
        me = self.node.name
        waiting = [job for job in self.picture.jobs.values() if job.queued_count]
        self.waits = {name: why for name, why in self.waits.items() if name in self.picture.jobs}
        homes = {job.id: self.membership.job_home(job.spec) or "" for job in waiting}
        if me not in homes.values():
            return
        guaranteed = self.picture.guaranteed()
        slots = self.slots(guaranteed)
        most = MOST_PER_ROUND
        for job in self.order(waiting, guaranteed):
            place = self._place_gang if job.spec.kind is Kind.GANG else self._place_job
            most -= place(change, job, job.id in guaranteed, homes[job.id], slots, most)
            if most <= 0:
                break

    def _place_job(self, change: Change, job: Job, inside: bool, home: str, slots: dict[str, Slot], most: int) -> int:
        """Place one job's waiting tasks as far as they go, or only set the room aside if it is another home's job."""
        spec = job.spec
        ours = home == self.node.name
        room = min(change.team_room(job), most)
        why = ""
        zones = self.zones_used(job)
        cap = spec.zone_cap()
        need = self._need(job, inside, home)
        usable = [
            slot for slot in slots.values()
            if self.allowed(spec, self.picture.machines[slot.machine].type, slot.zone, slot.spot)
        ]  # fmt: skip
        if spec.one_zone:
            usable = self._one_zone(usable, zones, need, job)
        taken = evicted = 0
        for number in job.queued_tasks():
            if taken >= room:
                why = "the team's limit is used up"
                break
            before = change.task(job, number)
            if before.state is not TaskState.QUEUED or not self._due(job.id, number, before):
                continue
            there = [slot for slot in usable if zones.get(slot.zone, 0) < cap]
            if before.failures:
                there = [slot for slot in there if not before.note.endswith(slot.machine)] or there
            offer = self._choose(need, there)
            if offer is None:
                why = "no machine has room" if there else "no allowed machine is up"
                break
            slot = offer.slot
            taken += 1
            zones[slot.zone] = zones.get(slot.zone, 0) + 1
            if offer.victims:
                evicted += self._evict(change, job, need, offer, ours)
                why = "waiting for evicted work to stop"
            elif not slot.fits(need):
                why = "waiting for evicted work to stop"
                self._claim(slot, need)
            else:
                if ours and not self._put(change, job, number, before, slot):
                    ours, why = False, "about to be placed"
                slot.take(need, self.line)
                slot.residents.append(
                    Resident(job.id, number, spec.cpus, spec.gpus, spec.memory_gb, job.rank, spec.team, inside, 1 << 40)
                )
        if home == self.node.name:
            if why:
                self.waits[job.id] = why
            else:
                self.waits.pop(job.id, None)
            if evicted:
                # Recorded once per job and round.
                log.info("%s evicts %d tasks", job.id, evicted)
        return taken

    def _place_gang(self, change: Change, job: Job, inside: bool, home: str, slots: dict[str, Slot], most: int) -> int:
        """Place all of a gang's tasks in one transaction, or none; room is made for it only if all then fit."""
        tasks = list(job.queued_tasks())
        if len(tasks) + job.done < job.spec.tasks:
            self.waits[job.id] = "waiting for the rest of the gang to stop"
            return 0
        if len(tasks) > min(change.team_room(job), most):
            self.waits[job.id] = "the team's limit leaves no room for the whole gang"
            return 0
        need = self._need(job, inside, home)
        kept = {name: slot.room() for name, slot in slots.items()}
        offers, pending = self._gang_offers(job, need, len(tasks), list(slots.values()))
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
        zones, cap = self.zones_used(job), job.spec.zone_cap()
        usable = [
            slot
            for slot in slots
            if self.allowed(job.spec, self.picture.machines[slot.machine].type, slot.zone, slot.spot)
        ]
        if job.spec.one_zone:
            usable = self._one_zone(usable, zones, need, job)
        offers: list[Offer] = []
        pending = False
        while len(offers) < count:
            offer = self._choose(need, [slot for slot in usable if zones.get(slot.zone, 0) < cap])
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
        for job in self.picture.jobs.values():
            if job.spec.kind is not Kind.GANG or job.cancelled or not job.queued_count or not job.occupied:
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
        # Another part's room is taken only by a write that changes the machine's record.
        foreign = bump and not slot.mine and key not in change.puts
        teams = 0 if change.has_team(job.spec.team) else 1
        if not change.room((0 if change.has_chunk(job, number) else 1) + foreign, teams, 1):
            return False
        change.require(key)
        if foreign:
            change.put(key, self.picture.machines[slot.machine])
        attempt = before.attempt + 1
        now_s = int(self.node.wall.timestamp())
        change.set_task(job, number, TaskRecord(TaskState.ACTIVE, attempt, slot.machine, before.failures, "", now_s))
        change.notes.append(f"{job.id}/{number}#{attempt} goes to {slot.machine}")
        self._images.setdefault(slot.machine, {})[job.spec.image] = None
        return True

    def _choose(self, need: Need, slots: list[Slot]) -> Offer | None:
        if need.rank <= self.line:
            fitting = any(slot.fits(need) for slot in slots)
            if not fitting:
                for slot in slots:
                    if slot.will_fit(need):
                        return Offer(slot, [])
            return self.low.choose(need, self.high.offers(need, slots))
        offer = self.low.place(need, slots)
        if offer is not None and offer.victims:
            for slot in slots:
                if slot.will_fit(need):
                    return Offer(slot, [])
        return offer

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
