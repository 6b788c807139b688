"""Cluster membership by SWIM with Lifeguard's additions, without I/O.

`swim.Membership` is the entry point. Nothing of the node imports this package yet: it becomes `[membership]`
of the options once a driver with sockets exists.
"""
