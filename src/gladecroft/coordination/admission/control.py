"""Admission control under overload.

The leader detects overload and publishes an admission record with the floor, the fair share and the admission window of
each group (team and job class). All controllers apply the record in force, so they order queued jobs and reject
submissions alike. Each publication is a new *generation* of the record.
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
    guaranteed_demand_exceeds_capacity,
    is_overloaded,
    starved_groups,
)
from gladecroft.coordination.admission.tiers import AdmissionTiers
from gladecroft.coordination.admission.window import USER_RETRY_SECONDS, JobFlow, job_quotas, next_window, retry_delay
from gladecroft.coordination.context import ControllerContext
from gladecroft.coordination.membership import Membership
from gladecroft.protocol import operators, wire
from gladecroft.protocol.wire import JobSpec

log = logging.getLogger(__name__)

EVALUATION_INTERVAL = timedelta(seconds=1)
#: Floors are enforced once a group has been starved (see ``starved_groups``) for the target wait of its class, clamped
#: to these bounds. Machines take half a minute to boot, so a class with a target wait of two seconds is starved
#: whenever it begins to queue work.
MIN_STARVATION_TIME = timedelta(seconds=30)
MAX_STARVATION_TIME = timedelta(seconds=60)
#: The record is published at most once per interval and expires after the TTL. The TTL covers several intervals, so the
#: record survives a change of leader, and a record that is no longer renewed soon loses its effect.
PUBLISH_INTERVAL = timedelta(seconds=5)
RECORD_TTL = timedelta(seconds=30)
#: The record is deleted once there has been no overload for this long.
RECOVERY_TIME = timedelta(seconds=10)
#: Relative change of a share up to which the record is not published again before it needs renewal.
SHARE_TOLERANCE = 0.1
#: Fractions of the largest number of unfinished jobs that a controller has memory for. Above the threshold, submissions
#: are limited by quotas that add up to the target. The target is below 1 because jobs that arrive while the next
#: generation is being written need memory too.
SHEDDING_THRESHOLD = 0.5
SHEDDING_TARGET = 0.75
#: Bytes of the record that are reserved for its fields other than the groups.
RECORD_OVERHEAD_BYTES = 300


class AdmissionControl:
    """Publishes the admission record while this controller leads, and applies the record in force.

    ``fleet_capacity`` returns the resources of the machines that are up or booting, ``target_wait`` the seconds that
    the tasks of a class may wait. ``max_jobs`` is the number of unfinished jobs that a controller has memory for.
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
        #: The numbers of jobs that had arrived and that had finished, by group, when the record was last published or
        #: this controller last became leader.
        self._flow_snapshot: tuple[dict[JobGroup, int], dict[JobGroup, int]] = ({}, {})
        self._evaluated_at = timedelta(days=-1)
        self._published_at = timedelta(days=-1)
        self._overloaded_at = timedelta(days=-1)
        #: The time at which each group that is starved now became starved.
        self._starved_since: dict[JobGroup, timedelta] = {}
        self._was_leader = False
        #: The encoded record to publish (None: delete the record), whether it must still be sent, and whether a commit
        #: is in flight.
        self._pending_value: bytes | None = None
        self._must_send = self._in_flight = False
        self._retry_at = timedelta()
        #: Set once a group has been starved for long enough or the number of unfinished jobs exceeds the threshold.
        #: From then on the floors of all groups are enforced, also those of new groups, until the overload ends.
        self._enforcing = False

    def active_record(self) -> rec.AdmissionRecord | None:
        """Return the record in force; None if there is none, or if it has expired because it was not renewed."""
        record = self.cluster_state.admission
        if record is None or record.until_s <= self.context.wall_time.timestamp():
            return None
        return record

    def tiers(self) -> AdmissionTiers | None:
        """Return the tiers for one scheduling round; None if no record is in force."""
        record = self.active_record()
        return (
            None
            if record is None
            else AdmissionTiers(record, self.cluster_state.workload.groups, self.cluster_state.teams_over_guarantee)
        )

    def epoch_changed(self) -> None:
        """Reset the state unless this controller led before and still leads.

        A new leader continues with the record in force.
        """
        epoch = self.cluster_state.epoch
        is_leader = epoch is not None and epoch.leader == self.context.name
        if not (is_leader and self._was_leader):
            self._starved_since.clear()
            self._enforcing = self.active_record() is not None
            self._must_send = False
            self._snapshot_flow()
        self._was_leader = is_leader

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
            self._starved_since.clear()
            return
        self._evaluate()

    def _evaluate(self) -> None:
        now = self.context.now
        demands = {
            group: GroupDemand((*usage.used,), (*usage.queued,))
            for group, usage in self.cluster_state.workload.groups.items()
        }
        capacity = self._fleet_capacity()
        too_many_jobs = len(self.cluster_state.jobs) > SHEDDING_THRESHOLD * self._max_jobs
        if is_overloaded(demands, capacity) or too_many_jobs:
            self._overloaded_at = now
        elif now - self._overloaded_at >= RECOVERY_TIME:
            self._starved_since.clear()
            self._enforcing = False
            if self.cluster_state.admission is not None:
                self._publish(None)
            return
        shares = fair_shares(demands, self.cluster_state.team_settings, capacity)
        starved = starved_groups(demands, shares, capacity, self.cluster_state.team_settings)
        self._starved_since = {group: self._starved_since.get(group, now) for group in starved}
        for group, since in self._starved_since.items():
            wait = timedelta(seconds=min(self._target_wait(group[1]), MAX_STARVATION_TIME.total_seconds()))
            if now - since >= max(MIN_STARVATION_TIME, wait):
                self._enforcing = True
        self._enforcing |= too_many_jobs
        if self._enforcing:
            self._publish_shares(
                demands, shares, guaranteed_demand_exceeds_capacity(demands, self.cluster_state.team_settings, capacity)
            )

    def _publish_shares(
        self, demands: dict[JobGroup, GroupDemand], shares: dict[JobGroup, FairShare], guaranteed_demand_exceeds: bool
    ) -> None:
        """Publish floors, shares and windows, at most once per ``PUBLISH_INTERVAL``.

        Without shedding, they are published only if they differ from the record in force or it needs renewal.
        """
        # The record lists all groups. A group above its share may be below it a second later, and a group that is not
        # listed would go on evicting tasks of the listed groups. The groups furthest below their floors come first,
        # since the list is truncated if it exceeds the size limit of a value in the state service.
        ordered_groups = sorted(
            shares, key=lambda group: (demands[group].used[0] / max(shares[group].floor_cpus, 1e-9), group)
        )
        windows = self._next_windows()
        groups = [
            rec.GroupShare(*group, shares[group].floor_cpus, shares[group].cpus, *windows[group])
            for group in ordered_groups
        ]
        now, now_wall_s = self.context.now, int(self.context.wall_time.timestamp())
        previous = self.active_record()
        is_fresh = previous is not None and previous.until_s - now_wall_s > RECORD_TTL.total_seconds() / 2
        if now - self._published_at < PUBLISH_INTERVAL:
            return
        shedding = any(group.width < 1.0 for group in groups)
        if is_fresh and not shedding and previous is not None and _same_shares(previous.groups, groups):
            return
        record = rec.AdmissionRecord(
            1 if self.cluster_state.admission is None else self.cluster_state.admission.generation + 1,
            "shedding" if shedding else "shaping",
            now_wall_s if previous is None else previous.since_s,
            now_wall_s + int(RECORD_TTL.total_seconds()),
            _truncate_to_size(groups, self.cluster_state.max_value_bytes - RECORD_OVERHEAD_BYTES),
            secrets.token_hex(8) if previous is None else previous.salt,
            guaranteed_demand_exceeds,
        )
        self._publish(record)

    def _next_windows(self) -> dict[JobGroup, tuple[float, float, float]]:
        """Return the admission window (begin, width, sweep) of each group for the next generation."""
        workload = self.cluster_state.workload
        jobs = {group: usage.jobs for group, usage in workload.groups.items()}
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
        """Return None if admission control accepts a new job, else the seconds after which to retry the submission.

        All controllers that apply the same generation return the same result.
        """
        record = self.active_record()
        if record is None or record.level != "shedding":
            return None
        group_share = self._published_shares().get((spec.team, spec.job_class))
        return None if group_share is None else retry_delay(group_share, record.salt, spec.id)

    def show(self) -> operators.AdmissionStatus:
        """Return the record in force and the usage of each group; the groups with the most queued cores come first."""
        record, shares = self.active_record(), self._published_shares()
        groups = []
        for group, usage in self.cluster_state.workload.groups.items():
            group_share = shares.get(group)
            shown = operators.GroupStatus(*group, usage.jobs, round(usage.used[0], 2), round(usage.queued[0], 2))
            if group_share is not None:
                admitted = (
                    1.0 if group_share.width >= 1.0 else round(min(1.0, group_share.sweep * USER_RETRY_SECONDS), 3)
                )
                shown = msgspec.structs.replace(
                    shown, floor=group_share.floor_cpus, share=group_share.share_cpus, taken=admitted
                )
            groups.append(shown)
        groups.sort(key=lambda each: (-each.waiting, each.team, each.job_class))
        if record is None:
            return operators.AdmissionStatus("open", 0, 0, 0, groups)
        return operators.AdmissionStatus(record.level, record.generation, record.since_s, record.until_s, groups)

    def _publish(self, record: rec.AdmissionRecord | None) -> None:
        """Write the record, or delete it (None).

        The previous record stays in force until a write succeeds or it expires.
        """
        self._published_at = self.context.now
        self._snapshot_flow()
        self._pending_value = None if record is None else msgspec.json.encode(record)
        self._must_send = True
        self._send()

    def _send(self) -> None:
        """Commit the pending value in a transaction of its own.

        It costs one write per publish interval, not counting retries.

        The state writer is not used. During a burst of submissions, each of which consumes write budget, the state
        writer of a leader that is not the home controller of any team (the controller that schedules the team's jobs)
        may not get to commit a transaction for minutes.

        The transaction is conditional on the epoch and on the version of the previous record. An unknown outcome does
        no harm: if the commit was executed, the watch delivers the record; if the commit is executed late, after
        another generation, its condition fails.
        """
        context, value = self.context, self._pending_value
        conditions = [wire.Condition(key, self.cluster_state.version(key)) for key in (rec.EPOCH, rec.ADMISSION)]
        op = wire.Delete(rec.ADMISSION) if value is None else wire.Put(rec.ADMISSION, msgspec.Raw(value))

        def on_commit_result(status: int, body: bytes) -> None:
            self._in_flight = False
            context.count_writes("admission" if status == 200 else f"refused ({status})")
            if status == 200:
                self.cluster_state.apply(rec.ADMISSION, value, wire.decode(wire.TxnReply, body).revision)
                self._log_record()
            elif status in (-1, 429, 503):
                # The commit was not executed; an immediate retry would fail again.
                self._must_send, self._retry_at = True, context.now + EVALUATION_INTERVAL

        body = wire.encode(wire.Txn(conditions, [op]))
        if not self._in_flight and context.call_state("POST", wire.COMMIT_PATH, body, on_commit_result, writes=1):
            self._in_flight, self._must_send = True, False

    def _log_record(self) -> None:
        record = self.cluster_state.admission
        if record is None:
            log.info("admission: overload has ended, record deleted")
            return
        shares = [
            f"{each.team}/{each.job_class} {each.floor_cpus:.0f} of {each.share_cpus:.0f}" for each in record.groups
        ]
        log.info("admission: generation %d, %s: %s", record.generation, record.level, "; ".join(shares[:6]))


def _same_shares(previous: list[rec.GroupShare], current: list[rec.GroupShare]) -> bool:
    """Return whether both lists have the same groups with shares that differ by no more than the tolerance."""
    previous_shares = {(each.team, each.job_class): each for each in previous}
    return previous_shares.keys() == {(each.team, each.job_class) for each in current} and all(
        abs(each.share_cpus - previous_shares[(each.team, each.job_class)].share_cpus)
        <= SHARE_TOLERANCE * max(each.share_cpus, 1.0)
        for each in current
    )


def _truncate_to_size(groups: list[rec.GroupShare], max_bytes: int) -> list[rec.GroupShare]:
    """Return the longest prefix of the groups whose encoding takes at most ``max_bytes``."""
    size = 0
    for index, group in enumerate(groups):
        size += len(msgspec.json.encode(group)) + 1
        if size > max_bytes:
            return groups[:index]
    return groups
