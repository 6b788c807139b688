"""The memory of this process, for its log."""

from __future__ import annotations

import resource

_KIB_PER_MB = 1024  # Linux reports KiB; MB here are MiB, as in the node's limit


def peak_memory_mb() -> int:
    """Return the highest resident memory that this process has had, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // _KIB_PER_MB
