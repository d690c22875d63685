"""The scheduler: assigns pending tasks to machines, and stops tasks to preempt them or to drain a machine."""

from gladecroft.coordination.scheduling.evictor import MOVED_NOTE_PREFIX
from gladecroft.coordination.scheduling.scheduler import Scheduler

__all__ = ["MOVED_NOTE_PREFIX", "Scheduler"]
