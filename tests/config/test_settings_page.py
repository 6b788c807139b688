"""docs/settings.md names every field that the program's own structs read from outside."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from burlmoor.config import node_config, settings
from burlmoor.downstream import callbacks
from burlmoor.endpoints import discovered_list

PAGE = (Path(__file__).parents[2] / "docs" / "settings.md").read_text()
# Every code word in the first column of a table, or in a heading's list of one.
NAMED = {
    word
    for row in PAGE.splitlines()
    if row.startswith("| ")
    for word in re.findall(r"[A-Za-z_]+", " ".join(re.findall(r"`([^`]*)`", row.split("|")[1])))
}
STRUCTS: list[type[msgspec.Struct]] = [
    *settings._Table.__subclasses__(),
    node_config._File,
    node_config._Limits,
    discovered_list.DiscoveredList,
    discovered_list.DiscoveredEndpoint,
    callbacks._JobEvent,
]


@pytest.mark.parametrize("struct", STRUCTS, ids=lambda struct: struct.__qualname__)
def test_every_field_has_a_row(struct: type[msgspec.Struct]) -> None:
    fields = [field.encode_name for field in msgspec.structs.fields(struct)]
    assert fields
    assert [name for name in fields if name not in NAMED and name not in HOLDERS] == []


# Fields that hold a part of the object: their own fields have the rows.
HOLDERS = {"RequestClasses", "Orgs", "Limits", "Rules", "Prices", "Blend", "Specifics", "hosts", "limits"}


def test_a_field_without_a_row_is_noticed() -> None:
    assert "Colour" not in NAMED
    assert {"Credit", "OpenCap", "peer_listen", "born_ms"} <= NAMED
