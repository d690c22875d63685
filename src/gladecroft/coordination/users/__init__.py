"""Submissions, polls and cancellations."""

from gladecroft.coordination.users.handler import UserRequestHandler

__all__ = ["UserRequestHandler"]
