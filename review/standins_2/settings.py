"""The settings of a small deployment, in the form of the platform's settings object."""

from __future__ import annotations

from typing import Any


def job_class(name: str, idempotency: str, deadline_ms: float, **fields: object) -> dict[str, Any]:
    """Return a job class of the settings."""
    return {
        "Name": name, "Idempotency": idempotency, "HardLimit": deadline_ms, "Target": 750.0, "Credit": 2.0,
        "LateWorth": 0.0, "DedupScope": "all", "RepeatWindow": 5000.0, "Stream": False, **fields,
    }  # fmt: skip


def small_deployment(
    *classes: dict[str, Any],
    nodes: int,
    index: int,
    registry_mode: str = "ask",
    weight_source: str = "none",
    limits: dict[str, object] | None = None,
    rules: dict[str, object] | None = None,
) -> dict[str, Any]:
    """Return the settings of one of a few nodes in one zone; figures as in the sites' files."""
    return {
        "Balancers": nodes, "Me": index, "RequestClasses": list(classes), "RegistryMode": registry_mode,
        "KindOfService": "jobs", "Kinds": ["m1"], "Zone": "a", "Zones": ["a"], "Stages": ["workers"],
        "Layer": 0, "Tick": 2.0, "WeightSource": weight_source, "WorthBy": "work", "Orgs": [],
        "OverShareWorth": 0.1,
        "Limits": {
            "Cancel": True, "ConnectTimeout": 250.0, "Keepalive": 30000.0, "MaxRetryAfter": 2000.0,
            "MayTell": False, "Multiplex": 1, "OpenCap": 20000, "Probes": True, "RetryAfter": False,
            "SecondCopies": True, "SendCap": 5, **(limits or {}),
        },
        "Rules": {
            "AnswerSlack": 8.0, "Cold": 24000.0, "FallMultiple": 4.0, "MustAskIn": 10000.0,
            "OverloadFor": 1000.0, "StartCapacity": 0.12, "StopSendingWithin": 250.0, **(rules or {}),
        },
        "Specifics": {
            "ClassKind": [-1] * len(classes), "ClassPriority": [0] * len(classes),
            "ClassStretch": [2.0] * len(classes), "Notes": "1 it has started, 2 share done",
            "Progress": 2000.0, "QueueOrder": "fifo", "TellsStart": True,
        },
    }  # fmt: skip
