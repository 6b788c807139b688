"""The node's copy of the discovery service's endpoint list, and the administrative overrides on it."""
