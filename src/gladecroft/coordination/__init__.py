"""Decisions: membership, placement, machines, the fleet. No I/O: time and events in, effects out."""
