"""Advisors to the core: facts in, advice out. Each subject is one module; ``switched_on`` builds those in use."""

from __future__ import annotations

from collections.abc import Iterable

from gladecroft.policies.cordon import CordonPolicy
from gladecroft.policies.engine import PolicyEngine
from gladecroft.policies.interface import Policy

#: The policies that operators may switch on, by the name in their settings.
KNOWN: dict[str, type[Policy]] = {CordonPolicy.subject: CordonPolicy}


def build_policy_engine(names: Iterable[str]) -> PolicyEngine | None:
    """The panel of these policies; None if there are none, so that the core can tell at one look."""
    policies = [KNOWN[name]() for name in names]
    return PolicyEngine(policies) if policies else None


__all__ = ["KNOWN", "PolicyEngine", "Policy", "build_policy_engine"]
