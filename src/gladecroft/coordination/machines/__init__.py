"""The owner's work for each of its machines: reports, commands, what is proven gone, and what siblings hear of it."""

from gladecroft.coordination.machines.manager import MachineManager

__all__ = ["MachineManager"]
