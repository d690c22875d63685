"""Admission control under overload.

The leader watches for overload and publishes a record with each group's floor, fair share and admission window. All
controllers apply the record in force, so that they order queued work and refuse submissions alike.
"""

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
    guarantees_exceed_capacity,
    is_overloaded,
    starved_groups,
)
from gladecroft.coordination.admission.tiers import PriorityTiers
from gladecroft.coordination.admission.window import USER_RETRY_SECONDS, JobFlow, job_quotas, next_window, retry_delay
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import operators, wire
from gladecroft.protocol.wire import JobSpec

log = logging.getLogger(__name__)

EVALUATION_INTERVAL = timedelta(seconds=1)
#: Floors are enforced once a group has been below its floor for its class's target wait, limited to these bounds.
#: Machines take half a minute to boot, so a class with an objective of two seconds is below its floor at every start.
MIN_STARVATION_TIME = timedelta(seconds=30)
MAX_STARVATION_TIME = timedelta(seconds=60)
#: The record is published at most once per interval and expires after the TTL: a change of leader costs a few
#: generations at most, and a record that is no longer renewed soon has no effect.
PUBLISH_INTERVAL = timedelta(seconds=5)
RECORD_TTL = timedelta(seconds=30)
#: The record is deleted once there has been no overload for this long.
RECOVERY_TIME = timedelta(seconds=10)
#: Relative change of a share below which the record is not published again.
SHARE_TOLERANCE = 0.1
#: Fractions of the unfinished jobs that a controller has memory for. Above the threshold submissions are limited by
#: quotas, which add up to the target: jobs that arrive while a generation is being written need memory too.
SHEDDING_THRESHOLD = 0.5
SHEDDING_TARGET = 0.75
#: Bytes of a record that are kept free for its fields other than the groups.
RECORD_OVERHEAD_BYTES = 300


