"""Validation of discovery responses: errors name the field; an invalid entry affects no other."""

from __future__ import annotations

import pytest

from burlmoor.endpoints.discovered_list import DiscoveredEndpoint, DiscoveredList
from burlmoor.endpoints.list_validation import InvalidEndpointListError, decode_list, validate_entries
from burlmoor.errors import BurlmoorError


@pytest.mark.parametrize(
    ("body", "field", "value"),
    [
        (b"{", "body", b"{"),
        (b"null", "body", None),
        (b"[]", "body", b"[]"),
        (b'{"seq": "x"}', "seq", b'{"seq": "x"}'),
        (b'{"seq": 1, "hosts": [{"host": "e0"}, {"host": 7}]}', "hosts[1].host", None),
        (b'{"seq": 1, "hosts": [{"host": "\xff"}]}', "body", None),
    ],
)
def test_a_decoding_error_names_the_invalid_field(body: bytes, field: str, value: object) -> None:
    with pytest.raises(InvalidEndpointListError) as raised:
        decode_list(body)
    assert isinstance(raised.value, ValueError)
    assert isinstance(raised.value, BurlmoorError)
    assert raised.value.field == field
    assert str(raised.value).startswith(f"{field}: ")
    assert raised.value.value == (value if value is not None or body == b"null" else body[:100])


def test_list_fields_are_decoded_from_their_wire_names() -> None:
    body = (
        b'{"seq": 4, "whole": false, "hosts": [{"host": "e0", "dial": "h:1", "site": "a", "class": "big",'
        b' "block": 2, "health": "active", "share": 0.5, "born_ms": 7}]}'
    )
    expected = DiscoveredEndpoint("e0", "h:1", "a", "big", 2, "active", 0.5, 7.0)
    assert decode_list(body) == DiscoveredList(4, is_complete=False, endpoints=[expected])


def endpoint(name: str, health: str = "active", **fields: object) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(name, **{"address": "127.0.0.1:9", "health": health, **fields})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("entry", "field"),
    [
        (endpoint(""), "hosts[1].host"),
        (endpoint("e1", weight=-1.0), "hosts[1].share"),
        (endpoint("e1", weight=float("nan")), "hosts[1].share"),
        (endpoint("e1", address="nowhere"), "hosts[1].dial"),
        (endpoint("e1", address=""), "hosts[1].dial"),
        (endpoint("e0"), "hosts[1].host"),
    ],
)
def test_an_invalid_entry_is_reported_and_skipped(entry: DiscoveredEndpoint, field: str) -> None:
    others = [endpoint("e0"), endpoint("e2")]
    validated = validate_entries([others[0], entry, others[1]], {})
    assert validated.valid == others
    assert [problem.field for problem in validated.invalid] == [field]


def test_an_invalid_entry_is_replaced_by_the_known_entry() -> None:
    known = endpoint("e0", "leaving")
    validated = validate_entries([endpoint("e0", weight=-1.0)], {"e0": known})
    assert validated.valid == [known]
    assert validate_entries([endpoint("e0", address="")], {"e0": known}).invalid == []


def test_a_draining_entry_is_applied_even_if_invalid() -> None:
    draining = endpoint("e0", "leaving", weight=-1.0, address="nowhere")
    assert validate_entries([draining], {}) == ([draining], [])


def test_duplicates_prefer_the_later_start_then_the_draining_entry() -> None:
    for first, second, valid_index in (
        (endpoint("e0", "leaving"), endpoint("e0"), 0),
        (endpoint("e0"), endpoint("e0", "leaving"), 1),
        (endpoint("e0", "leaving"), endpoint("e0", started_unix_ms=1.0), 1),
        (endpoint("e0", started_unix_ms=1.0), endpoint("e0", "leaving"), 0),
    ):
        validated = validate_entries([first, second], {})
        assert validated.valid == [(first, second)[valid_index]]
        assert [problem.field for problem in validated.invalid] == ["hosts[1].host"]
