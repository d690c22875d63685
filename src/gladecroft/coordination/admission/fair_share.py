"""Fair shares of the fleet's cores, in two levels: among teams, then among the job classes of each team."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

import msgspec

from gladecroft.bookkeeping.workload import JobGroup
from gladecroft.coordination.admission.drf import ResourceDemand, ResourceVector, dominant_share, drf_fractions
from gladecroft.protocol.settings import Team

K = TypeVar("K", bound=Hashable)

#: A group's floor, as a fraction of its fair share. Below it a group's work comes before all other; the rest of the
#: share may be in use by other groups until their running jobs end.
FLOOR_FRACTION = 0.5
#: A team with less than this fraction of its limit left is held up by the limit, not by other teams.
NEAR_LIMIT_FRACTION = 0.1
#: A group counts as starved below this fraction of its floor.
STARVED_FRACTION = 0.9


class GroupDemand(msgspec.Struct, frozen=True):
    """Resources that a group's running attempts use and that its queued tasks request."""

    used: ResourceVector
    queued: ResourceVector

    @property
    def total(self) -> ResourceVector:
        """Used and requested resources together."""
        return _add(self.used, self.queued)


class FairShare(msgspec.Struct, frozen=True):
    """A group's fair share and its floor, in cores."""

    share: float
    floor: float


