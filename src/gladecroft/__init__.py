"""gladecroft, a cluster scheduler based on the design of CoSpot."""

__version__ = "0.1.0"
