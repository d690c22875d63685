"""gladecroft: a cluster scheduler on the design of CoSpot."""

__version__ = "0.1.0"
