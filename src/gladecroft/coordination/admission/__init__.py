"""Admission control under overload: fair shares and limits on new jobs, the same on all controllers."""

from gladecroft.coordination.admission.control import AdmissionControl
from gladecroft.coordination.admission.tiers import PriorityTiers

__all__ = ["AdmissionControl", "PriorityTiers"]
