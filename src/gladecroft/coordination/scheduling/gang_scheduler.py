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
    """Places gangs: jobs whose tasks must all run at the same time."""

    def __init__(
        self,
        context: ControllerContext,
        state_writer: StateWriter,
        candidate_cache: CandidateCache,
        selector: MachineSelector,
        evictor: Evictor,
        placement_writer: PlacementWriter,
        set_wait_reason: Callable[[str, str], None],
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.state_writer = state_writer
        self.candidate_cache = candidate_cache
        self.selector = selector
        self.evictor = evictor
        self.placement_writer = placement_writer
        self.set_wait_reason = set_wait_reason

    def place(self, txn: TransactionBuilder, job: Job, uses_guarantee: bool, home: str, max_tasks: int) -> int:
        """Place all of a gang's tasks in one transaction, or none.

        Other tasks are evicted only if the whole gang fits afterwards. ``home`` is the gang's home controller, which
        alone places it; if it is another one, capacity is only reserved in this round. Returns how many tasks were
        placed or had capacity reserved for them.
        """
        task_numbers = list(job.queued_task_numbers())
        if len(task_numbers) + job.done_count < job.spec.tasks:
            self.set_wait_reason(job.id, "waiting for the rest of the gang to stop")
            return 0
        if len(task_numbers) > min(txn.remaining_team_tasks(job), max_tasks):
            self.set_wait_reason(job.id, "the team's limit leaves no room for the whole gang")
            return 0
        request = task_request(job, uses_guarantee, home)
        candidates = self.candidate_cache.candidates
        usable = self.candidate_cache.usable(job)
        snapshots = {candidate.machine_id: candidate.snapshot() for candidate in usable}
        offers, must_wait = self._find_offers(job, request, len(task_numbers), usable)
        for offer in offers:
            self.candidate_cache.invalidate(offer.candidate)
        if len(offers) < len(task_numbers):
            for machine_id, snapshot in snapshots.items():
                candidates[machine_id].restore(snapshot)
            for offer in offers:
                for victim in offer.victims:
                    victim.stopping = False
            self.set_wait_reason(job.id, "no room for the whole gang")
            return 0
        if home != self.context.name:
            return len(task_numbers)
        if not self.state_writer.holds_claim(job.spec.team):
            self.set_wait_reason(job.id, "about to be placed")
            return len(task_numbers)
        if must_wait:
            self.set_wait_reason(job.id, "waiting for evicted work to stop")
            victims = [victim for offer in offers for victim in offer.victims]
            stopped = sum(
                self.evictor.stop_task_or_gang(
                    txn, self.cluster_state.jobs[victim.job_id], victim.task_number, f"evicted for {job.id}"
                )
                for victim in victims
            )
            if stopped:
                log.info("%s evicts %d tasks", job.id, stopped)
            return len(task_numbers)
        chunk_count = len({task_number // job.chunk_size for task_number in task_numbers})
        machine_ids = {offer.candidate.machine_id for offer in offers}
        not_owned_count = len({offer.candidate.machine_id for offer in offers if not offer.candidate.owned})
        # If writes of all machine records do not fit into the transaction, it only requires their known versions.
        write_machine_records = txn.has_room(chunk_count + not_owned_count, 1, len(machine_ids))
        if not write_machine_records and not txn.has_room(chunk_count, 1, len(machine_ids)):
            self.set_wait_reason(job.id, "about to be placed")
            return len(task_numbers)
        self.set_wait_reason(job.id, "")
        for task_number, offer in zip(task_numbers, offers, strict=True):
            self.placement_writer.write(
                txn, job, task_number, txn.task(job, task_number), offer.candidate, write_machine_records
            )
        return len(task_numbers)

    def _find_offers(
        self, job: Job, request: TaskRequest, count: int, candidates: list[Candidate]
    ) -> tuple[list[Offer], bool]:
        """Find an offer for each task and reserve its capacity; end at the first task without an offer.

        Returns the offers found, and whether any of them must wait for other tasks to stop.
        """
        tasks_by_zone, max_per_zone = zone_counts_and_cap(self.cluster_state, job)
        usable = restrict_to_one_zone(candidates, tasks_by_zone) if job.spec.one_zone else candidates
        offers: list[Offer] = []
        must_wait = False
        while len(offers) < count:
            open_candidates = [candidate for candidate in usable if tasks_by_zone.get(candidate.zone, 0) < max_per_zone]
            sort_key = (
                self.selector.high_priority_placer.sort_key
                if request.rank <= self.candidate_cache.max_high_priority_rank
                else self.selector.low_priority_placer.sort_key
            )
            offer = self.selector.select(request, Ranking(request, open_candidates, sort_key), open_candidates)
            if offer is None:
                break
            if offer.candidate.fits(request):
                offer.candidate.allocate(request, self.candidate_cache.max_high_priority_rank)
            else:
                must_wait = True
                for victim in offer.victims:
                    offer.candidate.mark_stopping(victim)
                reserve(offer.candidate, request)
            tasks_by_zone[offer.candidate.zone] = tasks_by_zone.get(offer.candidate.zone, 0) + 1
            offers.append(offer)
        return offers, must_wait
