"""Who needs how much, who has how much, and what each is to get: teams first, then the classes within a team."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from gladecroft.bookkeeping.waiting import Group
from gladecroft.coordination.admission.shares import Amounts, Need, dominant, fair_parts
from gladecroft.protocol.settings import Team

#: The part of its fair share below which a group comes before all others. The rest of the share may be lent out for as
#: long as jobs that were begun take.
FLOOR = 0.5


class Held(msgspec.Struct, frozen=True):
    """What a group's attempts hold and what its waiting tasks ask for, of each resource."""

    used: Amounts
    waiting: Amounts

    @property
    def wanted(self) -> Amounts:
        return _sum(self.used, self.waiting)


class Share(msgspec.Struct, frozen=True):
    """Cores: what is a group's fair share, and below what it comes first."""

    share: float
    floor: float


def _sum(one: Amounts, other: Amounts) -> Amounts:
    return tuple(each + more for each, more in zip(one, other, strict=True))


def fair_shares(held: Mapping[Group, Held], teams: Mapping[str, Team], capacity: Amounts) -> dict[Group, Share]:
    """Each group's share of the cores there are, by what it needs, its team's guarantee and limit.

    A flood of one class is its own team's affair and, within the team, its own class's: neither takes from others more
    than their fair shares leave.
    """
    of_team: dict[str, dict[Group, Held]] = {}
    for group, each in held.items():
        of_team.setdefault(group[0], {})[group] = each
    needs: dict[str, Need] = {}
    for team, groups in of_team.items():
        wanted = _sum_all([each.wanted for each in groups.values()])
        limit = teams.get(team)
        guaranteed, most = (0.0, 1.0) if limit is None else _parts(limit, wanted)
        needs[team] = Need(wanted, 1.0, guaranteed, most)
    shares: dict[Group, Share] = {}
    for team, part in fair_parts(needs, capacity).items():
        there = tuple(each * part for each in needs[team].amounts)
        within = fair_parts({group: Need(each.wanted) for group, each in of_team[team].items()}, there)
        for group, each_part in within.items():
            cpus = of_team[team][group].wanted[0] * each_part
            shares[group] = Share(round(cpus, 3), round(FLOOR * cpus, 3))
    return shares


def _parts(limit: Team, wanted: Amounts) -> tuple[float, float]:
    """The parts of a team's need that its guarantee covers and that its limit allows."""
    by_right = (limit.cpus, limit.gpus)
    allowed = (limit.most_cpus, limit.most_gpus)
    guaranteed = min((right / want for right, want in zip(by_right, wanted, strict=False) if want > 0), default=1.0)
    most = min((may / want for may, want in zip(allowed, wanted, strict=False) if want > 0), default=1.0)
    return min(1.0, guaranteed), min(1.0, most)


def _sum_all(amounts: list[Amounts]) -> Amounts:
    total = amounts[0]
    for each in amounts[1:]:
        total = _sum(total, each)
    return total


def starving(held: Mapping[Group, Held], shares: Mapping[Group, Share], slack: float = 0.9) -> list[Group]:
    """Groups that wait and have less than their floor, those that lack most of it first."""
    lacking: list[tuple[float, Group]] = []
    for group, share in shares.items():
        each = held[group]
        if each.waiting[0] > 0 and share.floor > 0 and each.used[0] < slack * share.floor:
            lacking.append((each.used[0] / share.floor, group))
    return [group for _, group in sorted(lacking)]


def is_short(held: Mapping[Group, Held], capacity: Amounts) -> bool:
    """Whether all that is wanted is more than there is of some resource."""
    return dominant(_sum_all([each.wanted for each in held.values()]), capacity) > 1 if held else False
