"""Parses and checks the options file; all invalid keys and sections are reported together, one per line."""

from __future__ import annotations

import configparser
import typing
from typing import Any

import msgspec
from msgspec.inspect import Metadata, type_info

from burlmoor.config.errors import ConfigFault, InvalidConfigError, invalid_value
from burlmoor.config.options.sections import Options, Section
from burlmoor.config.options.units import InvalidQuantityError, format_quantity, parse_quantity

if typing.TYPE_CHECKING:
    from pathlib import Path

_UNUSED_DEFAULT_SECTION = "\0"  # a name that no section has, so that none provides defaults for the others
_MAX_FILE_BYTES = 1 << 20


class InvalidOptionsError(InvalidConfigError):
    """The options file is invalid; each fault names its section and key."""


def section_types() -> dict[str, type[Section]]:
    """Return the struct of each section that the file may contain, by the section's name."""
    types: dict[str, type[Section]] = {}
    for name, optional in typing.get_type_hints(Options).items():
        (types[name],) = (member for member in typing.get_args(optional) if member is not type(None))
    return types


def quantity_kind(field_type: object) -> str | None:
    """Return the kind of quantity that a key holds, one of `UNITS`; None for a plain number."""
    info = type_info(field_type)
    return (info.extra or {}).get("quantity") if isinstance(info, Metadata) else None


def read_options(path: Path) -> Options:
    """Read the options file.

    Raises:
        InvalidOptionsError: the file is invalid; the error lists all faults.
    """
    try:
        with path.open("rb") as file:
            content = file.read(_MAX_FILE_BYTES + 1)
        if len(content) > _MAX_FILE_BYTES:
            raise InvalidOptionsError(ConfigFault("", f"larger than {_MAX_FILE_BYTES} bytes", str(path)))
        return parse_options(content.decode(), str(path))
    except OSError as error:
        raise InvalidOptionsError(ConfigFault("", str(error.strerror), str(path))) from error
    except UnicodeDecodeError as error:
        raise InvalidOptionsError(
            ConfigFault("", f"invalid UTF-8 at byte {error.start}", str(path))
        ) from error


def parse_options(text: str, file: str) -> Options:
    """Parse the options file's text; `file` is the file's name in error messages.

    Raises:
        InvalidOptionsError: the text is invalid; the error lists all faults.
    """
    types = section_types()
    faults: list[ConfigFault] = []
    values: dict[str, dict[str, Any]] = {}
    parser = _parse_ini(text, file)
    for name in parser.sections():
        if name in types:
            values[name] = _parse_section(types[name], parser[name], file, faults)
        else:
            allowed = ", ".join(types)
            faults.append(
                ConfigFault(f"[{name}]", f"unknown section; allowed: {allowed}", file, name, allowed)
            )
    if faults:
        raise InvalidOptionsError(*faults)
    sections: dict[str, Any] = {name: types[name](**section) for name, section in values.items()}
    return Options(**sections)


def _parse_ini(text: str, file: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section=_UNUSED_DEFAULT_SECTION,
        comment_prefixes=("#", ";"),
        delimiters=("=",),
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        raise InvalidOptionsError(_describe_syntax_error(error, file)) from error
    return parser


def _parse_section(
    section_type: type[Section], section: configparser.SectionProxy, file: str, faults: list[ConfigFault]
) -> dict[str, Any]:
    """Return the section's valid values by attribute name, and append its faults to `faults`."""
    fields = {field.encode_name: field for field in msgspec.structs.fields(section_type)}
    values: dict[str, Any] = {}
    for key, text in section.items():
        location = f"[{section.name}] {key}"
        field = fields.get(key)
        if field is None:
            faults.append(
                ConfigFault(
                    location, f"unknown key; allowed: {', '.join(fields)}", file, key, ", ".join(fields)
                )
            )
            continue
        try:
            values[field.name] = _parse_value(text, field.type)
        except InvalidQuantityError as error:
            faults.append(invalid_value(location, text, error.allowed, file=file, kind=error.kind))
        except ValueError as error:
            faults.append(_describe_value_error(error, location, text, field.type, file))
    return values


def _parse_value(text: str, field_type: type) -> object:
    kind = quantity_kind(field_type)
    value = parse_quantity(text, kind) if kind else text
    return msgspec.convert(value, field_type, strict=False)


def _describe_value_error(
    error: ValueError, location: str, text: str, field_type: type, file: str
) -> ConfigFault:
    """Return the fault of a value out of bounds; the bounds are given in the units that operators write."""
    kind = quantity_kind(field_type)
    info = type_info(field_type)
    if kind is None or not isinstance(info, Metadata):
        return ConfigFault(location, f"invalid value {text!r}: {error}", file, text, str(error))
    minimum, maximum = (format_quantity(getattr(info.type, bound), kind) for bound in ("ge", "le"))
    return invalid_value(location, text, f"{minimum} to {maximum}", file=file)


def _describe_syntax_error(error: configparser.Error, file: str) -> ConfigFault:
    match error:
        case configparser.DuplicateSectionError():
            return ConfigFault(f"[{error.section}]", f"duplicate section (line {error.lineno})", file)
        case configparser.DuplicateOptionError():
            location = f"[{error.section}] {error.option}"
            return ConfigFault(location, f"duplicate key (line {error.lineno})", file)
        case configparser.MissingSectionHeaderError():
            return ConfigFault(f"line {error.lineno}", "text before the first [section]", file)
        case configparser.ParsingError():
            return ConfigFault(f"line {error.errors[0][0]}", "expected [section] or key = value", file)
    return ConfigFault("", str(error).replace("\n", " "), file)
