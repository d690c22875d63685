"""Autoscaling by the leader: which machines to rent from the cloud and which to return to it."""

from gladecroft.coordination.fleet.autoscaler import Autoscaler

__all__ = ["Autoscaler"]
