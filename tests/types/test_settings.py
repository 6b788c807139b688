"""The settings check reports the first invalid setting by name."""

from __future__ import annotations

import pytest

from burlmoor.errors import BurlmoorError
from burlmoor.types.settings import InvalidSettingError, JobClass, Rules, Settings

CLASSES = (JobClass("lookup"),)


@pytest.mark.parametrize(
    ("settings", "field", "text"),
    [
        (Settings(()), "classes", "classes: at least one class is required"),
        (
            Settings((JobClass("lookup", deadline_ms=-1.0),)),
            "classes.lookup",
            "classes.lookup: a time or stretch must not be negative, got -1",
        ),
        (
            Settings(CLASSES, rules=Rules(poll_interval_ms=-1.0)),
            "rules.ask_within",
            "rules.ask_within: must not be negative, got -1 ms",
        ),
        (Settings(CLASSES, tick_ms=0.0), "tick", "tick: must be above 0 ms, got 0 ms"),
    ],
)
def test_an_invalid_setting_is_named_on_one_line(settings: Settings, field: str, text: str) -> None:
    with pytest.raises(InvalidSettingError) as raised:
        settings.check()
    assert raised.value.field == field
    assert str(raised.value) == text
    assert isinstance(raised.value, BurlmoorError)
    assert isinstance(raised.value, ValueError)


def test_default_settings_are_valid() -> None:
    Settings(CLASSES).check()
