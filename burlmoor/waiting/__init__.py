"""Jobs that wait for other jobs or for a time. Imported only where `[waiting]` is on."""

from burlmoor.waiting.conditions import ConditionParser
from burlmoor.waiting.service import DeferredService
from burlmoor.waiting.ward import DeferredJobQueue

__all__ = ["ConditionParser", "DeferredJobQueue", "DeferredService"]
