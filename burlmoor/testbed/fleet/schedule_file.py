"""Reads and writes fault schedules as INI files: `[schedule]` has the seed, each `[trouble N]` a fault."""

from __future__ import annotations

import configparser
from io import StringIO

import msgspec

from burlmoor.errors import BurlmoorError
from burlmoor.testbed.fleet.fault_kinds import EXECUTOR_FAULTS, SCHEDULED_FAULTS, FaultKind
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule

_REQUIRED_KEYS = ("what", "at", "lasts")
_MAX_SECONDS = 1e6
_SCHEDULE_SECTION = "schedule"
_FAULT_SECTION_PREFIX = "trouble"


class ScheduleError(BurlmoorError, ValueError):
    """A schedule is invalid; the one-line message names the problem, and the section if there is one."""

    def __init__(self, section: str, reason: str) -> None:
        super().__init__(f"{section}: {reason}" if section else reason)
        self.section = section
        self.reason = reason


def format_schedule(schedule: FaultSchedule) -> str:
    """Return the text of an INI file from which `parse_schedule` returns an equal schedule."""
    defaults = msgspec.to_builtins(Fault(kind=FaultKind.LINK_PARTITION, start=0.0, duration=0.0))
    lines = [f"[{_SCHEDULE_SECTION}]", f"seed = {schedule.seed}", ""]
    for number, fault in enumerate(schedule.faults):
        lines.append(f"[{_FAULT_SECTION_PREFIX} {number + 1}]")
        for key, value in msgspec.to_builtins(fault).items():
            if key in _REQUIRED_KEYS or value != defaults[key]:
                lines.append(f"{key} = {value}")
        lines.append("")
    return "\n".join(lines)


def parse_schedule(text: str) -> FaultSchedule:
    """Return the schedule in the text of an INI file.

    Raises:
        ScheduleError: the text is not a valid schedule.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_file(StringIO(text))
    except configparser.Error as error:
        raise ScheduleError(section="", reason=str(error).replace("\n", " ")) from error
    seed = 0
    faults = []
    for section in parser.sections():
        values = dict(parser.items(section))
        if section == _SCHEDULE_SECTION:
            seed = _parse_seed(values)
        elif section.startswith(_FAULT_SECTION_PREFIX):
            faults.append(_parse_fault(section, values))
        else:
            raise ScheduleError(section, "invalid section, allowed are schedule and trouble N")
    return FaultSchedule(seed, tuple(faults))


def _parse_seed(values: dict[str, str]) -> int:
    text = values.pop("seed", "0")
    try:
        seed = int(text)
    except ValueError as error:
        raise ScheduleError(_SCHEDULE_SECTION, f"invalid seed {text!r}, must be an integer") from error
    if values:
        raise ScheduleError(_SCHEDULE_SECTION, f"invalid key {min(values)}, allowed is seed")
    return seed


def _parse_fault(section: str, values: dict[str, str]) -> Fault:
    allowed = Fault.__struct_encode_fields__
    for key in values:
        if key not in allowed:
            raise ScheduleError(section, f"invalid key {key}, allowed are {', '.join(allowed)}")
    _check_kind(section, values)
    try:
        fault = msgspec.convert(values, Fault, strict=False)
    except msgspec.ValidationError as error:
        raise ScheduleError(section, str(error)) from error
    _check_fault(section, fault)
    return fault


def _check_kind(section: str, values: dict[str, str]) -> None:
    """Check the kind of a fault if it is given; decoding detects a missing one.

    Raises:
        ScheduleError: no fault of this kind can be scheduled.
    """
    kind = values.get("what")
    if kind is not None and kind not in SCHEDULED_FAULTS:
        raise ScheduleError(section, f"invalid what {kind!r}, allowed are {', '.join(SCHEDULED_FAULTS)}")


def _check_fault(section: str, fault: Fault) -> None:
    """Check the ranges of the values, whose types are valid.

    Raises:
        ScheduleError: a value is out of range, or the selector of the fault is missing.
    """
    # Written so that nan is rejected as well.
    if not (0.0 <= fault.start < _MAX_SECONDS and 0.0 <= fault.duration < _MAX_SECONDS):
        raise ScheduleError(
            section,
            f"invalid at {fault.start} or lasts {fault.duration}, "
            f"must be seconds from 0 to less than {_MAX_SECONDS:.0f}",
        )
    if min(fault.magnitude, fault.stagger, fault.notification_delay, fault.restart_stagger) < 0.0:
        raise ScheduleError(
            section,
            f"invalid size {fault.magnitude}, over {fault.stagger}, told {fault.notification_delay} "
            f"or back {fault.restart_stagger}, must be 0 or more",
        )
    is_executor_fault = fault.kind in EXECUTOR_FAULTS
    if not (fault.executors if is_executor_fault else fault.nodes):
        required = "executors" if is_executor_fault else "nodes"
        raise ScheduleError(section, f"{fault.kind} needs {required}")
