"""Optional policies that influence scheduling and provisioning, one module per policy.

A policy only answers queries; the core acts on the results.
"""

from __future__ import annotations

from collections.abc import Iterable

from gladecroft.policies.cordon import CordonPolicy
from gladecroft.policies.engine import PolicyEngine
from gladecroft.policies.interface import Policy

#: Policies that operators can enable, by subject: the identifier of a policy in the settings.
POLICY_TYPES: dict[str, type[Policy]] = {CordonPolicy.subject: CordonPolicy}


def build_policy_engine(names: Iterable[str]) -> PolicyEngine | None:
    """Returns an engine for the named policies, or None without names so that callers can skip all policy checks."""
    policies = [POLICY_TYPES[name]() for name in names]
    return PolicyEngine(policies) if policies else None


__all__ = ["POLICY_TYPES", "Policy", "PolicyEngine", "build_policy_engine"]
