"""Submissions, polls and cancellations."""

from gladecroft.coordination.users.users import Users

__all__ = ["Users"]
