"""Fixtures that more than one test module uses, and the profile of property tests."""

from __future__ import annotations

import hypothesis
import pytest
import trio.testing

# Reproducible: cases are derived from the code alone, and none has a time limit.
hypothesis.settings.register_profile("steady", derandomize=True, deadline=None, database=None)
hypothesis.settings.load_profile("steady")


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """A clock that jumps to the next deadline once every task waits."""
    return trio.testing.MockClock(autojump_threshold=0)
