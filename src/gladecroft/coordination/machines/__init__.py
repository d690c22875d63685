"""Manages the machines that a controller owns: reports, commands, exit detection, announcements to peers."""

from gladecroft.coordination.machines.manager import MachineManager

__all__ = ["MachineManager"]
