"""A job's life in one node: timers, attempts and exactly one final answer."""