def _add(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    return tuple(first + second for first, second in zip(left, right, strict=True))


def fair_shares(
    demands: Mapping[JobGroup, GroupDemand], teams: Mapping[str, Team], capacity: ResourceVector
) -> dict[JobGroup, FairShare]:
    """Each group's fair share of the cores, from its demand and its team's guarantee and limit.

    Excess demand of one class stays confined to its team and, within the team, to the class: it gets no more than the
    fair shares of the others leave.
    """
    groups_by_team: dict[str, dict[JobGroup, GroupDemand]] = {}
    for group, demand in demands.items():
        groups_by_team.setdefault(group[0], {})[group] = demand
    weights = _team_weights(teams)
    team_demands: dict[str, ResourceDemand] = {}
    for team, groups in groups_by_team.items():
        total = _add_all([demand.total for demand in groups.values()])
        limit = teams.get(team)
        guaranteed, maximum = (0.0, 1.0) if limit is None else _guarantee_and_limit(limit, total)
        team_demands[team] = ResourceDemand(total, weights.get(team, 1.0), guaranteed, maximum)
    fractions = drf_fractions(team_demands, capacity)
    entitled = _entitlements(
        {
            team: _Allocation(demand.amounts[0], fractions[team], demand.max_fraction, demand.weight)
            for team, demand in team_demands.items()
        }
    )
    shares: dict[JobGroup, FairShare] = {}
    for team, fraction in fractions.items():
        limit = teams.get(team)
        cpus = entitled[team] if limit is None else min(entitled[team], limit.cpu_limit)
        granted = tuple(amount * fraction for amount in team_demands[team].amounts)
        class_demands = {group: ResourceDemand(demand.total) for group, demand in groups_by_team[team].items()}
        class_fractions = drf_fractions(class_demands, granted)
        class_cpus = _entitlements(
            {group: _Allocation(demand.amounts[0], class_fractions[group]) for group, demand in class_demands.items()}
        )
        # Cores that the team is entitled to beyond its demand are available to any of its classes.
        headroom = max(0.0, cpus - granted[0]) / len(class_demands)
        for group, group_cpus in class_cpus.items():
            shares[group] = FairShare(
                round(group_cpus + headroom, 3), round(FLOOR_FRACTION * (group_cpus + headroom), 3)
            )
    return shares


def _team_weights(teams: Mapping[str, Team]) -> dict[str, float]:
    """Weights by which capacity beyond the guarantees is divided: proportional to the guarantees, which express the
    intended size of each team. A team without a guarantee weighs as much as the one with the smallest guarantee."""
    smallest = min((team.cpus for team in teams.values() if team.cpus > 0), default=1.0)
    return {name: (team.cpus or smallest) / smallest for name, team in teams.items()}


class _Allocation(msgspec.Struct, frozen=True):
    """Cores demanded, the fraction that is granted, its upper bound, and the weight."""

    demand: float
    fraction: float
    max_fraction: float = 1.0
    weight: float = 1.0


def _entitlements(allocations: Mapping[K, _Allocation]) -> dict[K, float]:
    """The cores that each may use: a satisfied one may use as many, in proportion to its weight, as the unsatisfied
    one that was granted the least.

    If a share were limited to the demand at the time, a group whose demand then grows a little would exceed its share
    at once and be evicted for others until the next generation.
    """
    unsatisfied = [
        each.demand * each.fraction / each.weight
        for each in allocations.values()
        if each.fraction < min(1.0, each.max_fraction) - 1e-6
    ]
    level = min(unsatisfied, default=0.0)
    return {
        key: max(each.demand * each.fraction, level * each.weight if each.fraction >= 1 - 1e-6 else 0.0)
        for key, each in allocations.items()
    }


def _guarantee_and_limit(limit: Team, demand: ResourceVector) -> tuple[float, float]:
    """The fractions of a team's demand that its guarantee covers and that its limit allows."""
    guarantees = (limit.cpus, limit.gpus)
    limits = (limit.cpu_limit, limit.gpu_limit)
    guaranteed = min(
        (guarantee / needed for guarantee, needed in zip(guarantees, demand, strict=False) if needed > 0), default=1.0
    )
    maximum = min(
        (allowed / needed for allowed, needed in zip(limits, demand, strict=False) if needed > 0), default=1.0
    )
    return min(1.0, guaranteed), min(1.0, maximum)


def _add_all(amounts: list[ResourceVector]) -> ResourceVector:
    total = amounts[0]
    for vector in amounts[1:]:
        total = _add(total, vector)
    return total


def starved_groups(
    demands: Mapping[JobGroup, GroupDemand],
    shares: Mapping[JobGroup, FairShare],
    capacity: ResourceVector,
    teams: Mapping[str, Team],
) -> list[JobGroup]:
    """Groups with queued tasks that use clearly less than their floor, and clearly less than half of what they would
    have if the capacity were divided in proportion to demand; those furthest below come first.

    The second condition matters when all groups are overloaded: the largest may be below an equal share and yet be
    served as well as any other. A class is left out if the team's other work has used up the team's limit: no other
    team could make room for it, and enforcing floors for its sake put the services of other teams last.
    """
    used: dict[str, float] = {}
    for (team, _), demand in demands.items():
        used[team] = used.get(team, 0.0) + demand.used[0]
    total = sum(demand.total[0] for demand in demands.values())
    served_fraction = min(1.0, capacity[0] / total) if total > 0 else 1.0
    starved: list[tuple[float, JobGroup]] = []
    for group, share in shares.items():
        demand = demands[group]
        floor = min(share.floor, FLOOR_FRACTION * served_fraction * demand.total[0])
        limit = teams.get(group[0])
        if limit is not None and limit.cpu_limit - used[group[0]] < NEAR_LIMIT_FRACTION * limit.cpu_limit:
            continue
        if demand.queued[0] > 0 and floor > 0 and demand.used[0] < STARVED_FRACTION * floor:
            starved.append((demand.used[0] / floor, group))
    return [group for _, group in sorted(starved)]


def is_overloaded(demands: Mapping[JobGroup, GroupDemand], capacity: ResourceVector) -> bool:
    """Whether total demand exceeds the capacity of any resource."""
    return dominant_share(_add_all([demand.total for demand in demands.values()]), capacity) > 1 if demands else False


def guarantees_exceed_capacity(
    demands: Mapping[JobGroup, GroupDemand], teams: Mapping[str, Team], capacity: ResourceVector
) -> bool:
    """Whether the teams' demand for cores within their guarantees exceeds the capacity."""
    demand_by_team: dict[str, float] = {}
    for group, demand in demands.items():
        demand_by_team[group[0]] = demand_by_team.get(group[0], 0.0) + demand.total[0]
    guaranteed = sum(min(cpus, teams[team].cpus) for team, cpus in demand_by_team.items() if team in teams)
    return guaranteed > capacity[0] + 1e-6
