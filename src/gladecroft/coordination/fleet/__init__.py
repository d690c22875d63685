"""The leader's dealings with the cloud: what there is, what to rent, what to return."""

from gladecroft.coordination.fleet.autoscaler import Autoscaler

__all__ = ["Autoscaler"]
