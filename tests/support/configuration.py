"""Valid settings, and a node's configuration file that contains them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_OBJECT: dict[str, Any] = {
    "RequestClasses": [
        {"Name": "lookup", "Credit": 1, "Target": 2500.0, "HardLimit": 5000.0, "Idempotency": "repeatable"},
        {"Name": "once", "Credit": 3, "Target": 2500.0, "HardLimit": 5000.0, "Idempotency": "once"},
        {"Name": "keyed", "Credit": 2, "Target": 2500.0, "HardLimit": 5000.0, "Idempotency": "by_key",
         "DedupScope": "all", "RepeatWindow": 15000.0},
    ],
    "Limits": {"SendCap": 4, "Cancel": True, "SecondCopies": True, "ConnectTimeout": 250.0},
    "Rules": {"AnswerSlack": 8.0, "StopSendingWithin": 250.0, "MustAskIn": 10000.0},
    "Specifics": {"TellsStart": True, "Progress": 2000.0},
    "RegistryMode": "ask",
    "Tick": 2.0,
    "Zone": "a",
}  # fmt: skip


def write_config(folder: Path, **changes: Any) -> dict[str, str]:
    """Write the configuration file, with `changes` to its fields; return the environment that names it."""
    fields = {
        "name": "n1", "listen": "127.0.0.1:8081", "discovery": "127.0.0.1:8500", "seed": "8c1f",
        "limits": {"sockets": 900}, "settings": SETTINGS_OBJECT,
        "known": {"seq": 4, "whole": True, "hosts": []}, **changes,
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(fields))
    return {"RELAY_CONFIG": str(folder / "config.json")}
