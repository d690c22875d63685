"""Manages the machines that a controller owns: reports, commands, detection of ended tasks, announcements to peers."""

from gladecroft.coordination.machines.manager import MachineManager

__all__ = ["MachineManager"]
