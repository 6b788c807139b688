"""Job classes for tests that expect results from a node whose process may be stalled by a busy machine."""

from __future__ import annotations

from typing import Any

from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings

# A node rejects a job that is past its latency objective before it is sent, for example after a stall.
_LATENCY_OBJECTIVE_MS = 5000.0


def request_classes_with_long_objectives() -> list[dict[str, Any]]:
    """Return the setting `RequestClasses` with the testbed's classes and long latency objectives."""
    job_classes = [
        job_class._replace(latency_objective_ms=_LATENCY_OBJECTIVE_MS) for job_class in JOB_CLASSES
    ]
    classes: list[dict[str, Any]] = platform_settings(job_classes)["RequestClasses"]
    return classes
