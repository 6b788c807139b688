"""Simulations in virtual time, without sockets.

`cluster` runs the engine and its policy against simulated executors, and `audit` checks what clients and
executors observed; `gossip` runs the membership protocol.
"""
