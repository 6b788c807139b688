"""The lease on the endpoint list: until when it may be used, in whatever order calls end."""

from __future__ import annotations

import math
from itertools import pairwise
from typing import NamedTuple

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.discovery.list_lease import ListLease
from burlmoor.discovery.schedule import CallResult
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    shows_peer_reachable,
)

ANSWERED, INVALID = CallResult.ANSWERED, CallResult.INVALID
FAILED, REJECTED = CallResult.FAILED, CallResult.REJECTED
TIMED_OUT, UNREACHABLE = CallResult.TIMED_OUT, CallResult.UNREACHABLE
WAIT = 1.0


class Call(NamedTuple):
    """One call: seconds before it since the last one ended, how long it lasts, how it ends."""

    pause: float
    lasts: float
    result: CallResult


def make_calls(lease: ListLease, *calls: Call) -> float:
    """Make calls from the time 0 on, one after the other, and return when the last one ended."""
    lease.on_start(0.0)
    now = 0.0
    for pause, lasts, result in calls:
        started = now + pause
        lease.on_call_started(started, WAIT)
        now = started + lasts
        lease.on_call_ended(result, now)
    return now


def last_evidence(calls: list[Call]) -> float:
    """Return the latest moment at which, as some call shows, the node was notified of every change."""
    evidence, now = -math.inf, 0.0
    failed_in_a_row = 0
    has_been_silent = False  # since the last evidence
    is_lost = True  # whether only an answer renews the lease
    for pause, lasts, result in calls:
        started = now + pause
        now = started + lasts
        if result in (TIMED_OUT, UNREACHABLE):
            failed_in_a_row, has_been_silent = 0, True
            continue
        is_evidence = result is ANSWERED
        if not is_evidence:
            failed_in_a_row += 1
            is_lost |= now >= evidence + 6.0
            has_responded = result in (REJECTED, INVALID)
            is_evidence = not is_lost and (has_responded or failed_in_a_row >= 2 or not has_been_silent)
        if is_evidence:
            allowance = 0.5 if result is ANSWERED else 2.5
            evidence = now if now <= started + WAIT + allowance else started
            failed_in_a_row, has_been_silent, is_lost = 0, False, False
    return evidence


calls = st.lists(
    st.builds(Call, st.floats(0.01, 4.0), st.floats(0.0, 4.0), st.sampled_from(CallResult)), max_size=30
)


@given(calls, st.floats(0.0, 20.0))
def test_the_list_may_be_used_for_six_seconds_from_the_last_evidence_and_not_longer(
    drawn: list[Call], later: float
) -> None:
    lease, agent = ListLease(has_agent=False), ListLease(has_agent=True)
    now = make_calls(lease, *drawn)
    make_calls(agent, *drawn)
    expires = last_evidence(drawn) + 6.0
    assert lease.is_valid(now + later) is (now + later < expires)
    assert lease.is_confirmed is (expires > -math.inf)
    assert lease.expires_at() == (expires if lease.is_confirmed else 5.0)
    assert agent.is_valid(now + later)
    assert agent.expires_at() == math.inf


REFUSED = Call(0.1, 0.01, FAILED)
REJECTED_LATE = Call(0.1, 2.0, REJECTED)  # by a discovery that is down, or has too many callers
CUT_OFF = Call(0.0, 1.5, TIMED_OUT)
UP = Call(0.0, 1.0, ANSWERED)


@pytest.mark.parametrize(
    ("made", "is_valid"),
    [
        ([], False),
        ([UP], True),
        ([REFUSED, REFUSED, REFUSED], False),  # a process that has just started: its list may be of any age
        ([REJECTED_LATE, REJECTED_LATE], False),
        ([Call(0.1, 0.1, INVALID)], False),
        ([CUT_OFF, REFUSED, REFUSED, REJECTED_LATE], False),
        ([REJECTED_LATE, UP], True),
        ([CUT_OFF, UP], True),
        ([UP, *[REFUSED._replace(pause=3.9)] * 5], True),  # down for long
        ([UP, CUT_OFF, *[REJECTED_LATE._replace(pause=1.9)] * 5], True),
        ([UP, CUT_OFF, CUT_OFF, CUT_OFF, REFUSED, CUT_OFF], False),
        ([UP, CUT_OFF, CUT_OFF, CUT_OFF, REFUSED, REFUSED, CUT_OFF], True),
        ([UP, CUT_OFF, CUT_OFF, REJECTED_LATE, CUT_OFF, CUT_OFF], True),
        ([UP, *[CUT_OFF] * 4, REFUSED, REFUSED, REJECTED_LATE], False),  # expired: only an answer renews it
        ([UP, *[CUT_OFF] * 4, Call(0.1, 0.1, INVALID)], False),
        ([UP, *[CUT_OFF] * 4, REFUSED, UP], True),
        ([UP, Call(0.0, 9.0, ANSWERED)], False),  # the process was stalled, and reads an old answer
        ([UP, Call(0.0, 9.0, REJECTED)], False),
    ],
)
def test_which_calls_renew_the_lease(made: list[Call], *, is_valid: bool) -> None:
    lease = ListLease(has_agent=False)
    now = make_calls(lease, *made)
    assert lease.is_valid(now) is is_valid


def test_a_failure_after_a_silence_is_followed_by_another_call_soon() -> None:
    lease = ListLease(has_agent=False)
    make_calls(lease, UP, REFUSED)
    assert not lease.awaits_second_failure  # discovery is down, and calls are to be few
    make_calls(lease, UP, CUT_OFF, REFUSED)
    assert lease.awaits_second_failure
    make_calls(lease, REFUSED)
    assert not lease.awaits_second_failure


def test_a_new_address_has_to_answer_before_its_changes_count_as_notified() -> None:
    lease = ListLease(has_agent=False)
    now = make_calls(lease, UP)
    lease.on_address_changed(now)
    assert lease.is_valid(now + 3.9)
    assert not lease.is_valid(now + 4.0)
    lease.on_call_started(now, WAIT)
    lease.on_call_ended(ANSWERED, now + 0.5)
    assert lease.is_valid(now + 6.4)


def chain(*errors: BaseException) -> BaseException:
    for outer, inner in pairwise(errors):
        outer.__cause__ = inner
    return errors[0]


@pytest.mark.parametrize(
    ("error", "is_sign"),
    [
        (chain(ConnectError("a", "refused"), ConnectionRefusedError()), True),
        (chain(BrokenResponseError("reset"), ConnectionResetError()), True),
        (ConnectionEndedError(), True),
        (chain(ConnectError("a", "timed out"), trio.TooSlowError()), False),
        (chain(ConnectError("a", "no route"), OSError(113, "no route")), False),
        (chain(BrokenResponseError("timed out"), TimeoutError(110, "timed out")), False),
        (ConnectError("a", "every connection is busy"), False),
    ],
)
def test_only_a_reaction_of_the_peer_is_a_sign_of_it(error: BaseException, *, is_sign: bool) -> None:
    assert shows_peer_reachable(error) is is_sign
