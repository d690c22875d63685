"""Admission control under overload: fair shares and limits on new jobs, which all controllers apply alike."""

from gladecroft.coordination.admission.control import AdmissionControl
from gladecroft.coordination.admission.tiers import AdmissionTiers

__all__ = ["AdmissionControl", "AdmissionTiers"]
