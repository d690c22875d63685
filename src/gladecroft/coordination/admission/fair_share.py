"""Fair shares of the fleet's cores, on two levels: among teams, then among the job classes of each team."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

import msgspec

from gladecroft.bookkeeping.workload import JobGroup
from gladecroft.coordination.admission.drf import ResourceDemand, ResourceVector, dominant_share, drf_fractions
from gladecroft.protocol.settings import Team

K = TypeVar("K", bound=Hashable)

#: A group's floor, as a fraction of its fair share. The tasks of groups below their floor are scheduled first. Between
#: its floor and its fair share, a group may have to wait until running jobs of other groups finish.
FLOOR_FRACTION = 0.5
#: A team with less than this fraction of its limit left is held up by the limit, not by other teams.
NEAR_LIMIT_FRACTION = 0.1
#: A group counts as starved below this fraction of its floor.
STARVED_FRACTION = 0.9


class GroupDemand(msgspec.Struct, frozen=True):
    """Resources that the placed tasks of a group use and that its queued tasks request."""

    used: ResourceVector
    queued: ResourceVector

    @property
    def total(self) -> ResourceVector:
        """Return the sum of the used and the requested resources."""
        return _add(self.used, self.queued)


class FairShare(msgspec.Struct, frozen=True):
    """A group's fair share (``cpus``) and its floor, in cores. ``GroupShare`` is the stored form."""

    cpus: float
    floor_cpus: float


def _add(left: ResourceVector, right: ResourceVector) -> ResourceVector:
    return tuple(first + second for first, second in zip(left, right, strict=True))


def fair_shares(
    demands: Mapping[JobGroup, GroupDemand], teams: Mapping[str, Team], capacity: ResourceVector
) -> dict[JobGroup, FairShare]:
    """Return each group's fair share of the cores, given its demand and the guarantee and limit of its team.

    A class that demands more than its fair share takes capacity neither from other teams nor from other classes of its
    team. Steps: the *demand* of a team or class is what its tasks use and request; *granted* is the fraction of the
    demand that DRF grants; the *entitlement* is the granted cores, raised for those whose whole demand is granted (see
    ``_entitlements``); the *fair share* of a class is its entitlement plus an equal part of the cores that its team is
    entitled to beyond those granted.
    """
    groups_by_team: dict[str, dict[JobGroup, GroupDemand]] = {}
    for group, demand in demands.items():
        groups_by_team.setdefault(group[0], {})[group] = demand
    weights = _team_weights(teams)
    team_demands: dict[str, ResourceDemand] = {}
    for team, groups in groups_by_team.items():
        total = _add_all([demand.total for demand in groups.values()])
        team_settings = teams.get(team)
        guaranteed_fraction, max_fraction = (
            (0.0, 1.0) if team_settings is None else _guaranteed_and_max_fractions(team_settings, total)
        )
        team_demands[team] = ResourceDemand(total, weights.get(team, 1.0), guaranteed_fraction, max_fraction)
    fractions = drf_fractions(team_demands, capacity)
    team_entitlements = _entitlements(
        {
            team: _Allocation(demand.amounts[0], fractions[team], demand.max_fraction, demand.weight)
            for team, demand in team_demands.items()
        }
    )
    shares: dict[JobGroup, FairShare] = {}
    for team, fraction in fractions.items():
        team_settings = teams.get(team)
        team_cpus = (
            team_entitlements[team] if team_settings is None else min(team_entitlements[team], team_settings.cpu_limit)
        )
        granted = tuple(amount * fraction for amount in team_demands[team].amounts)
        class_demands = {group: ResourceDemand(demand.total) for group, demand in groups_by_team[team].items()}
        class_fractions = drf_fractions(class_demands, granted)
        class_entitlements = _entitlements(
            {group: _Allocation(demand.amounts[0], class_fractions[group]) for group, demand in class_demands.items()}
        )
        # The cores of the team's entitlement beyond those granted are divided equally among its classes.
        headroom_per_class = max(0.0, team_cpus - granted[0]) / len(class_demands)
        for group, entitlement in class_entitlements.items():
            shares[group] = FairShare(
                round(entitlement + headroom_per_class, 3),
                round(FLOOR_FRACTION * (entitlement + headroom_per_class), 3),
            )
    return shares


def _team_weights(teams: Mapping[str, Team]) -> dict[str, float]:
    """Return the weights by which capacity beyond the guarantees is divided.

    They are proportional to the guarantees, which express the intended size of each team. A team without a guarantee
    has the same weight as the team with the smallest guarantee.
    """
    smallest_guarantee = min((team.cpus for team in teams.values() if team.cpus > 0), default=1.0)
    return {name: (team.cpus or smallest_guarantee) / smallest_guarantee for name, team in teams.items()}


