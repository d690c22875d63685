"""Tiers of queued work while an admission record is in force.

Across all priorities, work of groups below their floor comes first, and work of groups that have reached their share
comes last and evicts nothing.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

from gladecroft.bookkeeping.records import AdmissionRecord, GroupShare
from gladecroft.bookkeeping.workload import GroupUsage, JobGroup

BOOSTED, NORMAL, DEFERRED = 0, 1, 2


class PriorityTiers:
    """The tier of each group in one scheduling round, in which planned cores count as used.

    All home controllers compute the tiers from the same record and the same attempts.
    """

    def __init__(
        self, record: AdmissionRecord, groups: Mapping[JobGroup, GroupUsage], over_guarantee: Container[str] = ()
    ) -> None:
        self._guarantees_exceed = record.scarce
        self._over_guarantee = over_guarantee
        self._shares: dict[JobGroup, GroupShare] = {(each.team, each.job_class): each for each in record.groups}
        self._groups = groups
        self._planned: dict[JobGroup, float] = {}
        # Groups within their share, and new ones that the record does not name yet, are protected: evicting their tasks
        # would at once undo what their floor has placed. A group below its own floor may, by its priority, evict what
        # others have above theirs.
        self._within_share = frozenset(group for group in groups if not self._exceeds(group, share=True))
        self._within_floor = frozenset(group for group in groups if not self._exceeds(group, share=False))

    def guarantee_applies(self, group: JobGroup, within_guarantee: bool) -> bool:
        """Whether the work is within its team's guarantee and keeps the privileges of that.

        When the guarantees together exceed the capacity, a team with more work than its guarantee loses the privileges
        and goes by the shares of its classes; otherwise its highest-priority jobs would take all of its guarantee.
        """
        return within_guarantee and not (self._guarantees_exceed and group[0] in self._over_guarantee)

    def tier_of(self, group: JobGroup, within_guarantee: bool) -> int:
        """The tier of a group's work; work to which its team's guarantee applies is never in the last one."""
        share = self._shares.get(group)
        if share is None:
            return NORMAL
        use = self._groups.get(group)
        used = (0.0 if use is None else use.used[0]) + self._planned.get(group, 0.0)
        if used < share.floor:
            return BOOSTED
        return DEFERRED if used >= share.share and not self.guarantee_applies(group, within_guarantee) else NORMAL

    def _exceeds(self, group: JobGroup, share: bool) -> bool:
        limits = self._shares.get(group)
        if limits is None:
            return False
        return self._groups[group].used[0] > (limits.share if share else limits.floor) + 1e-6

    def protected_groups(self, group: JobGroup, within_guarantee: bool, tier: int) -> frozenset[JobGroup]:
        """The groups whose tasks must not be evicted for work of this group and tier."""
        if self.guarantee_applies(group, within_guarantee):
            return frozenset()
        return self._within_floor if tier == BOOSTED else self._within_share

    def add_planned(self, group: JobGroup, cpus: float) -> None:
        """Count planned cores as used by the group."""
        if group in self._shares:
            self._planned[group] = self._planned.get(group, 0.0) + cpus
