"""The lease on the endpoint list: which call results renew it, and when it expires."""

from __future__ import annotations

import math
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from burlmoor.discovery.polled_list_lease import PolledListLease
from burlmoor.discovery.pushed_list_lease import PushedListLease
from burlmoor.discovery.schedule import CallResult
from burlmoor.upstream.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionEndedError,
    shows_peer_reachable,
)

if TYPE_CHECKING:
    from burlmoor.discovery.list_lease import ListLease

ANSWERED, INVALID = CallResult.ANSWERED, CallResult.INVALID
REFUSED, REJECTED = CallResult.REFUSED_OR_RESET, CallResult.REJECTED
TIMED_OUT, UNREACHABLE = CallResult.TIMED_OUT, CallResult.UNREACHABLE
WAIT_SECONDS = 1.0


class Call(NamedTuple):
    """One call: the pause since the end of the last call, its duration and its result."""

    pause_seconds: float
    duration_seconds: float
    result: CallResult


def make_calls(lease: ListLease, *calls: Call) -> float:
    """Make calls one after the other, starting at time 0; return when the last one ended."""
    lease.on_start(0.0)
    now = 0.0
    for pause_seconds, duration_seconds, result in calls:
        started_at = now + pause_seconds
        lease.on_call_started(started_at, WAIT_SECONDS)
        now = started_at + duration_seconds
        lease.on_call_ended(result, now)
    return now


def last_confirmation(calls: list[Call]) -> float:
    """Return when discovery last confirmed the list, computed independently of `ListLease`."""
    confirmed_at, now = -math.inf, 0.0
    failed_in_a_row = 0
    has_been_silent = False  # since the last confirmation
    needs_answer = True  # whether only an answer renews the lease
    for pause_seconds, duration_seconds, result in calls:
        started_at = now + pause_seconds
        now = started_at + duration_seconds
        if result in (TIMED_OUT, UNREACHABLE):
            failed_in_a_row, has_been_silent = 0, True
            continue
        confirms = result is ANSWERED
        if not confirms:
            failed_in_a_row += 1
            needs_answer |= now >= confirmed_at + 6.0
            has_responded = result in (REJECTED, INVALID)
            confirms = not needs_answer and (has_responded or failed_in_a_row >= 2 or not has_been_silent)
        if confirms:
            allowance = 0.5 if result is ANSWERED else 2.5
            confirmed_at = now if now <= started_at + WAIT_SECONDS + allowance else started_at
            failed_in_a_row, has_been_silent, needs_answer = 0, False, False
    return confirmed_at


def has_silence_after_failure(results: list[CallResult]) -> bool:
    """Return whether, since the last answer, a call was silent directly after one that failed otherwise."""
    since_answer = results[len(results) - results[::-1].index(ANSWERED) :]
    silences = [result in (TIMED_OUT, UNREACHABLE) for result in since_answer]
    return any(is_silent and not was_silent for was_silent, is_silent in pairwise(silences))


calls = st.lists(
    st.builds(Call, st.floats(0.01, 4.0), st.floats(0.0, 4.0), st.sampled_from(CallResult)), max_size=30
)


@given(calls, st.floats(0.0, 20.0))
def test_the_lease_expires_six_seconds_after_the_last_confirmation(drawn: list[Call], later: float) -> None:
    lease = PolledListLease()
    now = make_calls(lease, *drawn)
    expires = last_confirmation(drawn) + 6.0
    assert lease.is_valid(now + later) is (now + later < expires)
    assert lease.is_confirmed is (expires > -math.inf)
    assert lease.expires_at() == (expires if lease.is_confirmed else 5.0)


@given(calls, st.floats(0.0, 20.0))
def test_only_an_answer_of_the_agent_gives_a_new_process_its_lease(drawn: list[Call], later: float) -> None:
    # Guards against a process that uses its cached list although its agent has never answered.
    lease = PushedListLease()
    now = make_calls(lease, *drawn)
    results = [call.result for call in drawn]
    is_confirmed = ANSWERED in results
    is_valid = is_confirmed and not has_silence_after_failure(results)
    assert lease.is_valid(now + later) is is_valid
    assert lease.is_confirmed is is_confirmed
    if not is_confirmed:
        assert lease.expires_at() == 5.0


REFUSED_CALL = Call(0.1, 0.01, REFUSED)
LATE_REJECTION = Call(0.1, 2.0, REJECTED)  # by a discovery that is down or overloaded
SILENT_CALL = Call(0.0, 1.5, TIMED_OUT)
ANSWERED_CALL = Call(0.0, 1.0, ANSWERED)


