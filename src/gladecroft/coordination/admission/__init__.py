"""Who comes first in an overload, agreed among all controllers."""

from gladecroft.coordination.admission.control import AdmissionControl
from gladecroft.coordination.admission.tiers import PriorityTiers

__all__ = ["AdmissionControl", "PriorityTiers"]
