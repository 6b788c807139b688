"""A job's life in one node: admission, deadlines, attempts, deferral and exactly one final answer."""
