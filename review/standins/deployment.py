"""The settings of two small deployments of one node, in the form of the simulator's first message.

The values are those of the wire page's example and of the two sites' pages.
"""

from __future__ import annotations

from typing import Any


def make_class(name: str, idempotency: str, **changes: str | float) -> dict[str, Any]:
    """Return an entry of `RequestClasses`."""
    entry: dict[str, Any] = {
        "Credit": 10.0 if idempotency == "once" else 2.0,
        "DedupScope": "all",
        "HardLimit": 5000.0,
        "Idempotency": idempotency,
        "LateWorth": 0.0,
        "Name": name,
        "RepeatWindow": 5000.0,
        "Stream": False,
        "Target": 300.0,
    }
    return entry | changes


SLOT_SEARCH = make_class("slot-search", "repeatable", HardLimit=6000.0)
VISIT_DETAILS = make_class("visit-details", "repeatable")
CONFIRM_BOOKING = make_class("confirm-booking", "once")


def make_booking_settings(slot_search: dict[str, Any] = SLOT_SEARCH) -> dict[str, Any]:
    """Return the settings object of the installers' booking service, `hinai-booking`."""
    return {
        "Balancers": 1,
        "Blend": {"Whole": 0.35, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.35},
        "Clients": {"MarksRetry": False},
        "KindOfService": "jobs",
        "Kinds": ["type-a", "type-b", "type-c"],
        "Layer": 0,
        "Limits": {
            "Cancel": True,
            "ConnectTimeout": 250.0,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 15000,
            "Keepalive": 30000.0,
            "MaxRetryAfter": 2000.0,
            "MayTell": False,
            "Multiplex": 1,
            "OpenCap": 20000,
            "Probes": True,
            "RetryAfter": False,
            "SecondCopies": True,
            "SendCap": 5,
        },
        "Me": 0,
        "Orgs": [
            {"Name": "sahil-net", "Portion": 0.6, "QuotaRps": 90.0},
            {"Name": "wadi-link", "Portion": 0.4, "QuotaRps": 60.0},
        ],
        "OverShareWorth": 0.1,
        "Prices": {"CrossZone": 0.015, "LateFail": 0.077, "Probe": 0.0028, "Waste": 0.08},
        "RegistryMode": "ask",
        "RequestClasses": [slot_search, VISIT_DETAILS, CONFIRM_BOOKING],
        "Rules": {
            "AnswerSlack": 8.0,
            "Cold": 24000.0,
            "FallMultiple": 4.0,
            "MustAskIn": 10000.0,
            "OverloadFor": 1000.0,
            "StartCapacity": 0.12,
            "StopSendingWithin": 250.0,
        },
        "Specifics": {
            "ClassKind": [-1, -1, -1],
            "ClassPriority": [0, 0, 1],
            "ClassStretch": [2.0, 2.0, 2.5],
            "MemoryUnit": "a worker has one unit for each slot",
            "Notes": "1 it has started, 2 share done",
            "Progress": 2000.0,
            "QueueOrder": "fifo",
            "ReportX0": "free slots",
            "ReportX1": "free memory",
            "TellsStart": True,
        },
        "Stages": ["booking-workers"],
        "Telemetry": {"Columns": ["failed_ps", "cpu_share", "x0"], "Source": "probe"},
        "Tick": 2.0,
        "WeightSource": "none",
        "WorthBy": "work",
        "Zone": "sur",
        "Zones": ["muscat", "sohar", "nizwa", "sur"],
    }


def make_car_hire_settings() -> dict[str, Any]:
    """Return the settings object of the car hire office, `hire-core-tw`, where lists are pushed."""
    settings = make_booking_settings()
    limits = {"Keepalive": 60000.0, "MayTell": True, "RetryAfter": True}
    specifics = {
        "ClassKind": [-1, -1],
        "ClassPriority": [1, 0],
        "ClassStretch": [2.0, 1.75],
        "Progress": 1000.0,
    }
    booking = make_class(
        "booking", "by_key", Credit=5.0, HardLimit=10000.0, RepeatWindow=15000.0, Target=750.0
    )
    deposit = make_class("deposit", "once", Credit=3.0, HardLimit=20000.0, Target=500.0)
    return settings | {
        "Limits": settings["Limits"] | limits,
        "Orgs": [
            {"Name": "taipei", "Portion": 0.5, "QuotaRps": 30.0},
            {"Name": "tainan", "Portion": 0.5, "QuotaRps": 30.0},
        ],
        "OverShareWorth": 0.05,
        "RegistryMode": "push",
        "RequestClasses": [booking, deposit],
        "Rules": settings["Rules"] | {"FallMultiple": 2.5, "OverloadFor": 3000.0, "StartCapacity": 0.15},
        "Specifics": settings["Specifics"] | specifics,
        "Tick": 4.0,
    }
