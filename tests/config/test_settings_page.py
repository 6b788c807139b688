"""docs/settings.md names every field that the program's own structs read from outside."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from burlmoor.config import node_config
from burlmoor.config.settings_object import EncodedObject
from burlmoor.downstream import callbacks
from burlmoor.endpoints import discovered_list

PAGE = (Path(__file__).parents[2] / "docs" / "settings.md").read_text()
# Every word in backticks in the first column of a table, header row included.
ROWS = {
    word
    for row in PAGE.splitlines()
    if row.startswith("| ")
    for word in re.findall(r"[A-Za-z_]+", " ".join(re.findall(r"`([^`]*)`", row.split("|")[1])))
}
STRUCTS: list[type[msgspec.Struct]] = [
    *EncodedObject.__subclasses__(),
    node_config._ConfigFile,
    node_config._MachineLimits,
    discovered_list.DiscoveredList,
    discovered_list.DiscoveredEndpoint,
    callbacks._CallbackBody,
]

# Fields that hold another struct: only the fields of that struct have rows.
CONTAINERS = {"RequestClasses", "Orgs", "Limits", "Rules", "Prices", "Blend", "Specifics", "hosts", "limits"}


@pytest.mark.parametrize("struct", STRUCTS, ids=lambda struct: struct.__qualname__)
def test_every_field_has_a_row(struct: type[msgspec.Struct]) -> None:
    names = [field.encode_name for field in msgspec.structs.fields(struct)]
    assert names
    assert [name for name in names if name not in ROWS and name not in CONTAINERS] == []


def test_a_field_without_a_row_is_detected() -> None:
    assert "Colour" not in ROWS
    assert {"Credit", "OpenCap", "peer_listen", "born_ms"} <= ROWS
