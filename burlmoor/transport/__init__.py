"""Sockets and ring buffers."""
