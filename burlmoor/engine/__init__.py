"""The lifecycle of jobs in one node: admission, deadlines, attempts, deferral and the one final answer."""
