"""burlmoor: the decisions of a dispatcher that pushes jobs to workers."""

from burlmoor.policy.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
