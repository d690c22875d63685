"""The lane by which a controller changes tasks, teams and machines, and the ends that it knows of."""

from gladecroft.coordination.state_writer.exits import LOST, TELL_EVERY, Outcome
from gladecroft.coordination.state_writer.writer import Ledger, PolicyPut

__all__ = ["LOST", "TELL_EVERY", "Ledger", "Outcome", "PolicyPut"]
