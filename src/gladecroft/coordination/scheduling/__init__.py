"""Where tasks go: the two placers, the order of what waits, and what is stopped to make room or to leave a machine."""

from gladecroft.coordination.scheduling.evictor import MOVED_NOTE_PREFIX
from gladecroft.coordination.scheduling.scheduler import Scheduler

__all__ = ["MOVED_NOTE_PREFIX", "Scheduler"]
