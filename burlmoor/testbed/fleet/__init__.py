"""Hundreds of node processes on loopback, with simulated clients and executors, and injected faults.

Each process has an address of its own in 127/8 (`addresses.py`), so a fault can name a pair of processes.
What happened is judged by what clients and executors observed, never by what a node logs.
"""
