"""Decision logic: membership, placement, machines and fleet size.

This package does no I/O: it takes clock readings and events as input and returns effects for the caller to carry out.
"""
