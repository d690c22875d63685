"""What an agreed record makes of the order of waiting work: who is below its floor comes first, who has more than its
share comes last and pushes nobody away, across all priorities."""

from __future__ import annotations

from collections.abc import Mapping

from gladecroft.bookkeeping.records import AdmissionRecord, GroupShare
from gladecroft.bookkeeping.waiting import Group, GroupUse

FIRST, USUAL, LAST = 0, 1, 2


class Tiers:
    """For one round: what is planned in it counts as had. All homes plan by the same record and the same attempts."""

    def __init__(self, record: AdmissionRecord, groups: Mapping[Group, GroupUse]) -> None:
        self._shares: dict[Group, GroupShare] = {(each.team, each.job_class): each for each in record.groups}
        self._groups = groups
        self._planned: dict[Group, float] = {}
        #: Groups that have no more than their share, or of which nothing is agreed yet because they have just come: for
        #: others to evict them would undo at once what their floor has placed.
        self.spared: frozenset[Group] = frozenset(
            group
            for group, use in groups.items()
            if (share := self._shares.get(group)) is None or use.used[0] <= share.share + 1e-6
        )

    def of(self, group: Group, pressing: bool) -> int:
        """``pressing``: work within its team's guarantee is never last."""
        share = self._shares.get(group)
        if share is None:
            return USUAL
        use = self._groups.get(group)
        has = (0.0 if use is None else use.used[0]) + self._planned.get(group, 0.0)
        if has < share.floor:
            return FIRST
        return LAST if has >= share.share and not pressing else USUAL

    def plan(self, group: Group, cpus: float) -> None:
        if group in self._shares:
            self._planned[group] = self._planned.get(group, 0.0) + cpus
