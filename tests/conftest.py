"""Fixtures that more than one module of stories uses."""

from __future__ import annotations

import hypothesis
import pytest
import trio.testing

# The same verdict every time: cases are drawn from the code alone, and no case has a time limit.
hypothesis.settings.register_profile("steady", derandomize=True, deadline=None, database=None)
hypothesis.settings.load_profile("steady")


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """A clock that jumps to the next thing due once every task waits."""
    return trio.testing.MockClock(autojump_threshold=0)
