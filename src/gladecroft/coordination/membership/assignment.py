"""How machines and teams are shared out among the members of an epoch."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.protocol.wire import JobKind, JobSpec


@lru_cache(maxsize=8192)
def _weight(member: str, thing: str) -> bytes:
    return blake2b(f"{member} {thing}".encode(), digest_size=8).digest()


def by_hash(members: list[str], thing: str) -> str:
    """Highest random weight: a member that goes moves only what was its own."""
    return max(members, key=lambda member: _weight(member, thing))


class Assignment:
    """``zones``: the zone of each controller."""

    def __init__(self, cluster_state: ClusterState, zones: dict[str, str]) -> None:
        self.cluster_state = cluster_state
        self.team_homes: dict[str, str] = {}
        self._zones = zones
        self._members: list[str] = []
        self._by_zone: dict[str, list[str]] = {}
        self._owners: dict[tuple[str, str], str] = {}

    def follow(self, epoch: rec.EpochRecord | None) -> None:
        """Share out anew for this epoch."""
        self._members = sorted(epoch.members) if epoch else []
        self._by_zone = {}
        for name in self._members:
            self._by_zone.setdefault(self._zones.get(name) or "?", []).append(name)
        self._owners.clear()
        self.assign_teams()

    def owner(self, machine: str, zone: str | None = None) -> str | None:
        """Whose part the machine is in: a controller of its own zone if there is one, so that zones which can't
        reach each other go on working inside. ``zone`` serves for machines that are not known yet.

        Of a machine whose zone is not known nobody is the owner. If such a one were taken for its owner it would sooner
        or later call the machine's work lost, while the true owner goes on answering it.
        """
        epoch = self.cluster_state.epoch
        if epoch is None or not epoch.members:
            return None
        moved = epoch.moved.get(machine)
        if moved in epoch.members:
            return moved
        known = self.cluster_state.machines.get(machine)
        if known is None and zone is None:
            return None
        where = (machine, known.zone if known is not None else zone or "")
        owner = self._owners.get(where)
        if owner is None:
            if len(self._owners) > 4 * len(self.cluster_state.machines) + 1000:
                self._owners.clear()
            near = self._by_zone.get(where[1])
            owner = self._owners[where] = by_hash(near or self._members, machine)
        return owner

    def home(self, team: str) -> str | None:
        """The controller that places the tasks of a team's jobs: one for the whole team, so that its limit and the
        order of its jobs are not fought over. Gangs go to the leader, and with them all that their team has."""
        if self.cluster_state.gang_count_by_team.get(team):
            return self.cluster_state.epoch.leader if self.cluster_state.epoch is not None else None
        home = self.team_homes.get(team)
        if home is None and self._members:
            home = by_hash(self._members, team)
        return home

    def assign_teams(self) -> None:
        """Give each team its home by hash, but no controller more than its share of the teams.

        A team that is the only one has its home at the leader: who rents and returns machines then knows at once which
        work has ended, though the records don't say so yet.
        """
        self.team_homes = {}
        epoch = self.cluster_state.epoch
        if not self._members or epoch is None:
            return
        if len(self.cluster_state.limits) == 1:
            self.team_homes = dict.fromkeys(self.cluster_state.limits, epoch.leader)
            return
        most = -(-len(self.cluster_state.limits) // len(self._members))
        held = dict.fromkeys(self._members, 0)
        for team in sorted(self.cluster_state.limits):
            home = by_hash([member for member in self._members if held[member] < most], team)
            self.team_homes[team] = home
            held[home] += 1

    def job_home(self, spec: JobSpec) -> str | None:
        """The controller that places this job's tasks; gangs go whole to the leader."""
        if spec.kind is JobKind.GANG:
            return self.cluster_state.epoch.leader if self.cluster_state.epoch is not None else None
        return self.home(spec.team)

    def of_use(self, machine: str) -> bool:
        """Whether a machine that was moved is still there."""
        use = self.cluster_state.restricted_machines.get(machine, rec.MachineUse.UP)
        if use in (rec.MachineUse.RETURNED, rec.MachineUse.RETURNING):
            return machine in self.cluster_state.tasks_by_machine
        return machine in self.cluster_state.machines or machine in self.cluster_state.tasks_by_machine
