"""Gangs: all tasks in one transaction, or none."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import Change
from gladecroft.coordination.context import Node
from gladecroft.coordination.scheduling.candidate_cache import Floor
from gladecroft.coordination.scheduling.evictor import Stops
from gladecroft.coordination.scheduling.placement import Need, Offer, Ranking, Slot
from gladecroft.coordination.scheduling.placement_writer import Writer
from gladecroft.coordination.scheduling.selection import Chooser, claim, need_of, one_zone, zone_room
from gladecroft.coordination.state_writer import Ledger

log = logging.getLogger(__name__)


class Gangs:
    def __init__(
        self,
        node: Node,
        ledger: Ledger,
        floor: Floor,
        chooser: Chooser,
        stops: Stops,
        writer: Writer,
        wait: Callable[[str, str], None],
    ) -> None:
        self.node = node
        self.picture = node.picture
        self.ledger = ledger
        self.floor = floor
        self.chooser = chooser
        self.stops = stops
        self.writer = writer
        self.wait = wait

    def place(self, change: Change, job: Job, inside: bool, home: str, most: int) -> int:
        """Place all of a gang's tasks in one transaction, or none; room is made for it only if all then fit."""
        tasks = list(job.queued_tasks())
        if len(tasks) + job.done < job.spec.tasks:
            self.wait(job.id, "waiting for the rest of the gang to stop")
            return 0
        if len(tasks) > min(change.team_room(job), most):
            self.wait(job.id, "the team's limit leaves no room for the whole gang")
            return 0
        need = need_of(job, inside, home)
        slots = self.floor.slots
        usable = self.floor.usable(job)
        kept = {slot.machine: slot.room() for slot in usable}
        offers, pending = self._gang_offers(job, need, len(tasks), usable)
        for offer in offers:
            self.floor.plan_on(offer.slot)
        if len(offers) < len(tasks):
            for name, room in kept.items():
                slots[name].set_room(room)
            for offer in offers:
                for victim in offer.victims:
                    victim.stopping = False
            self.wait(job.id, "no room for the whole gang")
            return 0
        if home != self.node.name:
            return len(tasks)
        if not self.ledger.claimed(job.spec.team):
            self.wait(job.id, "about to be placed")
            return len(tasks)
        if pending:
            self.wait(job.id, "waiting for evicted work to stop")
            victims = [victim for offer in offers for victim in offer.victims]
            stopped = sum(
                self.stops.stop_with_gang(change, self.picture.jobs[victim.job], victim.number, f"evicted for {job.id}")
                for victim in victims
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
            self.wait(job.id, "about to be placed")
            return len(tasks)
        self.wait(job.id, "")
        for number, offer in zip(tasks, offers, strict=True):
            self.writer.put(change, job, number, change.task(job, number), offer.slot, bump)
        return len(tasks)

    def _gang_offers(self, job: Job, need: Need, count: int, slots: list[Slot]) -> tuple[list[Offer], bool]:
        """An offer for each task, as far as they go, with their room set aside, and whether any room must be freed."""
        zones, cap = zone_room(self.picture, job)
        usable = one_zone(slots, zones) if job.spec.one_zone else slots
        offers: list[Offer] = []
        pending = False
        while len(offers) < count:
            there = [slot for slot in usable if zones.get(slot.zone, 0) < cap]
            rank = self.chooser.high.rank if need.rank <= self.floor.line else self.chooser.low.rank
            offer = self.chooser.choose(need, Ranking(need, there, rank), there)
            if offer is None:
                break
            if offer.slot.fits(need):
                offer.slot.take(need, self.floor.line)
            else:
                pending = True
                for victim in offer.victims:
                    offer.slot.free_up(victim)
                claim(offer.slot, need)
            zones[offer.slot.zone] = zones.get(offer.slot.zone, 0) + 1
            offers.append(offer)
        return offers, pending
