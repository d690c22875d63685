"""Membership of the controller group: epochs, the leader, ownership of machines, and when a controller may act."""

from gladecroft.coordination.membership.assignment import rendezvous_hash
from gladecroft.coordination.membership.epochs import fit_to_size
from gladecroft.coordination.membership.membership import Membership

__all__ = ["Membership", "rendezvous_hash", "fit_to_size"]
