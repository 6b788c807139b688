"""Connects dispatchers to the simulator: answers each JSON line with one JSON line, until the end of input.

`event_parsing` and `action_encoding` are the codec, and `wire` has the types that they share;
`dispatcher_host` owns the dispatchers; `__main__` is the command. All decisions are made by the dispatchers.
"""
