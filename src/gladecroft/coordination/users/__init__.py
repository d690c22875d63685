"""Handling of users' requests: submissions, polls and cancellations."""

from gladecroft.coordination.users.handler import UserRequestHandler

__all__ = ["UserRequestHandler"]
