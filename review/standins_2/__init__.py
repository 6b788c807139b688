"""Stand-ins of clients, executors and discovery for the cases from 6 on, after the protocol's pages.

They need the standard library only, and use loopback addresses only.
"""
