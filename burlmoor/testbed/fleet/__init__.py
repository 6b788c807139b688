"""Hundreds of node processes on loopback, with simulated clients and executors, and injected faults.

Each process has its own address in 127.0.0.0/8 (`addresses.py`), so a fault can apply to a single pair of
processes. A run is assessed only by what its clients and executors observed, never by the logs of its nodes.
"""
