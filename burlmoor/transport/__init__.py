"""Addresses, sockets, the streams over them, and ring buffers."""
