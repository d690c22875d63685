"""What an agreed record makes of the order of waiting work: who is below its floor comes first, who has more than its
share comes last and pushes nobody away, across all priorities."""

from __future__ import annotations

from collections.abc import Container, Mapping

from gladecroft.bookkeeping.records import AdmissionRecord, GroupShare
from gladecroft.bookkeeping.workload import GroupUsage, JobGroup

BOOSTED, NORMAL, DEFERRED = 0, 1, 2


class PriorityTiers:
    """For one round: what is planned in it counts as had. All homes plan by the same record and the same attempts."""

    def __init__(
        self, record: AdmissionRecord, groups: Mapping[JobGroup, GroupUsage], crowded: Container[str] = ()
    ) -> None:
        self._scarce = record.scarce
        self._crowded = crowded
        self._shares: dict[JobGroup, GroupShare] = {(each.team, each.job_class): each for each in record.groups}
        self._groups = groups
        self._planned: dict[JobGroup, float] = {}
        # Groups that have no more than their share, or of which nothing is agreed yet because they have just come: for
        # others to evict them would undo at once what their floor has placed. Who is below its own floor may evict, by
        # its priority, what others have above theirs.
        self._at_share = frozenset(group for group in groups if not self._above(group, share=True))
        self._at_floor = frozenset(group for group in groups if not self._above(group, share=False))

    def firm(self, group: JobGroup, pressing: bool) -> bool:
        """Whether work within its team's guarantee has all its privileges.

        Where the guarantees alone are more than there is somebody must wait: a team that has more work than its
        guarantee then goes by its classes' shares, else those of its jobs that stand highest would have all of it.
        """
        return pressing and not (self._scarce and group[0] in self._crowded)

    def tier_of(self, group: JobGroup, pressing: bool) -> int:
        """``pressing``: the work is within its team's guarantee. If that is firm it is never last."""
        share = self._shares.get(group)
        if share is None:
            return NORMAL
        use = self._groups.get(group)
        has = (0.0 if use is None else use.used[0]) + self._planned.get(group, 0.0)
        if has < share.floor:
            return BOOSTED
        return DEFERRED if has >= share.share and not self.firm(group, pressing) else NORMAL

    def _above(self, group: JobGroup, share: bool) -> bool:
        agreed = self._shares.get(group)
        if agreed is None:
            return False
        return self._groups[group].used[0] > (agreed.share if share else agreed.floor) + 1e-6

    def protected_groups(self, group: JobGroup, pressing: bool, tier: int) -> frozenset[JobGroup]:
        """Whose work a group in this tier does not evict."""
        if self.firm(group, pressing):
            return frozenset()
        return self._at_floor if tier == BOOSTED else self._at_share

    def add_planned(self, group: JobGroup, cpus: float) -> None:
        if group in self._shares:
            self._planned[group] = self._planned.get(group, 0.0) + cpus
