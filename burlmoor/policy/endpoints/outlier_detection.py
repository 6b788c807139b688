"""Outlier detection: ejects endpoints after consecutive faults and decides when they may be probed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.types.settings import Idempotency

if TYPE_CHECKING:
    from collections.abc import Sequence

    from burlmoor.policy.model.endpoint import Endpoint

EJECTION_FAULTS = 2  # consecutive faults that eject an endpoint
FIRST_PROBE_DELAY_MS = 500.0  # doubled for each further fault
MAX_PROBE_DELAY_DOUBLINGS = 4


class OutlierDetector:
    """Ejects failing endpoints, unless most of them fail: the cause is then probably at this node."""

    def __init__(self) -> None:
        self.protects_non_idempotent = True  # one fault excludes an endpoint for non-idempotent jobs
        self.is_ejecting = True  # EJECTION_FAULTS consecutive faults eject an endpoint

    def update(self, live: Sequence[Endpoint]) -> None:
        """Suspend each of the two rules while it would apply to more than half of the live endpoints."""
        faults = [endpoint.consecutive_faults for endpoint in live]
        self.protects_non_idempotent = 2 * sum(count > 0 for count in faults) <= len(faults)
        self.is_ejecting = 2 * sum(count >= EJECTION_FAULTS for count in faults) <= len(faults)

    def without_ejected(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        """Return the endpoints that are not ejected or are due for a probe."""
        if not self.is_ejecting:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.consecutive_faults < EJECTION_FAULTS or now >= endpoint.next_probe_at
        ]

    def may_receive(self, endpoint: Endpoint, idempotency: Idempotency, now: float) -> bool:
        """Return whether a job may be sent to the endpoint despite its faults.

        An ejected endpoint is probed with one idempotent job at a time. Otherwise, endpoints that fail
        immediately would attract most jobs, since they are always free.
        """
        faults = endpoint.consecutive_faults
        if faults < EJECTION_FAULTS:
            return not (faults and self.protects_non_idempotent and idempotency is Idempotency.NON_IDEMPOTENT)
        if not self.is_ejecting:
            return True
        is_idle = endpoint.slots_in_flight <= 0.0
        return idempotency is Idempotency.IDEMPOTENT and is_idle and now >= endpoint.next_probe_at

    @staticmethod
    def record_success(endpoint: Endpoint) -> None:
        """Reset the fault count after a job was served."""
        endpoint.consecutive_faults = 0

    @staticmethod
    def record_fault(endpoint: Endpoint, now: float) -> None:
        """Count a fault, and postpone the next probe."""
        endpoint.consecutive_faults += 1
        doublings = endpoint.consecutive_faults - EJECTION_FAULTS
        doublings = max(0, min(doublings, MAX_PROBE_DELAY_DOUBLINGS))
        endpoint.next_probe_at = now + FIRST_PROBE_DELAY_MS * 2.0**doublings
