"""Where tasks go: the two placers, the order of what waits, and what is stopped to make room or to leave a machine."""

from gladecroft.coordination.scheduling.evictor import MOVED
from gladecroft.coordination.scheduling.scheduler import Placers

__all__ = ["MOVED", "Placers"]
