"""Assignment of machines and teams to the members of an epoch.

The *owner* of a machine handles its reports and sends it commands. The *home controller* of a team is the only one that
places the tasks of the team's jobs, on machines of any owner.
"""

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
    """Select the member with the highest weight for the key: when a member leaves, only its own keys are reassigned."""
    return max(members, key=lambda member: _weight(member, key))


class Assignment:
    """Assigns machines to owners and teams to home controllers.

    ``zones`` maps the name of each controller to its zone.
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

    def owner(self, machine_id: str, zone: str | None = None) -> str | None:
        """The controller that owns a machine, or None if it is unknown.

        It is a member in the machine's zone, if there is one, so that zones keep working when they can't reach each
        other. The epoch record overrides this for moved machines. ``zone`` is used for machines that are not in the
        cluster state.

        A machine whose zone is unknown has no owner, unless it was moved. A controller that wrongly took itself for the
        owner would eventually declare the tasks on the machine lost, while the actual owner still renews the machine's
        lease.
        """
        epoch = self.cluster_state.epoch
        if epoch is None or not epoch.members:
            return None
        assigned_owner = epoch.moved.get(machine_id)
        if assigned_owner in epoch.members:
            return assigned_owner
        machine_record = self.cluster_state.machines.get(machine_id)
        if machine_record is None and zone is None:
            return None
        cache_key = (machine_id, machine_record.zone if machine_record is not None else zone or "")
        owner = self._owner_cache.get(cache_key)
        if owner is None:
            if len(self._owner_cache) > 4 * len(self.cluster_state.machines) + 1000:
                self._owner_cache.clear()
            local_members = self._members_by_zone.get(cache_key[1])
            owner = self._owner_cache[cache_key] = rendezvous_hash(local_members or self._members, machine_id)
        return owner

    def home(self, team: str) -> str | None:
        """The home controller of a team.

        There is only one, so that controllers do not compete for the team's limit and order its jobs differently. The
        leader places all gangs, so it is the home controller of each team with unfinished gangs.
        """
        if self.cluster_state.gang_count_by_team.get(team):
            return self.cluster_state.epoch.leader if self.cluster_state.epoch is not None else None
        home = self.team_homes.get(team)
        if home is None and self._members:
            home = rendezvous_hash(self._members, team)
        return home

    def assign_teams(self) -> None:
        """Assign each team a home controller by rendezvous hashing, with at most an even share of teams per member.

        A single team is assigned to the leader. The leader rents and returns machines, and as home controller it learns
        of exited attempts before they are recorded.
        """
        self.team_homes = {}
        epoch = self.cluster_state.epoch
        if not self._members or epoch is None:
            return
        if len(self.cluster_state.team_settings) == 1:
            self.team_homes = dict.fromkeys(self.cluster_state.team_settings, epoch.leader)
            return
        max_teams = -(-len(self.cluster_state.team_settings) // len(self._members))
        team_counts = dict.fromkeys(self._members, 0)
        for team in sorted(self.cluster_state.team_settings):
            home = rendezvous_hash([member for member in self._members if team_counts[member] < max_teams], team)
            self.team_homes[team] = home
            team_counts[home] += 1

    def job_home(self, spec: JobSpec) -> str | None:
        """The controller that places a job's tasks: the leader for a gang, else the team's home controller."""
        if spec.kind is JobKind.GANG:
            return self.cluster_state.epoch.leader if self.cluster_state.epoch is not None else None
        return self.home(spec.team)

    def still_exists(self, machine_id: str) -> bool:
        """Whether a machine is known and not returned to the cloud or being returned, or has tasks recorded on it."""
        lifecycle = self.cluster_state.restricted_machines.get(machine_id, rec.MachineLifecycle.UP)
        if lifecycle in (rec.MachineLifecycle.RETURNED, rec.MachineLifecycle.RETURNING):
            return machine_id in self.cluster_state.tasks_by_machine
        return machine_id in self.cluster_state.machines or machine_id in self.cluster_state.tasks_by_machine
