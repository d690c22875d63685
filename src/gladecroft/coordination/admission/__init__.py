"""Who comes first in an overload, agreed among all controllers."""

from gladecroft.coordination.admission.control import Admission
from gladecroft.coordination.admission.tiers import Tiers

__all__ = ["Admission", "Tiers"]
