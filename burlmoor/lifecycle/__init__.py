"""The node's process: start, reload, graceful shutdown and handover to a new process."""
