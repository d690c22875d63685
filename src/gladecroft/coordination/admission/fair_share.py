"""Who needs how much, who has how much, and what each is to get: teams first, then the classes within a team."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

import msgspec

from gladecroft.bookkeeping.workload import JobGroup
from gladecroft.coordination.admission.drf import ResourceDemand, ResourceVector, dominant, fair_parts
from gladecroft.protocol.settings import Team

K = TypeVar("K", bound=Hashable)

#: The part of its fair share below which a group comes before all others. The rest of the share may be lent out for as
#: long as jobs that were begun take.
FLOOR = 0.5
#: A team that has less than this part of its limit left is held up by that, not by others.
NEAR_LIMIT = 0.1
#: Below this part of its floor a group is clearly below it.
CLEARLY = 0.9


class GroupDemand(msgspec.Struct, frozen=True):
    """What a group's attempts hold and what its waiting tasks ask for, of each resource."""

    used: ResourceVector
    waiting: ResourceVector

    @property
    def wanted(self) -> ResourceVector:
        return _sum(self.used, self.waiting)


class FairShare(msgspec.Struct, frozen=True):
    """Cores: what is a group's fair share, and below what it comes first."""

    share: float
    floor: float


def _sum(one: ResourceVector, other: ResourceVector) -> ResourceVector:
    return tuple(each + more for each, more in zip(one, other, strict=True))


def fair_shares(
    held: Mapping[JobGroup, GroupDemand], teams: Mapping[str, Team], capacity: ResourceVector
) -> dict[JobGroup, FairShare]:
    """Each group's share of the cores there are, by what it needs, its team's guarantee and limit.

    A flood of one class is its own team's affair and, within the team, its own class's: neither takes from others more
    than their fair shares leave.
    """
    of_team: dict[str, dict[JobGroup, GroupDemand]] = {}
    for group, each in held.items():
        of_team.setdefault(group[0], {})[group] = each
    weights = _weights(teams)
    needs: dict[str, ResourceDemand] = {}
    for team, groups in of_team.items():
        wanted = _sum_all([each.wanted for each in groups.values()])
        limit = teams.get(team)
        guaranteed, most = (0.0, 1.0) if limit is None else _parts(limit, wanted)
        needs[team] = ResourceDemand(wanted, weights.get(team, 1.0), guaranteed, most)
    parts = fair_parts(needs, capacity)
    may_have = _due(
        {team: _Allocation(need.amounts[0], parts[team], need.most, need.weight) for team, need in needs.items()}
    )
    shares: dict[JobGroup, FairShare] = {}
    for team, part in parts.items():
        limit = teams.get(team)
        due = may_have[team] if limit is None else min(may_have[team], limit.cpu_limit)
        there = tuple(each * part for each in needs[team].amounts)
        wants = {group: ResourceDemand(each.wanted) for group, each in of_team[team].items()}
        within = fair_parts(wants, there)
        due_within = _due({group: _Allocation(want.amounts[0], within[group]) for group, want in wants.items()})
        # What the team could have besides is any of its classes' that comes to need it.
        spare = max(0.0, due - there[0]) / len(wants)
        for group, cpus in due_within.items():
            shares[group] = FairShare(round(cpus + spare, 3), round(FLOOR * (cpus + spare), 3))
    return shares


def _weights(teams: Mapping[str, Team]) -> dict[str, float]:
    """What is left after the guarantees is shared out as these are: they tell how large a team is meant to be. A team
    with none weighs as much as the smallest that has one."""
    least = min((team.cpus for team in teams.values() if team.cpus > 0), default=1.0)
    return {name: (team.cpus or least) / least for name, team in teams.items()}


class _Allocation(msgspec.Struct, frozen=True):
    """Cores wanted, the part of them that is got, the most that it may be, and the weight."""

    wanted: float
    part: float
    most: float = 1.0
    weight: float = 1.0


def _due(got: Mapping[K, _Allocation]) -> dict[K, float]:
    """The cores that each would have by right: who has all that it wants could have as many, by its weight, as the
    least of those who have not.

    Held to what it wanted a moment ago, a group that needs a little more would at once have more than its share, and be
    evicted for others until the next generation.
    """
    short = [each.wanted * each.part / each.weight for each in got.values() if each.part < min(1.0, each.most) - 1e-6]
    level = min(short, default=0.0)
    return {
        key: max(each.wanted * each.part, level * each.weight if each.part >= 1 - 1e-6 else 0.0)
        for key, each in got.items()
    }


def _parts(limit: Team, wanted: ResourceVector) -> tuple[float, float]:
    """The parts of a team's need that its guarantee covers and that its limit allows."""
    by_right = (limit.cpus, limit.gpus)
    allowed = (limit.cpu_limit, limit.gpu_limit)
    guaranteed = min((right / want for right, want in zip(by_right, wanted, strict=False) if want > 0), default=1.0)
    most = min((may / want for may, want in zip(allowed, wanted, strict=False) if want > 0), default=1.0)
    return min(1.0, guaranteed), min(1.0, most)


def _sum_all(amounts: list[ResourceVector]) -> ResourceVector:
    total = amounts[0]
    for each in amounts[1:]:
        total = _sum(total, each)
    return total


def starving(
    held: Mapping[JobGroup, GroupDemand],
    shares: Mapping[JobGroup, FairShare],
    capacity: ResourceVector,
    teams: Mapping[str, Team],
) -> list[JobGroup]:
    """Groups that wait and have clearly less than their floor, and less than half of what all have of what they want.
    Those come first that lack most of it.

    In a flood of all alike the largest groups may be below an even share and yet be served as well as any. A class
    whose team's limit is used up by the team's other work waits for these: nobody else could make room for it, and what
    was agreed for its sake put the others' services last.
    """
    used: dict[str, float] = {}
    for (team, _), each in held.items():
        used[team] = used.get(team, 0.0) + each.used[0]
    wanted = sum(each.wanted[0] for each in held.values())
    part = min(1.0, capacity[0] / wanted) if wanted > 0 else 1.0
    lacking: list[tuple[float, JobGroup]] = []
    for group, share in shares.items():
        each = held[group]
        floor = min(share.floor, FLOOR * part * each.wanted[0])
        limit = teams.get(group[0])
        if limit is not None and limit.cpu_limit - used[group[0]] < NEAR_LIMIT * limit.cpu_limit:
            continue
        if each.waiting[0] > 0 and floor > 0 and each.used[0] < CLEARLY * floor:
            lacking.append((each.used[0] / floor, group))
    return [group for _, group in sorted(lacking)]


def is_short(held: Mapping[JobGroup, GroupDemand], capacity: ResourceVector) -> bool:
    """Whether all that is wanted is more than there is of some resource."""
    return dominant(_sum_all([each.wanted for each in held.values()]), capacity) > 1 if held else False


def guarantees_exceed(
    held: Mapping[JobGroup, GroupDemand], teams: Mapping[str, Team], capacity: ResourceVector
) -> bool:
    """Whether what teams want within their guarantees is more cores than there are."""
    wanted: dict[str, float] = {}
    for group, each in held.items():
        wanted[group[0]] = wanted.get(group[0], 0.0) + each.wanted[0]
    by_right = sum(min(cpus, teams[team].cpus) for team, cpus in wanted.items() if team in teams)
    return by_right > capacity[0] + 1e-6
