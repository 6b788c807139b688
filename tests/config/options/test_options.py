"""The options file: parsing, a report of all faults together, and an example that matches the structs."""

from __future__ import annotations

import configparser
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.config.options import DeferredOptions, InvalidOptionsError, Options, read_options
from burlmoor.config.options.parser import parse_options, quantity_kind, section_types
from burlmoor.config.options.units import UNITS, format_quantity, parse_quantity

EXAMPLE = Path(__file__).parents[3] / "deploy" / "burlmoor.ini.example"


def test_an_absent_section_is_off() -> None:
    assert parse_options("", "f") == Options(waiting=None)
    assert parse_options("# nothing\n[waiting]\n", "f").waiting == DeferredOptions()


def test_quantities_are_parsed_with_their_units() -> None:
    waiting = parse_options(
        "[waiting]\nheld = 2 MiB\nlongest = 1.5 min\nplaces = 40 %\njobs = 7\n", "f"
    ).waiting
    assert waiting == DeferredOptions(
        max_body_bytes=2.0 * 1024**2, max_deferral_ms=90_000.0, connection_fraction=0.4, max_jobs=7
    )


@pytest.mark.parametrize(
    ("text", "lines"),
    [
        ("[waiting]\njobs = 0\n", ["f: [waiting] jobs: invalid value '0': Expected `int` >= 1"]),
        (
            "[waiting]\nheld = 1 GB\n",
            ["f: [waiting] held: invalid size '1 GB'; allowed: a number and one of B, KiB"],
        ),
        (
            "[waiting]\nlongest = 10\n",
            ["f: [waiting] longest: invalid duration '10'; allowed: a number and one of ms, s"],
        ),
        ("[waiting]\nlongest = 2 ms\n", ["f: [waiting] longest: invalid value '2 ms'; allowed: 1 s to 24 h"]),
        (
            "[waiting]\nplaces = nan %\n",
            ["f: [waiting] places: invalid percentage 'nan %'; allowed: a number and one of %"],
        ),
        ("[waiting]\nJobs = 5\n", ["f: [waiting] Jobs: unknown key"]),
        ("[wating]\n", ["f: [wating]: unknown section"]),
        ("jobs = 1\n", ["f: line 1: text before the first [section]"]),
        ("[waiting]\njobs\n", ["f: line 2: expected [section] or key = value"]),
        ("[waiting]\njobs = 1\njobs = 2\n", ["f: [waiting] jobs: duplicate key (line 3)"]),
        ("[waiting]\n[waiting]\n", ["f: [waiting]: duplicate section (line 2)"]),
        (
            "[waiting]\njobs = x\nlongest = y\n[more]\n",
            [
                "f: [waiting] jobs: invalid value 'x'",
                "f: [waiting] longest: invalid duration 'y'",
                "f: [more]: unknown section",
            ],
        ),
    ],
)
def test_every_fault_is_reported_on_its_own_line(text: str, lines: list[str]) -> None:
    with pytest.raises(InvalidOptionsError) as caught:
        parse_options(text, "f")
    assert len(caught.value.faults) == len(lines)
    for fault, line in zip(map(str, caught.value.faults), lines, strict=True):
        assert fault.startswith(line)
        assert "\n" not in fault


@pytest.mark.parametrize("content", [b"\xff\xfe", b"#" * (1 << 21), None])
def test_an_unreadable_file_is_reported_on_one_line(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "options.ini"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InvalidOptionsError) as caught:
        read_options(path)
    assert len(caught.value.faults) == 1
    assert str(caught.value).startswith(str(path))
    assert "\n" not in str(caught.value)


def test_the_example_shows_every_key_with_its_default() -> None:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(EXAMPLE.read_text())
    assert set(parser.sections()) == set(section_types())
    for name, section_type in section_types().items():
        fields = msgspec.structs.fields(section_type)
        assert list(parser[name]) == [field.encode_name for field in fields]
        assert getattr(read_options(EXAMPLE), name) == section_type()


@given(st.sampled_from(sorted(UNITS)), st.integers(0, 10**6))
def test_a_formatted_quantity_parses_back_to_the_same_value(kind: str, count: int) -> None:
    smallest = next(iter(UNITS[kind].values()))
    assert parse_quantity(format_quantity(count * smallest, kind), kind) == pytest.approx(count * smallest)


def test_every_default_is_within_its_bounds() -> None:
    for section_type in section_types().values():
        for field in msgspec.structs.fields(section_type):
            assert msgspec.convert(field.default, field.type) == field.default
            assert quantity_kind(field.type) in (None, *UNITS)
