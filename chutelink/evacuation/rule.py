"""The eligibility rule of evacuated failure domains."""

from __future__ import annotations

from ..eligibility.checker import EligibilityRule
from ..eligibility.model import IneligibleReason, Requirements
from ..entry.endpoints import Endpoint
from .table import EvacuationTable


class EvacuationRule(EligibilityRule):
    """Excludes the endpoints of evacuated failure domains.

    Parameters
    ----------
    evacuations : EvacuationTable
        The evacuated failure domains.
    """

    def __init__(self, evacuations: EvacuationTable) -> None:
        self._evacuations = evacuations

    @property
    def is_active(self) -> bool:
        """Whether any failure domain is evacuated."""
        return self._evacuations.has_any

    def check(
        self, row: Endpoint, requirements: Requirements, now_s: float
    ) -> IneligibleReason | None:
        """Return EVACUATED for an endpoint in an evacuated failure domain."""
        if self._evacuations.is_evacuated(row.record.failure_domain):
            return IneligibleReason.EVACUATED
        return None
