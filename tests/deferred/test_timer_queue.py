"""The timer queue under random times and cancellations."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from burlmoor.deferred.timer_queue import TimerQueue


@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=200))
def test_due_timers_are_returned_in_order_without_cancelled_ones(
    entries: list[tuple[int, bool]],
) -> None:
    timers: TimerQueue[int] = TimerQueue()
    kept = []
    for number, (at, is_cancelled) in enumerate(entries):
        timer_id = timers.schedule(float(at), number)
        if is_cancelled:
            timers.cancel(timer_id)
            timers.cancel(timer_id)
        else:
            kept.append((at, number))
    assert len(timers) == len(kept)
    assert timers.next_due() == min((float(at) for at, _ in kept), default=math.inf)
    returned = []
    while (item := timers.pop_due(25.0)) is not None:
        returned.append(item)
    assert returned == [number for at, number in sorted(kept) if at <= 25]
