"""The lane by which a controller changes tasks, teams and machines, and the ends that it knows of."""

from gladecroft.coordination.state_writer.exits import LOST_NOTE_PREFIX, TELL_EVERY, Outcome
from gladecroft.coordination.state_writer.writer import PolicyWrite, StateWriter

__all__ = ["LOST_NOTE_PREFIX", "TELL_EVERY", "StateWriter", "Outcome", "PolicyWrite"]
