"""Fixtures that more than one test module uses, and the profile of property tests."""

from __future__ import annotations

import hypothesis
import pytest
import trio.testing

# Cases are derived from the code alone, so that runs are reproducible, and have no time limit.
hypothesis.settings.register_profile("reproducible", derandomize=True, deadline=None, database=None)
hypothesis.settings.load_profile("reproducible")


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """Return a clock that jumps to the next deadline when all tasks are blocked."""
    return trio.testing.MockClock(autojump_threshold=0)
