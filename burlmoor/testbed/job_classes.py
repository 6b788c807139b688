"""The job classes that stand-in clients use, and the platform settings that declare them to nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class JobClass(NamedTuple):
    """A class of jobs, with the properties that clients and nodes use."""

    name: str
    fraction: float  # of all jobs
    mean_work_ms: float  # on one core of speed 1
    timeout_ms: float
    is_non_idempotent: bool = False
    priority_weight: float = 2.0
    latency_objective_ms: float = 300.0
    objective_stretch: float = 2.0  # ms added to the latency objective for each ms of work


JOB_CLASSES = (
    JobClass("slot-search", fraction=0.43, mean_work_ms=400.0, timeout_ms=6000.0),
    JobClass("visit-details", fraction=0.38, mean_work_ms=200.0, timeout_ms=5000.0),
    JobClass(
        "confirm-booking", fraction=0.19, mean_work_ms=200.0, timeout_ms=5000.0,
        is_non_idempotent=True, priority_weight=10.0, objective_stretch=2.5,
    ),
)  # fmt: skip

# The class whose jobs have idempotency keys in runs that set a window for repeats.
KEYED_CLASS_NAME = JOB_CLASSES[1].name


def platform_settings(
    job_classes: Sequence[JobClass] = JOB_CLASSES, nodes: int = 1, zone: str = "a"
) -> dict[str, Any]:
    """Return the settings that the platform gives to each node, as an object for JSON."""
    return {
        "Balancers": nodes,
        "RequestClasses": [_class_settings(job_class) for job_class in job_classes],
        "Specifics": {"ClassStretch": [job_class.objective_stretch for job_class in job_classes],
                      "TellsStart": True, "Progress": 2000.0},
        "Limits": {"SendCap": 5, "Cancel": True, "SecondCopies": True, "ConnectTimeout": 250.0,
                   "Keepalive": 30_000.0, "MaxRetryAfter": 2000.0, "RetryAfter": True},
        "Rules": {"AnswerSlack": 8.0, "StopSendingWithin": 250.0, "MustAskIn": 10_000.0, "Cold": 10_000.0,
                  "StartCapacity": 0.15, "FallMultiple": 4.0, "OverloadFor": 1000.0},
        "RegistryMode": "ask", "Tick": 2.0, "Zone": zone, "WorthBy": "work", "OverShareWorth": 0.1,
    }  # fmt: skip


def add_repeat_window(settings: dict[str, Any], window_ms: float) -> None:
    """Change these settings: jobs of the class with keys may be sent again only within this window."""
    for class_settings in settings["RequestClasses"]:
        if class_settings["Name"] == KEYED_CLASS_NAME:
            class_settings.update(Idempotency="by_key", DedupScope="all", RepeatWindow=window_ms)


def _class_settings(job_class: JobClass) -> dict[str, Any]:
    return {
        "Name": job_class.name,
        "Credit": job_class.priority_weight,
        "Target": job_class.latency_objective_ms,
        "HardLimit": job_class.timeout_ms,
        "Idempotency": "once" if job_class.is_non_idempotent else "repeatable",
    }
