"""Submissions, polls and cancellations."""

from gladecroft.coordination.users.handler import Users

__all__ = ["Users"]
