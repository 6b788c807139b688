"""TCP transport: addresses, sockets, buffered streams and ring buffers."""
