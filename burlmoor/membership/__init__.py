"""Cluster membership by SWIM with Lifeguard's additions, without I/O.

`swim.Membership` is the entry point. The node does not import this package yet: it becomes the `[membership]`
section of the options once a driver with sockets exists.
"""
