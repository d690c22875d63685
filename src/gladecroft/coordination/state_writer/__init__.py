"""Writes a controller's changes of tasks, teams and machines to the state service, and tracks exits of attempts."""

from gladecroft.coordination.state_writer.exits import LOST_NOTE_PREFIX, PEER_MESSAGE_INTERVAL, Outcome
from gladecroft.coordination.state_writer.writer import PolicyWrite, StateWriter

__all__ = ["LOST_NOTE_PREFIX", "PEER_MESSAGE_INTERVAL", "Outcome", "PolicyWrite", "StateWriter"]
