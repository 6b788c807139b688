"""Cluster membership by SWIM with Lifeguard's additions, without I/O.

`swim.Membership` is the entry point. The node does not use this package yet; it is to be enabled by a
`[membership]` section of the options once a driver with sockets exists.
"""
