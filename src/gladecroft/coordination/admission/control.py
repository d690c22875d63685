"""Keeps the agreement on who comes first in an overload: the leader writes it, all go by it."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.workload import JobGroup
from gladecroft.coordination.admission.drf import ResourceVector
from gladecroft.coordination.admission.fair_share import (
    FairShare,
    GroupDemand,
    fair_shares,
    guarantees_exceed,
    is_short,
    starving,
)
from gladecroft.coordination.admission.tiers import PriorityTiers
from gladecroft.coordination.admission.window import TRIES_FOR, JobFlow, next_gate, parts_of_all, wait_of
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import operators, wire
from gladecroft.protocol.wire import JobSpec

log = logging.getLogger(__name__)

LOOK_EVERY = timedelta(seconds=1)
#: A group starves when it has been below its floor for its class's patience, but no sooner and no later than this. New
#: machines take half a minute: a class with an aim of two seconds is below its floor at every start.
LEAST_PATIENCE = timedelta(seconds=30)
LONGEST_PATIENCE = timedelta(seconds=60)
#: The record is written at most this often, and counts for this long after that. So a change of owner costs some
#: generations at the most, and a record that nobody renews is soon none.
WRITE_EVERY = timedelta(seconds=5)
COUNTS_FOR = timedelta(seconds=30)
#: Once there has been enough for all for this long the agreement ends.
CALM = timedelta(seconds=10)
#: A share that has moved by less is not written anew.
SAME = 0.1
#: Beyond this part of the unfinished jobs that a controller has memory for, submissions are taken by each group's part
#: of most of them: what comes while a generation is written needs room too.
MANY = 0.5
MOST = 0.75
#: Bytes of a record that are left to what is not groups.
HEAD = 300


class AdmissionControl:
    """``capacity``: cores, cards and GB of the machines that are up or coming. ``patience``: seconds, by class."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        capacity: Callable[[], ResourceVector],
        patience: Callable[[str], float],
        most_jobs: int,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self._capacity = capacity
        self._patience = patience
        self._most_jobs = most_jobs
        #: Jobs that had come and gone of each group when the record was last written.
        self._flow: tuple[dict[JobGroup, int], dict[JobGroup, int]] = ({}, {})
        self._looked_at = timedelta(days=-1)
        self._written_at = timedelta(days=-1)
        self._short_at = timedelta(days=-1)
        #: Since when each group has been below its floor.
        self._since: dict[JobGroup, timedelta] = {}
        self._led = False
        #: What is to be written next, whether it is still to be sent, and whether it is on its way.
        self._next: bytes | None = None
        self._unsent = self._busy = False
        self._send_at = timedelta()
        #: Once some have starved all go by their floors until there is enough for all again: also who comes later.
        self._pressed = False

    def record(self) -> rec.AdmissionRecord | None:
        """What is agreed now. Without news of it a controller goes by the usual order."""
        record = self.cluster_state.admission
        if record is None or record.until_s <= self.context.wall_time.timestamp():
            return None
        return record

    def tiers(self) -> PriorityTiers | None:
        """What the agreement makes of one round; None: nothing."""
        record = self.record()
        return (
            None
            if record is None
            else PriorityTiers(record, self.cluster_state.workload.groups, self.cluster_state.teams_over_guarantee)
        )

    def epoch_changed(self) -> None:
        """Who has just come to lead goes on with what is agreed."""
        epoch = self.cluster_state.epoch
        leads = epoch is not None and epoch.leader == self.context.name
        if not (leads and self._led):
            self._since.clear()
            self._pressed = self.record() is not None
            self._unsent = False
            self._note_flow()
        self._led = leads

    def tick(self) -> None:
        context = self.context
        if not self.membership.is_leader():
            return
        if self._unsent and context.now >= self._send_at:
            self._send()
        if context.now - self._looked_at < LOOK_EVERY:
            return
        self._looked_at = context.now
        if not self.cluster_state.queued_jobs and self.cluster_state.admission is None:
            self._since.clear()
            return
        self._look()

    def _look(self) -> None:
        now = self.context.now
        held = {
            group: GroupDemand((*use.used,), (*use.queued,))
            for group, use in self.cluster_state.workload.groups.items()
        }
        capacity = self._capacity()
        many = len(self.cluster_state.jobs) > MANY * self._most_jobs
        if is_short(held, capacity) or many:
            self._short_at = now
        elif now - self._short_at >= CALM:
            self._since.clear()
            self._pressed = False
            if self.cluster_state.admission is not None:
                self._put(None)
            return
        shares = fair_shares(held, self.cluster_state.limits, capacity)
        below = starving(held, shares, capacity, self.cluster_state.limits)
        self._since = {group: self._since.get(group, now) for group in below}
        for group, since in self._since.items():
            patience = timedelta(seconds=min(self._patience(group[1]), LONGEST_PATIENCE.total_seconds()))
            if now - since >= max(LEAST_PATIENCE, patience):
                self._pressed = True
        self._pressed |= many
        if self._pressed:
            self._agree(held, shares, guarantees_exceed(held, self.cluster_state.limits, capacity))

    def _agree(self, held: dict[JobGroup, GroupDemand], shares: dict[JobGroup, FairShare], scarce: bool) -> None:
        """Write who comes first and who last, if that differs from what is agreed."""
        # All are named: who has more than its share now may be below it in a second, and who is not named would go on
        # evicting those that are. Those that lack most stand first, should a value not hold all.
        order = sorted(shares, key=lambda group: (held[group].used[0] / max(shares[group].floor, 1e-9), group))
        gates = self._gates()
        groups = [rec.GroupShare(*group, shares[group].floor, shares[group].share, *gates[group]) for group in order]
        now, wall = self.context.now, int(self.context.wall_time.timestamp())
        before = self.record()
        lasts = before is not None and before.until_s - wall > COUNTS_FOR.total_seconds() / 2
        if now - self._written_at < WRITE_EVERY:
            return
        shedding = any(group.width < 1.0 for group in groups)
        if lasts and not shedding and before is not None and _alike(before.groups, groups):
            return
        record = rec.AdmissionRecord(
            1 if self.cluster_state.admission is None else self.cluster_state.admission.generation + 1,
            "shedding" if shedding else "shaping",
            wall if before is None else before.since_s,
            wall + int(COUNTS_FOR.total_seconds()),
            _fitting(groups, self.cluster_state.max_value_bytes - HEAD),
            secrets.token_hex(8) if before is None else before.salt,
            scarce,
        )
        self._put(record)

    def _gates(self) -> dict[JobGroup, tuple[float, float, float]]:
        """Whose submissions are taken next, by how many jobs each group has, and how fast they come and end."""
        waiting = self.cluster_state.workload
        jobs = {group: use.jobs for group, use in waiting.groups.items()}
        if sum(jobs.values()) <= MANY * self._most_jobs:
            return dict.fromkeys(jobs, (0.0, 1.0, 0.0))
        parts = parts_of_all(jobs, int(MOST * self._most_jobs))
        span = max((self.context.now - self._written_at).total_seconds(), 1.0)
        known = self._shares()
        came, gone = self._flow
        return {
            group: next_gate(
                known.get(group),
                JobFlow(
                    count,
                    parts[group],
                    max(0, waiting.arrivals[group] - came.get(group, 0)) / span,
                    max(0, waiting.departures[group] - gone.get(group, 0)) / span,
                ),
                WRITE_EVERY.total_seconds(),
            )
            for group, count in jobs.items()
        }

    def _note_flow(self) -> None:
        self._flow = (dict(self.cluster_state.workload.arrivals), dict(self.cluster_state.workload.departures))

    def _shares(self) -> dict[JobGroup, rec.GroupShare]:
        record = self.record()
        return {} if record is None else {(each.team, each.job_class): each for each in record.groups}

    def retry_delay(self, spec: JobSpec) -> int | None:
        """None if a new job's submission is taken, else after how many seconds to try again: the same at every
        controller that goes by the same generation."""
        record = self.record()
        if record is None or record.level != "shedding":
            return None
        share = self._shares().get((spec.team, spec.job_class))
        return None if share is None else wait_of(share, record.salt, spec.id)

    def show(self) -> operators.AdmissionStatus:
        """What is agreed and what each group has, those first that wait for most."""
        record, shares = self.record(), self._shares()
        groups = []
        for group, use in self.cluster_state.workload.groups.items():
            share = shares.get(group)
            shown = operators.GroupStatus(*group, use.jobs, round(use.used[0], 2), round(use.queued[0], 2))
            if share is not None:
                taken = 1.0 if share.width >= 1.0 else round(min(1.0, share.sweep * TRIES_FOR), 3)
                shown = msgspec.structs.replace(shown, floor=share.floor, share=share.share, taken=taken)
            groups.append(shown)
        groups.sort(key=lambda each: (-each.waiting, each.team, each.job_class))
        if record is None:
            return operators.AdmissionStatus("open", 0, 0, 0, groups)
        return operators.AdmissionStatus(record.level, record.generation, record.since_s, record.until_s, groups)

    def _put(self, record: rec.AdmissionRecord | None) -> None:
        """Write what is next. What is agreed before counts for some time, should there be no change to be had."""
        self._written_at = self.context.now
        self._note_flow()
        self._next = None if record is None else msgspec.json.encode(record)
        self._unsent = True
        self._send()

    def _send(self) -> None:
        """Commit what is next by itself: one change in five seconds. In a flood a leader that is no team's home may not
        come to a transaction of its ledger for minutes, since submissions take its changes one by one.

        It rests on the epoch and on the record that it follows. One whose outcome is not known can do no harm: if it
        was executed the watch tells, if it comes later its condition fails.
        """
        context, value = self.context, self._next
        conditions = [wire.Condition(key, self.cluster_state.version(key)) for key in (rec.EPOCH, rec.ADMISSION)]
        op = wire.Delete(rec.ADMISSION) if value is None else wire.Put(rec.ADMISSION, msgspec.Raw(value))

        def then(status: int, body: bytes) -> None:
            self._busy = False
            context.count_writes("admission" if status == 200 else f"refused ({status})")
            if status == 200:
                self.cluster_state.apply(rec.ADMISSION, value, wire.decode(wire.TxnReply, body).revision)
                self._tell()
            elif status in (-1, 429, 503):
                # Certainly not executed. At once it would be refused again.
                self._unsent, self._send_at = True, context.now + LOOK_EVERY

        body = wire.encode(wire.Txn(conditions, [op]))
        if not self._busy and context.call_state("POST", wire.COMMIT_PATH, body, then, writes=1):
            self._busy, self._unsent = True, False

    def _tell(self) -> None:
        record = self.cluster_state.admission
        if record is None:
            log.info("admission: there is enough for all again")
            return
        first = [f"{each.team}/{each.job_class} {each.floor:.0f} of {each.share:.0f}" for each in record.groups]
        log.info("admission: generation %d, %s: %s", record.generation, record.level, "; ".join(first[:6]))


def _alike(before: list[rec.GroupShare], now: list[rec.GroupShare]) -> bool:
    """Whether the same groups have nearly the same shares."""
    known = {(each.team, each.job_class): each for each in before}
    return known.keys() == {(each.team, each.job_class) for each in now} and all(
        abs(each.share - known[(each.team, each.job_class)].share) <= SAME * max(each.share, 1.0) for each in now
    )


def _fitting(groups: list[rec.GroupShare], most: int) -> list[rec.GroupShare]:
    """As many groups as a value holds, those first that lack most."""
    size = 0
    for index, group in enumerate(groups):
        size += len(msgspec.json.encode(group)) + 1
        if size > most:
            return groups[:index]
    return groups
