"""Until when a list may be relied on, whatever the order in which calls to discovery end."""

from __future__ import annotations

import math
from itertools import pairwise

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.discovery.list_trust import ListTrust
from burlmoor.discovery.schedule import CallResult
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    is_sign_of_peer,
)

SILENT = (CallResult.TIMED_OUT, CallResult.UNREACHABLE)
calls = st.lists(
    st.tuples(st.floats(0.01, 4.0), st.floats(0.0, 2.0), st.sampled_from(CallResult)), max_size=30
)


@given(calls)
def test_a_list_expires_six_seconds_after_the_first_call_that_met_silence_and_at_once_if_never_confirmed(
    drawn: list[tuple[float, float, CallResult]],
) -> None:
    trust = ListTrust(has_agent=False)
    agent = ListTrust(has_agent=True)
    now = 0.0
    silent_since = math.inf
    has_failed = is_confirmed = False
    for pause, lasts, result in drawn:
        started = now + pause
        now = started + lasts
        for each in (trust, agent):
            each.on_call_started(started)
            each.on_call_ended(result, now)
        if result in SILENT:
            silent_since = min(silent_since, started if is_confirmed else -math.inf)
            has_failed = False
        elif result is CallResult.FAILED and now >= silent_since + 6.0 and not has_failed:
            has_failed = True  # perhaps held back by the partition
        else:
            silent_since, has_failed, is_confirmed = math.inf, False, True
        assert trust.expires_at() == silent_since + 6.0
        assert agent.expires_at() == math.inf


def test_a_new_address_has_to_answer_before_its_changes_count_as_notified() -> None:
    trust = ListTrust(has_agent=False)
    trust.on_address_changed(100.0)
    assert trust.expires_at() == 104.0
    trust.on_call_started(100.0)
    trust.on_call_ended(CallResult.ANSWERED, 100.5)
    assert trust.expires_at() == math.inf


def chain(*errors: BaseException) -> BaseException:
    for outer, inner in pairwise(errors):
        outer.__cause__ = inner
    return errors[0]


@pytest.mark.parametrize(
    ("error", "is_sign"),
    [
        (chain(ConnectError("a", "refused", True), ConnectionRefusedError()), True),
        (chain(BrokenResponseError("reset"), ConnectionResetError()), True),
        (ConnectionEndedError(), True),
        (chain(ConnectError("a", "timed out"), trio.TooSlowError()), False),
        (chain(ConnectError("a", "no route"), OSError(113, "no route")), False),
        (chain(BrokenResponseError("timed out"), TimeoutError(110, "timed out")), False),
        (ConnectError("a", "every connection is busy"), False),
    ],
)
def test_only_what_the_peer_sent_is_a_sign_of_it(error: BaseException, is_sign: bool) -> None:
    assert is_sign_of_peer(error) is is_sign
