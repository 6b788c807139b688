"""Hundreds of node processes on loopback, stand-ins round them, and faults between them.

Each party has an address of its own in 127/8 (`places.py`), so a fault can name a pair. What happened is
told by the far sides alone: clients and executors.
"""
