"""Gang scheduling: places all tasks of a gang in one transaction, or none."""

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
from gladecroft.coordination.scheduling.selection import (
    MachineSelector,
    reserve,
    restrict_to_one_zone,
    task_request,
    zone_counts_and_cap,
)
from gladecroft.coordination.state_writer import StateWriter

log = logging.getLogger(__name__)


class GangScheduler:
    """Places gangs: jobs whose tasks run only all together."""

    def __init__(
        self,
        context: ControllerContext,
        state_writer: StateWriter,
        candidate_cache: CandidateCache,
        selector: MachineSelector,
        evictor: Evictor,
        writer: PlacementWriter,
        set_wait_reason: Callable[[str, str], None],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.state_writer = state_writer
        self.candidate_cache = candidate_cache
        self.selector = selector
        self.evictor = evictor
        self.writer = writer
        self.set_wait_reason = set_wait_reason

    def place(self, txn: TransactionBuilder, job: Job, guaranteed: bool, home: str, max_tasks: int) -> int:
        """Place all of a gang's tasks in one transaction, or none.

        Other tasks are evicted for it only if the whole gang then fits. Returns how many tasks were placed or had
        capacity reserved for them in this round.
        """
        tasks = list(job.queued_numbers())
        if len(tasks) + job.done_count < job.spec.tasks:
            self.set_wait_reason(job.id, "waiting for the rest of the gang to stop")
            return 0
        if len(tasks) > min(txn.remaining_team_tasks(job), max_tasks):
            self.set_wait_reason(job.id, "the team's limit leaves no room for the whole gang")
            return 0
        request = task_request(job, guaranteed, home)
        candidates = self.candidate_cache.candidates
        usable = self.candidate_cache.usable(job)
        snapshots = {candidate.machine: candidate.snapshot() for candidate in usable}
        offers, must_wait = self._find_offers(job, request, len(tasks), usable)
        for offer in offers:
            self.candidate_cache.mark_planned(offer.candidate)
        if len(offers) < len(tasks):
            for name, snapshot in snapshots.items():
                candidates[name].restore(snapshot)
            for offer in offers:
                for victim in offer.victims:
                    victim.stopping = False
            self.set_wait_reason(job.id, "no room for the whole gang")
            return 0
        if home != self.context.name:
            return len(tasks)
        if not self.state_writer.holds_claim(job.spec.team):
            self.set_wait_reason(job.id, "about to be placed")
            return len(tasks)
        if must_wait:
            self.set_wait_reason(job.id, "waiting for evicted work to stop")
            victims = [victim for offer in offers for victim in offer.victims]
            stopped = sum(
                self.evictor.stop_task_or_gang(
                    txn, self.cluster_state.jobs[victim.job], victim.number, f"evicted for {job.id}"
                )
                for victim in victims
            )
            if stopped:
                log.info("%s evicts %d tasks", job.id, stopped)
            return len(tasks)
        chunks = len({number // job.chunk_size for number in tasks})
        machines = {offer.candidate.machine for offer in offers}
        not_owned = len({offer.candidate.machine for offer in offers if not offer.candidate.owned})
        # If the transaction can't hold writes of all machine records, it is only conditional on them.
        write_machine_records = txn.has_room(chunks + not_owned, 1, len(machines))
        if not write_machine_records and not txn.has_room(chunks, 1, len(machines)):
            self.set_wait_reason(job.id, "about to be placed")
            return len(tasks)
        self.set_wait_reason(job.id, "")
        for number, offer in zip(tasks, offers, strict=True):
            self.writer.write(txn, job, number, txn.task(job, number), offer.candidate, write_machine_records)
        return len(tasks)

    def _find_offers(
        self, job: Job, request: TaskRequest, count: int, candidates: list[Candidate]
    ) -> tuple[list[Offer], bool]:
        """Find an offer for each task and reserve its capacity, until one finds none.

        Returns the offers, and whether any of them must wait for running tasks to stop.
        """
        zones, cap = zone_counts_and_cap(self.cluster_state, job)
        usable = restrict_to_one_zone(candidates, zones) if job.spec.one_zone else candidates
        offers: list[Offer] = []
        must_wait = False
        while len(offers) < count:
            open_candidates = [candidate for candidate in usable if zones.get(candidate.zone, 0) < cap]
            sort_key = (
                self.selector.high_priority.sort_key
                if request.rank <= self.candidate_cache.priority_line
                else self.selector.low_priority.sort_key
            )
            offer = self.selector.select(request, Ranking(request, open_candidates, sort_key), open_candidates)
            if offer is None:
                break
            if offer.candidate.fits(request):
                offer.candidate.allocate(request, self.candidate_cache.priority_line)
            else:
                must_wait = True
                for victim in offer.victims:
                    offer.candidate.mark_stopping(victim)
                reserve(offer.candidate, request)
            zones[offer.candidate.zone] = zones.get(offer.candidate.zone, 0) + 1
            offers.append(offer)
        return offers, must_wait
