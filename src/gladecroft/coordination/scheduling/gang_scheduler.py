"""Gangs: all tasks in one transaction, or none."""

from __future__ import annotations

import logging
from collections.abc import Callable

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.scheduling.candidate_cache import CandidateCache
from gladecroft.coordination.scheduling.evictor import Evictor
from gladecroft.coordination.scheduling.placement import Candidate, Offer, Ranking, TaskRequest
from gladecroft.coordination.scheduling.placement_writer import PlacementWriter
from gladecroft.coordination.scheduling.selection import MachineSelector, claim, need_of, one_zone, zone_room
from gladecroft.coordination.state_writer import StateWriter

log = logging.getLogger(__name__)


class GangScheduler:
    def __init__(
        self,
        context: ControllerContext,
        state_writer: StateWriter,
        candidate_cache: CandidateCache,
        chooser: MachineSelector,
        stops: Evictor,
        writer: PlacementWriter,
        wait: Callable[[str, str], None],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.state_writer = state_writer
        self.candidate_cache = candidate_cache
        self.chooser = chooser
        self.stops = stops
        self.writer = writer
        self.wait = wait

    def place(self, txn: TransactionBuilder, job: Job, inside: bool, home: str, most: int) -> int:
        """Place all of a gang's tasks in one transaction, or none; room is made for it only if all then fit."""
        tasks = list(job.queued_numbers())
        if len(tasks) + job.done_count < job.spec.tasks:
            self.wait(job.id, "waiting for the rest of the gang to stop")
            return 0
        if len(tasks) > min(txn.remaining_team_tasks(job), most):
            self.wait(job.id, "the team's limit leaves no room for the whole gang")
            return 0
        need = need_of(job, inside, home)
        slots = self.candidate_cache.candidates
        usable = self.candidate_cache.usable(job)
        kept = {slot.machine: slot.room() for slot in usable}
        offers, pending = self._gang_offers(job, need, len(tasks), usable)
        for offer in offers:
            self.candidate_cache.plan_on(offer.slot)
        if len(offers) < len(tasks):
            for name, room in kept.items():
                slots[name].set_room(room)
            for offer in offers:
                for victim in offer.victims:
                    victim.stopping = False
            self.wait(job.id, "no room for the whole gang")
            return 0
        if home != self.context.name:
            return len(tasks)
        if not self.state_writer.holds_claim(job.spec.team):
            self.wait(job.id, "about to be placed")
            return len(tasks)
        if pending:
            self.wait(job.id, "waiting for evicted work to stop")
            victims = [victim for offer in offers for victim in offer.victims]
            stopped = sum(
                self.stops.stop_with_gang(
                    txn, self.cluster_state.jobs[victim.job], victim.number, f"evicted for {job.id}"
                )
                for victim in victims
            )
            if stopped:
                log.info("%s evicts %d tasks", job.id, stopped)
            return len(tasks)
        chunks = len({number // job.chunk_size for number in tasks})
        places = {offer.slot.machine for offer in offers}
        foreign = len({offer.slot.machine for offer in offers if not offer.slot.mine})
        # Where a transaction can't hold all the machine records, being conditional on them must do.
        bump = txn.has_room(chunks + foreign, 1, len(places))
        if not bump and not txn.has_room(chunks, 1, len(places)):
            self.wait(job.id, "about to be placed")
            return len(tasks)
        self.wait(job.id, "")
        for number, offer in zip(tasks, offers, strict=True):
            self.writer.put(txn, job, number, txn.task(job, number), offer.slot, bump)
        return len(tasks)

    def _gang_offers(self, job: Job, need: TaskRequest, count: int, slots: list[Candidate]) -> tuple[list[Offer], bool]:
        """An offer for each task, as far as they go, with their room set aside, and whether any room must be freed."""
        zones, cap = zone_room(self.cluster_state, job)
        usable = one_zone(slots, zones) if job.spec.one_zone else slots
        offers: list[Offer] = []
        pending = False
        while len(offers) < count:
            there = [slot for slot in usable if zones.get(slot.zone, 0) < cap]
            rank = self.chooser.high.sort_key if need.rank <= self.candidate_cache.line else self.chooser.low.sort_key
            offer = self.chooser.choose(need, Ranking(need, there, rank), there)
            if offer is None:
                break
            if offer.slot.fits(need):
                offer.slot.take(need, self.candidate_cache.line)
            else:
                pending = True
                for victim in offer.victims:
                    offer.slot.free_up(victim)
                claim(offer.slot, need)
            zones[offer.slot.zone] = zones.get(offer.slot.zone, 0) + 1
            offers.append(offer)
        return offers, pending
