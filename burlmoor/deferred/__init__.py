"""Jobs deferred until other jobs are served or a time has come. Imported only where `[waiting]` is on."""

from burlmoor.deferred.conditions import ConditionParser
from burlmoor.deferred.queue import DeferredJobQueue
from burlmoor.deferred.service import DeferredService

__all__ = ["ConditionParser", "DeferredJobQueue", "DeferredService"]
