"""burlmoor: a load balancer that sends jobs to executors. Exports the policy, `Dispatcher`."""

from burlmoor.policy.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
