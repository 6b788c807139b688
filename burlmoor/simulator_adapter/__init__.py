"""Runs many dispatchers on the simulator's wire: one JSON line in, one JSON line out, until the end of input.

`event_parsing` and `action_encoding` are the codec and `wire` is what they share; `dispatcher_host` owns the
dispatchers; `__main__` is the command. Nothing is decided here.
"""
