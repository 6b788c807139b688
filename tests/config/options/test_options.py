"""The options file: what is read, every fault told at once, and the example held against the structs."""

from __future__ import annotations

import configparser
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.config.options import DeferredOptions, InvalidOptionsError, Options, read_options
from burlmoor.config.options.parser import parse, sections, unit_of
from burlmoor.config.options.units import UNITS, value, written

EXAMPLE = Path(__file__).parents[3] / "deploy" / "burlmoor.ini.example"


def test_a_section_that_is_absent_is_off() -> None:
    assert parse("", "f") == Options(waiting=None)
    assert parse("# nothing\n[waiting]\n", "f").waiting == DeferredOptions()


def test_figures_carry_units() -> None:
    read_in = parse("[waiting]\nheld = 2 MiB\nlongest = 1.5 min\nplaces = 40 %\njobs = 7\n", "f").waiting
    assert read_in == DeferredOptions(
        max_body_bytes=2.0 * 1024**2, max_deferral_ms=90_000.0, connection_share=0.4, max_jobs=7
    )


@pytest.mark.parametrize(
    ("text", "lines"),
    [
        ("[waiting]\njobs = 0\n", ["f: [waiting] jobs: '0': Expected `int` >= 1"]),
        ("[waiting]\nheld = 1 GB\n", ["f: [waiting] held: '1 GB' is no size"]),
        ("[waiting]\nlongest = 10\n", ["f: [waiting] longest: '10' is no duration"]),
        ("[waiting]\nlongest = 2 ms\n", ["f: [waiting] longest: '2 ms' does not lie between 1 s and 24 h"]),
        ("[waiting]\nplaces = nan %\n", ["f: [waiting] places: 'nan %' is no share"]),
        ("[waiting]\nJobs = 5\n", ["f: [waiting] Jobs: no such key"]),
        ("[wating]\n", ["f: [wating]: no such section"]),
        ("jobs = 1\n", ["f: line 1: stands before the first [section]"]),
        ("[waiting]\njobs\n", ["f: line 2: neither"]),
        ("[waiting]\njobs = 1\njobs = 2\n", ["f: [waiting] jobs: given twice (line 3)"]),
        ("[waiting]\n[waiting]\n", ["f: [waiting]: given twice (line 2)"]),
        (
            "[waiting]\njobs = x\nlongest = y\n[more]\n",
            ["f: [waiting] jobs: 'x'", "f: [waiting] longest: 'y'", "f: [more]: no such section"],
        ),
    ],
)
def test_all_that_is_wrong_is_told_a_line_each(text: str, lines: list[str]) -> None:
    with pytest.raises(InvalidOptionsError) as caught:
        parse(text, "f")
    assert len(caught.value.faults) == len(lines)
    for fault, line in zip(caught.value.faults, lines, strict=True):
        assert fault.startswith(line)
        assert "\n" not in fault


@pytest.mark.parametrize("made", [b"\xff\xfe", b"#" * (1 << 21), None])
def test_a_file_that_is_none_is_told_in_one_line(tmp_path: Path, made: bytes | None) -> None:
    path = tmp_path / "options.ini"
    if made is not None:
        path.write_bytes(made)
    with pytest.raises(InvalidOptionsError) as caught:
        read_options(path)
    assert len(caught.value.faults) == 1
    assert caught.value.faults[0].startswith(str(path))


def test_the_example_shows_every_key_with_its_default() -> None:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(EXAMPLE.read_text())
    assert set(parser.sections()) == set(sections())
    for name, kind in sections().items():
        fields = msgspec.structs.fields(kind)
        assert list(parser[name]) == [field.encode_name for field in fields]
        assert getattr(read_options(EXAMPLE), name) == kind()


@given(st.sampled_from(sorted(UNITS)), st.integers(0, 10**6))
def test_a_figure_is_read_as_it_is_written(kind: str, figure: int) -> None:
    smallest = next(iter(UNITS[kind].values()))
    assert value(written(figure * smallest, kind), kind) == pytest.approx(figure * smallest)


def test_every_bounded_figure_has_a_default_within_its_bounds() -> None:
    for kind in sections().values():
        for field in msgspec.structs.fields(kind):
            assert msgspec.convert(field.default, field.type) == field.default
            assert unit_of(field.type) in (None, *UNITS)
