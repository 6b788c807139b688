"""Fixtures that more than one module of stories uses."""

from __future__ import annotations

import pytest
import trio.testing


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """A clock that jumps to the next thing due once every task waits."""
    return trio.testing.MockClock(autojump_threshold=0)
