"""Assignment of machines and teams to the members of an epoch."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.protocol.wire import JobKind, JobSpec


@lru_cache(maxsize=8192)
def _weight(member: str, key: str) -> bytes:
    return blake2b(f"{member} {key}".encode(), digest_size=8).digest()


def rendezvous_hash(members: list[str], key: str) -> str:
    """Rendezvous hashing: when a member leaves, only its own keys are reassigned."""
    return max(members, key=lambda member: _weight(member, key))


class Assignment:
    """Assigns machines to owners and teams to home controllers.

    ``zones`` maps each controller to its zone.
    """

    def __init__(self, cluster_state: ClusterState, zones: dict[str, str]) -> None:
        self.cluster_state = cluster_state
        self.team_homes: dict[str, str] = {}
        self._zones = zones
        self._members: list[str] = []
        self._members_by_zone: dict[str, list[str]] = {}
        self._owner_cache: dict[tuple[str, str], str] = {}

    def apply_epoch(self, epoch: rec.EpochRecord | None) -> None:
        """Recompute the assignment for a new epoch."""
        self._members = sorted(epoch.members) if epoch else []
        self._members_by_zone = {}
        for name in self._members:
            self._members_by_zone.setdefault(self._zones.get(name) or "?", []).append(name)
        self._owner_cache.clear()
        self.assign_teams()

    def owner(self, machine: str, zone: str | None = None) -> str | None:
        """The controller that owns a machine: one in the machine's zone if possible, so that zones keep working when
        they can't reach each other. ``zone`` is used for machines that have no record yet.

        A machine whose zone is unknown has no owner. A controller that took itself for the owner would eventually
        declare the machine's work lost while the actual owner still answers the machine.
        """
        epoch = self.cluster_state.epoch
        if epoch is None or not epoch.members:
            return None
        moved = epoch.moved.get(machine)
        if moved in epoch.members:
            return moved
        machine_record = self.cluster_state.machines.get(machine)
        if machine_record is None and zone is None:
            return None
        cache_key = (machine, machine_record.zone if machine_record is not None else zone or "")
        owner = self._owner_cache.get(cache_key)
        if owner is None:
            if len(self._owner_cache) > 4 * len(self.cluster_state.machines) + 1000:
                self._owner_cache.clear()
            local_members = self._members_by_zone.get(cache_key[1])
            owner = self._owner_cache[cache_key] = rendezvous_hash(local_members or self._members, machine)
        return owner

    def home(self, team: str) -> str | None:
        """The controller that places the tasks of a team's jobs.

        There is one per team, so that controllers do not compete over the team's limit and the order of its jobs. The
        leader places gangs, and with them all other jobs of a team that has any.
        """
        if self.cluster_state.gang_count_by_team.get(team):
            return self.cluster_state.epoch.leader if self.cluster_state.epoch is not None else None
        home = self.team_homes.get(team)
        if home is None and self._members:
            home = rendezvous_hash(self._members, team)
        return home

    def assign_teams(self) -> None:
        """Assign each team a home controller by hash, spreading the teams evenly.

        If there is only one team, the leader is its home: the controller that rents and returns machines then knows at
        once which work has ended, before the records say so.
        """
        self.team_homes = {}
        epoch = self.cluster_state.epoch
        if not self._members or epoch is None:
            return
        if len(self.cluster_state.limits) == 1:
            self.team_homes = dict.fromkeys(self.cluster_state.limits, epoch.leader)
            return
        max_teams = -(-len(self.cluster_state.limits) // len(self._members))
        team_counts = dict.fromkeys(self._members, 0)
        for team in sorted(self.cluster_state.limits):
            home = rendezvous_hash([member for member in self._members if team_counts[member] < max_teams], team)
            self.team_homes[team] = home
            team_counts[home] += 1

    def job_home(self, spec: JobSpec) -> str | None:
        """The controller that places this job's tasks: the leader for a gang, else the home of the team."""
        if spec.kind is JobKind.GANG:
            return self.cluster_state.epoch.leader if self.cluster_state.epoch is not None else None
        return self.home(spec.team)

    def still_exists(self, machine: str) -> bool:
        """Whether a moved machine still exists or still has tasks."""
        use = self.cluster_state.restricted_machines.get(machine, rec.MachineUse.UP)
        if use in (rec.MachineUse.RETURNED, rec.MachineUse.RETURNING):
            return machine in self.cluster_state.tasks_by_machine
        return machine in self.cluster_state.machines or machine in self.cluster_state.tasks_by_machine