class _Allocation(msgspec.Struct, frozen=True):
    """Cores demanded by a team or class, the fraction that is granted, its upper bound, and the weight."""

    demand_cpus: float
    granted_fraction: float
    max_fraction: float = 1.0
    weight: float = 1.0


def _entitlements(allocations: Mapping[K, _Allocation]) -> dict[K, float]:
    """Return the cores that each team or class may use.

    Those whose demand is not fully granted may use what is granted. ``level`` is the smallest number of cores per unit
    of weight granted to one of them that has not reached its limit. Those whose whole demand is granted may use
    ``level`` times their weight if that is more than their demand.

    If a share were limited to the demand at the time, a group whose demand then grows a little would exceed its share
    immediately, and its tasks would be evicted for other groups until the admission record is next recomputed.
    """
    unsatisfied = [
        each.demand_cpus * each.granted_fraction / each.weight
        for each in allocations.values()
        if each.granted_fraction < min(1.0, each.max_fraction) - 1e-6
    ]
    level = min(unsatisfied, default=0.0)
    return {
        key: max(
            each.demand_cpus * each.granted_fraction, level * each.weight if each.granted_fraction >= 1 - 1e-6 else 0.0
        )
        for key, each in allocations.items()
    }


def _guaranteed_and_max_fractions(team_settings: Team, demand: ResourceVector) -> tuple[float, float]:
    """Return the fractions of a team's demand that its guarantee covers and that its limit allows."""
    guarantees = (team_settings.cpus, team_settings.gpus)
    limits = (team_settings.cpu_limit, team_settings.gpu_limit)
    guaranteed_fraction = min(
        (guarantee / needed for guarantee, needed in zip(guarantees, demand, strict=False) if needed > 0), default=1.0
    )
    max_fraction = min(
        (allowed / needed for allowed, needed in zip(limits, demand, strict=False) if needed > 0), default=1.0
    )
    return min(1.0, guaranteed_fraction), min(1.0, max_fraction)


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
    """Return the groups with queued tasks that are starved, those furthest below their floor first.

    A group is starved if it uses less than ``STARVED_FRACTION`` of its floor, and less than ``STARVED_FRACTION`` of
    ``FLOOR_FRACTION`` of the cores that it would have if the capacity were divided in proportion to demand. The second
    condition matters when all groups are overloaded: a group with a large demand may then be below its floor although
    the same fraction of its demand is served as of the others.

    A class is excluded if the tasks of its team have almost used up the team's limit. Other teams could not free
    capacity for it, and enforcing floors because of such a class deferred services of other teams without helping it.
    """
    used_by_team: dict[str, float] = {}
    for (team, _), demand in demands.items():
        used_by_team[team] = used_by_team.get(team, 0.0) + demand.used[0]
    total = sum(demand.total[0] for demand in demands.values())
    served_fraction = min(1.0, capacity[0] / total) if total > 0 else 1.0
    starved: list[tuple[float, JobGroup]] = []
    for group, share in shares.items():
        demand = demands[group]
        floor = min(share.floor_cpus, FLOOR_FRACTION * served_fraction * demand.total[0])
        team_settings = teams.get(group[0])
        if (
            team_settings is not None
            and team_settings.cpu_limit - used_by_team[group[0]] < NEAR_LIMIT_FRACTION * team_settings.cpu_limit
        ):
            continue
        if demand.queued[0] > 0 and floor > 0 and demand.used[0] < STARVED_FRACTION * floor:
            starved.append((demand.used[0] / floor, group))
    return [group for _, group in sorted(starved)]


def is_overloaded(demands: Mapping[JobGroup, GroupDemand], capacity: ResourceVector) -> bool:
    """Return whether the total demand exceeds the capacity of any resource that the fleet has."""
    return dominant_share(_add_all([demand.total for demand in demands.values()]), capacity) > 1 if demands else False


def guaranteed_demand_exceeds_capacity(
    demands: Mapping[JobGroup, GroupDemand], teams: Mapping[str, Team], capacity: ResourceVector
) -> bool:
    """Return whether the teams' demand for cores within their guarantees exceeds the capacity."""
    demand_by_team: dict[str, float] = {}
    for group, demand in demands.items():
        demand_by_team[group[0]] = demand_by_team.get(group[0], 0.0) + demand.total[0]
    guaranteed_cpus = sum(min(cpus, teams[team].cpus) for team, cpus in demand_by_team.items() if team in teams)
    return guaranteed_cpus > capacity[0] + 1e-6
