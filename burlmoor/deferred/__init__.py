"""Jobs deferred until other jobs are served or until a given time. Imported only if `[waiting]` is on."""

from burlmoor.deferred.conditions import ConditionParser
from burlmoor.deferred.queue import DeferredJobQueue
from burlmoor.deferred.service import DeferredService

__all__ = ["ConditionParser", "DeferredJobQueue", "DeferredService"]