@pytest.mark.parametrize(
    ("ended_calls", "is_valid"),
    [
        ([], False),
        ([ANSWERED_CALL], True),
        ([REFUSED_CALL, REFUSED_CALL, REFUSED_CALL], False),  # a new process: its list may be of any age
        ([LATE_REJECTION, LATE_REJECTION], False),
        ([Call(0.1, 0.1, INVALID)], False),
        ([SILENT_CALL, REFUSED_CALL, REFUSED_CALL, LATE_REJECTION], False),
        ([LATE_REJECTION, ANSWERED_CALL], True),
        ([SILENT_CALL, ANSWERED_CALL], True),
        ([ANSWERED_CALL, *[REFUSED_CALL._replace(pause_seconds=3.9)] * 5], True),  # down for a long time
        ([ANSWERED_CALL, SILENT_CALL, *[LATE_REJECTION._replace(pause_seconds=1.9)] * 5], True),
        ([ANSWERED_CALL, SILENT_CALL, SILENT_CALL, SILENT_CALL, REFUSED_CALL, SILENT_CALL], False),
        (
            [ANSWERED_CALL, SILENT_CALL, SILENT_CALL, SILENT_CALL, REFUSED_CALL, REFUSED_CALL, SILENT_CALL],
            True,
        ),
        ([ANSWERED_CALL, SILENT_CALL, SILENT_CALL, LATE_REJECTION, SILENT_CALL, SILENT_CALL], True),
        # Once the lease has expired, only an answer renews it.
        ([ANSWERED_CALL, *[SILENT_CALL] * 4, REFUSED_CALL, REFUSED_CALL, LATE_REJECTION], False),
        ([ANSWERED_CALL, *[SILENT_CALL] * 4, Call(0.1, 0.1, INVALID)], False),
        ([ANSWERED_CALL, *[SILENT_CALL] * 4, REFUSED_CALL, ANSWERED_CALL], True),
        ([ANSWERED_CALL, Call(0.0, 9.0, ANSWERED)], False),  # a stalled process reads an old answer
        ([ANSWERED_CALL, Call(0.0, 9.0, REJECTED)], False),
    ],
)
def test_which_calls_renew_the_lease(ended_calls: list[Call], *, is_valid: bool) -> None:
    lease = PolledListLease()
    now = make_calls(lease, *ended_calls)
    assert lease.is_valid(now) is is_valid


@pytest.mark.parametrize(
    ("ended_calls", "is_valid"),
    [
        ([ANSWERED_CALL, *[SILENT_CALL] * 40], True),  # discovery is down
        ([ANSWERED_CALL, REFUSED_CALL], True),
        ([ANSWERED_CALL, REFUSED_CALL, SILENT_CALL], False),
        ([ANSWERED_CALL, LATE_REJECTION, SILENT_CALL, SILENT_CALL], False),
        ([ANSWERED_CALL, Call(0.1, 0.1, INVALID), SILENT_CALL, REFUSED_CALL], False),
        ([ANSWERED_CALL, SILENT_CALL, REFUSED_CALL, SILENT_CALL], False),
        ([ANSWERED_CALL, REFUSED_CALL, SILENT_CALL, ANSWERED_CALL, SILENT_CALL], True),
    ],
)
def test_a_pushed_list_expires_if_its_agent_falls_silent_after_a_failed_call(
    ended_calls: list[Call], *, is_valid: bool
) -> None:
    # Guards against a list without the changes that the agent received between the failure and its silence.
    lease = PushedListLease()
    now = make_calls(lease, *ended_calls)
    assert lease.is_valid(now) is is_valid


def test_only_a_failure_after_a_silence_awaits_a_second_failure() -> None:
    lease = PolledListLease()
    make_calls(lease, ANSWERED_CALL, REFUSED_CALL)
    assert not lease.awaits_second_failure  # discovery is down: call it rarely
    make_calls(lease, ANSWERED_CALL, SILENT_CALL, REFUSED_CALL)
    assert lease.awaits_second_failure
    make_calls(lease, REFUSED_CALL)
    assert not lease.awaits_second_failure


@pytest.mark.parametrize("lease_type", [PolledListLease, PushedListLease])
def test_an_address_change_shortens_the_lease_until_the_next_answer(lease_type: type[ListLease]) -> None:
    lease = lease_type()
    now = make_calls(lease, ANSWERED_CALL)
    lease.on_address_changed(now)
    assert lease.is_valid(now + 3.9)
    assert not lease.is_valid(now + 4.0)
    lease.on_call_started(now, WAIT_SECONDS)
    lease.on_call_ended(ANSWERED, now + 0.5)
    assert lease.is_valid(now + 6.4)


def chain_causes(*errors: BaseException) -> BaseException:
    for outer, inner in pairwise(errors):
        outer.__cause__ = inner
    return errors[0]


@pytest.mark.parametrize(
    ("error", "is_reachable"),
    [
        (chain_causes(ConnectError("a", "refused"), ConnectionRefusedError()), True),
        (chain_causes(BrokenResponseError("reset"), ConnectionResetError()), True),
        (ConnectionEndedError(), True),
        (chain_causes(ConnectError("a", "timed out"), trio.TooSlowError()), False),
        (chain_causes(ConnectError("a", "no route"), OSError(113, "no route")), False),
        (chain_causes(BrokenResponseError("timed out"), TimeoutError(110, "timed out")), False),
        (ConnectError("a", "every connection is busy"), False),
    ],
)
def test_which_errors_show_that_the_peer_is_reachable(error: BaseException, *, is_reachable: bool) -> None:
    assert shows_peer_reachable(error) is is_reachable