class AdmissionControl:
    """Publishes the admission record while this controller leads, and applies the record in force.

    ``fleet_capacity`` gives the resources of the machines that are up or booting, ``target_wait`` the seconds that a
    class's tasks may wait, ``max_jobs`` the unfinished jobs that a controller has memory for.
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        fleet_capacity: Callable[[], ResourceVector],
        target_wait: Callable[[str], float],
        max_jobs: int,
    ) -> None:
        self.context = context
        self.cluster_state = context.cluster_state
        self.membership = membership
        self._fleet_capacity = fleet_capacity
        self._target_wait = target_wait
        self._max_jobs = max_jobs
        #: Jobs that had arrived and finished, by group, when the record was last published.
        self._flow_snapshot: tuple[dict[JobGroup, int], dict[JobGroup, int]] = ({}, {})
        self._evaluated_at = timedelta(days=-1)
        self._published_at = timedelta(days=-1)
        self._overloaded_at = timedelta(days=-1)
        #: Since when each starved group has been below its floor.
        self._below_floor_since: dict[JobGroup, timedelta] = {}
        self._was_leader = False
        #: The encoded record to publish (None: to delete it), whether it must still be sent, and whether a commit is
        #: in flight.
        self._pending_value: bytes | None = None
        self._must_send = self._in_flight = False
        self._retry_at = timedelta()
        #: Set once a group has starved: from then on floors hold for all groups, also for new ones, until the
        #: overload ends.
        self._enforcing = False

    def active_record(self) -> rec.AdmissionRecord | None:
        """The record in force; None if there is none, or if it has expired because it was not renewed."""
        record = self.cluster_state.admission
        if record is None or record.until_s <= self.context.wall_time.timestamp():
            return None
        return record

    def tiers(self) -> PriorityTiers | None:
        """The tiers for one scheduling round; None if no record is in force."""
        record = self.active_record()
        return (
            None
            if record is None
            else PriorityTiers(record, self.cluster_state.workload.groups, self.cluster_state.teams_over_guarantee)
        )

    def epoch_changed(self) -> None:
        """Reset the state on a change of leader; a new leader continues with the record in force."""
        epoch = self.cluster_state.epoch
        leads = epoch is not None and epoch.leader == self.context.name
        if not (leads and self._was_leader):
            self._below_floor_since.clear()
            self._enforcing = self.active_record() is not None
            self._must_send = False
            self._snapshot_flow()
        self._was_leader = leads

    def tick(self) -> None:
        """Evaluate the load and publish the record if this controller leads."""
        context = self.context
        if not self.membership.is_leader():
            return
        if self._must_send and context.now >= self._retry_at:
            self._send()
        if context.now - self._evaluated_at < EVALUATION_INTERVAL:
            return
        self._evaluated_at = context.now
        if not self.cluster_state.queued_jobs and self.cluster_state.admission is None:
            self._below_floor_since.clear()
            return
        self._evaluate()

    def _evaluate(self) -> None:
        now = self.context.now
        demands = {
            group: GroupDemand((*use.used,), (*use.queued,))
            for group, use in self.cluster_state.workload.groups.items()
        }
        capacity = self._fleet_capacity()
        too_many_jobs = len(self.cluster_state.jobs) > SHEDDING_THRESHOLD * self._max_jobs
        if is_overloaded(demands, capacity) or too_many_jobs:
            self._overloaded_at = now
        elif now - self._overloaded_at >= RECOVERY_TIME:
            self._below_floor_since.clear()
            self._enforcing = False
            if self.cluster_state.admission is not None:
                self._publish(None)
            return
        shares = fair_shares(demands, self.cluster_state.limits, capacity)
        starved = starved_groups(demands, shares, capacity, self.cluster_state.limits)
        self._below_floor_since = {group: self._below_floor_since.get(group, now) for group in starved}
        for group, since in self._below_floor_since.items():
            wait = timedelta(seconds=min(self._target_wait(group[1]), MAX_STARVATION_TIME.total_seconds()))
            if now - since >= max(MIN_STARVATION_TIME, wait):
                self._enforcing = True
        self._enforcing |= too_many_jobs
        if self._enforcing:
            self._publish_shares(
                demands, shares, guarantees_exceed_capacity(demands, self.cluster_state.limits, capacity)
            )

    def _publish_shares(
        self, demands: dict[JobGroup, GroupDemand], shares: dict[JobGroup, FairShare], guarantees_exceed: bool
    ) -> None:
        """Publish floors, shares and windows if they differ from the record in force or it needs renewal."""
        # The record names all groups: one above its share may be below it a second later, and one that is not named
        # would go on evicting those that are. Those furthest below their floors come first, in case a value cannot hold
        # all of them.
        order = sorted(shares, key=lambda group: (demands[group].used[0] / max(shares[group].floor, 1e-9), group))
        windows = self._next_windows()
        groups = [rec.GroupShare(*group, shares[group].floor, shares[group].share, *windows[group]) for group in order]
        now, wall = self.context.now, int(self.context.wall_time.timestamp())
        previous = self.active_record()
        is_fresh = previous is not None and previous.until_s - wall > RECORD_TTL.total_seconds() / 2
        if now - self._published_at < PUBLISH_INTERVAL:
            return
        shedding = any(group.width < 1.0 for group in groups)
        if is_fresh and not shedding and previous is not None and _same_shares(previous.groups, groups):
            return
        record = rec.AdmissionRecord(
            1 if self.cluster_state.admission is None else self.cluster_state.admission.generation + 1,
            "shedding" if shedding else "shaping",
            wall if previous is None else previous.since_s,
            wall + int(RECORD_TTL.total_seconds()),
            _truncate_to_size(groups, self.cluster_state.max_value_bytes - RECORD_OVERHEAD_BYTES),
            secrets.token_hex(8) if previous is None else previous.salt,
            guarantees_exceed,
        )
        self._publish(record)

    def _next_windows(self) -> dict[JobGroup, tuple[float, float, float]]:
        """The admission window (begin, width, sweep) of each group for the next generation."""
        workload = self.cluster_state.workload
        jobs = {group: use.jobs for group, use in workload.groups.items()}
        if sum(jobs.values()) <= SHEDDING_THRESHOLD * self._max_jobs:
            return dict.fromkeys(jobs, (0.0, 1.0, 0.0))
        quotas = job_quotas(jobs, int(SHEDDING_TARGET * self._max_jobs))
        elapsed = max((self.context.now - self._published_at).total_seconds(), 1.0)
        shares = self._published_shares()
        arrived, finished = self._flow_snapshot
        return {
            group: next_window(
                shares.get(group),
                JobFlow(
                    count,
                    quotas[group],
                    max(0, workload.arrivals[group] - arrived.get(group, 0)) / elapsed,
                    max(0, workload.departures[group] - finished.get(group, 0)) / elapsed,
                ),
                PUBLISH_INTERVAL.total_seconds(),
            )
            for group, count in jobs.items()
        }

    def _snapshot_flow(self) -> None:
        self._flow_snapshot = (dict(self.cluster_state.workload.arrivals), dict(self.cluster_state.workload.departures))

    def _published_shares(self) -> dict[JobGroup, rec.GroupShare]:
        record = self.active_record()
        return {} if record is None else {(each.team, each.job_class): each for each in record.groups}

    def retry_delay(self, spec: JobSpec) -> int | None:
        """None if the submission of a new job is accepted, else the seconds after which to repeat it.

        All controllers that apply the same generation give the same answer.
        """
        record = self.active_record()
        if record is None or record.level != "shedding":
            return None
        share = self._published_shares().get((spec.team, spec.job_class))
        return None if share is None else retry_delay(share, record.salt, spec.id)

    def show(self) -> operators.AdmissionStatus:
        """The record in force and the use of each group, those with the most queued cores first."""
        record, shares = self.active_record(), self._published_shares()
        groups = []
        for group, use in self.cluster_state.workload.groups.items():
            share = shares.get(group)
            shown = operators.GroupStatus(*group, use.jobs, round(use.used[0], 2), round(use.queued[0], 2))
            if share is not None:
                admitted = 1.0 if share.width >= 1.0 else round(min(1.0, share.sweep * USER_RETRY_SECONDS), 3)
                shown = msgspec.structs.replace(shown, floor=share.floor, share=share.share, taken=admitted)
            groups.append(shown)
        groups.sort(key=lambda each: (-each.waiting, each.team, each.job_class))
        if record is None:
            return operators.AdmissionStatus("open", 0, 0, 0, groups)
        return operators.AdmissionStatus(record.level, record.generation, record.since_s, record.until_s, groups)

    def _publish(self, record: rec.AdmissionRecord | None) -> None:
        """Write the record, or delete it (None). Until a write succeeds the previous record stays in force."""
        self._published_at = self.context.now
        self._snapshot_flow()
        self._pending_value = None if record is None else msgspec.json.encode(record)
        self._must_send = True
        self._send()

    def _send(self) -> None:
        """Commit the pending value in a transaction of its own, which costs one write in five seconds.

        Under a burst of submissions, which use up the write budget one by one, the state writer of a leader that is no
        home controller may not get to a transaction for minutes.

        The transaction is conditional on the epoch and on the version of the previous record. An unknown outcome does
        no harm: if the commit was executed the watch delivers it, and if it arrives later its condition fails.
        """
        context, value = self.context, self._pending_value
        conditions = [wire.Condition(key, self.cluster_state.version(key)) for key in (rec.EPOCH, rec.ADMISSION)]
        op = wire.Delete(rec.ADMISSION) if value is None else wire.Put(rec.ADMISSION, msgspec.Raw(value))

        def then(status: int, body: bytes) -> None:
            self._in_flight = False
            context.count_writes("admission" if status == 200 else f"refused ({status})")
            if status == 200:
                self.cluster_state.apply(rec.ADMISSION, value, wire.decode(wire.TxnReply, body).revision)
                self._log_record()
            elif status in (-1, 429, 503):
                # Not executed; an immediate retry would be refused again.
                self._must_send, self._retry_at = True, context.now + EVALUATION_INTERVAL

        body = wire.encode(wire.Txn(conditions, [op]))
        if not self._in_flight and context.call_state("POST", wire.COMMIT_PATH, body, then, writes=1):
            self._in_flight, self._must_send = True, False

    def _log_record(self) -> None:
        record = self.cluster_state.admission
        if record is None:
            log.info("admission: overload is over, record deleted")
            return
        shares = [f"{each.team}/{each.job_class} {each.floor:.0f} of {each.share:.0f}" for each in record.groups]
        log.info("admission: generation %d, %s: %s", record.generation, record.level, "; ".join(shares[:6]))


def _same_shares(previous: list[rec.GroupShare], current: list[rec.GroupShare]) -> bool:
    """Whether both lists name the same groups with shares that differ by no more than the tolerance."""
    previous_shares = {(each.team, each.job_class): each for each in previous}
    return previous_shares.keys() == {(each.team, each.job_class) for each in current} and all(
        abs(each.share - previous_shares[(each.team, each.job_class)].share) <= SHARE_TOLERANCE * max(each.share, 1.0)
        for each in current
    )


def _truncate_to_size(groups: list[rec.GroupShare], max_bytes: int) -> list[rec.GroupShare]:
    """The longest prefix of the groups whose encoding takes at most ``max_bytes``."""
    size = 0
    for index, group in enumerate(groups):
        size += len(msgspec.json.encode(group)) + 1
        if size > max_bytes:
            return groups[:index]
    return groups
