"""Reads the options file: all that is wrong with it is told at once, a line a fault."""

from __future__ import annotations

import configparser
import typing
from pathlib import Path
from typing import Any

import msgspec
from msgspec.inspect import Metadata, type_info

from burlmoor.config.options.sections import Options, Section
from burlmoor.config.options.units import value, written

_NO_DEFAULTS = "\0"  # no section's keys hold for all others
_MOST = 1 << 20  # bytes of a file


class InvalidOptionsError(Exception):
    """The file cannot be meant; each of `faults` is one line that names the section and the key."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


def sections() -> dict[str, type[Section]]:
    """The struct of each section that the file may have."""
    hints = typing.get_type_hints(Options)
    return {name: next(each for each in typing.get_args(kind) if each is not type(None))
            for name, kind in hints.items()}  # fmt: skip


def unit_of(kind: Any) -> str | None:
    """The kind of unit that a key's figures are written with; None for plain ones."""
    found = type_info(kind)
    return (found.extra or {}).get("unit") if isinstance(found, Metadata) else None


def read_options(path: Path) -> Options:
    """The options in the file at `path`; `BadOptions` with everything that is wrong with it."""
    try:
        with path.open("rb") as file:
            given = file.read(_MOST + 1)
        if len(given) > _MOST:
            raise InvalidOptionsError([f"{path}: over {_MOST} bytes"])
        return parse(given.decode(), str(path))
    except OSError as error:
        raise InvalidOptionsError([f"{path}: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        raise InvalidOptionsError([f"{path}: not UTF-8 at byte {error.start}"]) from error


def parse(text: str, name: str) -> Options:
    """The options that `text` gives; `name` stands for the file in what is said of it."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section=_NO_DEFAULTS, comment_prefixes=("#", ";"), delimiters=("=",),
        empty_lines_in_values=False,
    )  # fmt: skip
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, name)
    except configparser.Error as error:
        raise InvalidOptionsError([f"{name}: {_in_one_line(error)}"]) from error
    faults: list[str] = []
    known, made = sections(), {}
    for section in parser.sections():
        if section not in known:
            faults.append(f"{name}: [{section}]: no such section (there are: {', '.join(known)})")
            continue
        made[section] = _section(known[section], parser[section], f"{name}: [{section}]", faults)
    if faults:
        raise InvalidOptionsError(faults)
    return Options(**made)


def _section(kind: type[Section], given: configparser.SectionProxy, where: str, faults: list[str]) -> Any:
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    for key, text in given.items():
        field = fields.get(key)
        if field is None:
            faults.append(f"{where} {key}: no such key")
            continue
        unit = unit_of(field.type)
        try:
            plain = value(text, unit) if unit else text
            values[field.name] = msgspec.convert(plain, field.type, strict=False)
        except ValueError as error:
            faults.append(f"{where} {key}: {_said(field.type, str(error), text)}")
    return None if faults else kind(**values)


def _said(kind: Any, error: str, text: str) -> str:
    """What is wrong with a figure, its bounds in the units that operators write."""
    found, unit = type_info(kind), unit_of(kind)
    if unit is None or not isinstance(found, Metadata) or "Expected" not in error:
        return error if unit else f"{text!r}: {error}"
    bounds = [written(getattr(found.type, each), unit) for each in ("ge", "le")]
    return f"{text!r} does not lie between {bounds[0]} and {bounds[1]}"


def _in_one_line(error: configparser.Error) -> str:
    match error:
        case configparser.DuplicateSectionError():
            return f"[{error.section}]: given twice (line {error.lineno})"
        case configparser.DuplicateOptionError():
            return f"[{error.section}] {error.option}: given twice (line {error.lineno})"
        case configparser.MissingSectionHeaderError():
            return f"line {error.lineno}: stands before the first [section]"
        case configparser.ParsingError():
            return f"line {error.errors[0][0]}: neither a [section] nor key = value"
    return str(error).replace("\n", " ")
