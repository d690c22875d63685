"""Which controllers live, who leads, who owns which machine, and until when this one may act."""

from gladecroft.coordination.membership.epochs import fitting
from gladecroft.coordination.membership.membership import Membership
from gladecroft.coordination.membership.parts import by_hash

__all__ = ["Membership", "by_hash", "fitting"]
