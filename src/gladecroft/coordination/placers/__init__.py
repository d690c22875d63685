"""Where tasks go: the two placers, the order of what waits, and what is stopped to make room or to leave a machine."""

from gladecroft.coordination.placers.placers import Placers
from gladecroft.coordination.placers.stops import MOVED

__all__ = ["MOVED", "Placers"]
