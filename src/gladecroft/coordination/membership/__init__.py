"""Which controllers live, who leads, who owns which machine, and until when this one may act."""

from gladecroft.coordination.membership.assignment import by_hash
from gladecroft.coordination.membership.epochs import fitting
from gladecroft.coordination.membership.membership import Membership

__all__ = ["Membership", "by_hash", "fitting"]
