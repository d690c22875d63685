"""Tiers of queued jobs while an admission record is in force.

Tiers take precedence over job priorities. Jobs of groups (team and job class) below their floor are in the tier BOOSTED
and are scheduled first. Jobs of groups that have reached their fair share are in the tier DEFERRED, unless their team's
guarantee applies to them; they are scheduled last and evict no tasks.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from gladecroft.bookkeeping.records import AdmissionRecord, GroupShare
from gladecroft.bookkeeping.workload import GroupUsage, JobGroup

BOOSTED, NORMAL, DEFERRED = 0, 1, 2


class AdmissionTiers:
    """The tier of each group in one scheduling round.

    Cores that were tentatively placed in this round count towards the tier of a group, but not towards the protection
    of its tasks from eviction. The home controller of a team is the only one that schedules its jobs. All home
    controllers compute the tiers from the same record and from usage in their cluster states, so at the start of a
    round their tiers are equal if their cluster states are.
    """

    def __init__(
        self, record: AdmissionRecord, groups: Mapping[JobGroup, GroupUsage], teams_over_guarantee: Container[str] = ()
    ) -> None:
        self._guaranteed_demand_exceeds_capacity = record.guaranteed_demand_exceeds_capacity
        self._teams_over_guarantee = teams_over_guarantee
        self._shares: dict[JobGroup, GroupShare] = {(each.team, each.job_class): each for each in record.groups}
        self._usage_by_group = groups
        self._tentative_cpus: dict[JobGroup, float] = {}
        # Groups within their share, and new groups that the record does not list yet, are protected from eviction:
        # evicting their tasks would undo placements that were just made to reach their floor. A group below its floor
        # may evict tasks of lower priority of groups above their floor.
        self._groups_within_share = frozenset(
            group for group in groups if not self._exceeds_share_or_floor(group, against_share=True)
        )
        self._groups_within_floor = frozenset(
            group for group in groups if not self._exceeds_share_or_floor(group, against_share=False)
        )

    def guarantee_applies(self, group: JobGroup, within_guarantee: bool) -> bool:
        """Return whether a job of this group has the privileges of its team's guarantee.

        Such a job is never deferred, and no group's tasks are protected from being evicted for it. If the demand
        within the guarantees exceeds the capacity, a team that demands more than its guarantee loses these privileges,
        and its jobs are scheduled according to the shares of their classes. Otherwise the team's highest-priority jobs
        would take all of its guarantee.
        """
        return within_guarantee and not (
            self._guaranteed_demand_exceeds_capacity and group[0] in self._teams_over_guarantee
        )

    def tier_of(self, group: JobGroup, within_guarantee: bool) -> int:
        """Return the tier of a job of this group; a job to which its team's guarantee applies is never deferred."""
        group_share = self._shares.get(group)
        if group_share is None:
            return NORMAL
        usage = self._usage_by_group.get(group)
        used_cpus = (0.0 if usage is None else usage.used[0]) + self._tentative_cpus.get(group, 0.0)
        if used_cpus < group_share.floor_cpus:
            return BOOSTED
        return (
            DEFERRED
            if used_cpus >= group_share.share_cpus and not self.guarantee_applies(group, within_guarantee)
            else NORMAL
        )

    def _exceeds_share_or_floor(self, group: JobGroup, against_share: bool) -> bool:
        group_share = self._shares.get(group)
        if group_share is None:
            return False
        return (
            self._usage_by_group[group].used[0]
            > (group_share.share_cpus if against_share else group_share.floor_cpus) + 1e-6
        )

    def protected_groups(self, group: JobGroup, within_guarantee: bool, tier: int) -> frozenset[JobGroup]:
        """Return the groups whose tasks must not be evicted for a job of this group and tier."""
        if self.guarantee_applies(group, within_guarantee):
            return frozenset()
        return self._groups_within_floor if tier == BOOSTED else self._groups_within_share

    def add_tentative_cpus(self, group: JobGroup, cpus: float) -> None:
        """Count cores as used by the group in this round.

        They belong to the tasks that the scheduler places or reserves capacity for, or to all queued tasks of a job
        that the autoscaler plans for.
        """
        if group in self._shares:
            self._tentative_cpus[group] = self._tentative_cpus.get(group, 0.0) + cpus
