"""Jobs that wait for other jobs or for a time. Imported only where `[waiting]` is on."""

from burlmoor.waiting.conditions import Reader
from burlmoor.waiting.service import WaitingService
from burlmoor.waiting.ward import Ward

__all__ = ["Reader", "WaitingService", "Ward"]
