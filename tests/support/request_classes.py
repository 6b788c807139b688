"""The testbed's job classes as a setting of nodes, with properties that a test changes."""

from __future__ import annotations

from typing import Any

from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings

# A node rejects a job that is past its latency objective before it is sent, for example after a stall.
_LONG_LATENCY_OBJECTIVE_MS = 5000.0


def request_classes_with(**properties: float) -> list[dict[str, Any]]:
    """Return the setting `RequestClasses` with these properties (see `JobClass`) for all classes."""
    job_classes = [job_class._replace(**properties) for job_class in JOB_CLASSES]  # type: ignore[arg-type]
    classes: list[dict[str, Any]] = platform_settings(job_classes)["RequestClasses"]
    return classes


def request_classes_with_long_objectives() -> list[dict[str, Any]]:
    """Return classes for tests that expect results from a node whose process may be stalled."""
    return request_classes_with(latency_objective_ms=_LONG_LATENCY_OBJECTIVE_MS)
