"""The token bucket, the congestion window and the release queue."""

from __future__ import annotations

import pytest

from burlmoor.deferred.rate_control import AdaptiveTokenBucket, CongestionWindow
from burlmoor.deferred.release_queue import ReleaseQueue


def test_the_token_bucket_limits_rate_and_burst() -> None:
    bucket = AdaptiveTokenBucket(10.0, 3.0, 0.0)
    assert [bucket.take_token(0.0) for _ in range(4)] == [True, True, True, False]
    assert bucket.next_token_at(0.0) == pytest.approx(100.0)
    assert sum(bucket.take_token(float(now)) for now in range(1, 10_001)) == 100


def test_jobs_are_released_by_latest_release_time_while_there_are_free_slots_or_tokens() -> None:
    queue: ReleaseQueue[str] = ReleaseQueue(AdaptiveTokenBucket(1.0, 1.0, 0.0))
    for latest, slots, name in ((30.0, 1.0, "c"), (10.0, 2.0, "a"), (20.0, 1.0, "b")):
        queue.push(latest, slots, name)
    assert queue.pop_releasable(0.0, 3.0) == ("a", 2.0)
    assert queue.pop_releasable(0.0, 1.0) == ("b", 1.0)
    assert queue.pop_releasable(0.0, 0.0) == ("c", 1.0)  # by the token
    queue.push(1.0, 1.0, "d")
    assert queue.pop_releasable(0.0, 0.0) is None


def test_the_rate_falls_with_rejections_and_rises_again() -> None:
    bucket = AdaptiveTokenBucket(100.0, 10.0, 0.0)
    for _ in range(50):
        bucket.adjust_rate(0.0, was_served=False)
    assert bucket.rate == pytest.approx(10.0)
    assert [bucket.take_token(0.0), bucket.take_token(0.0)] == [True, False]
    for _ in range(100):
        bucket.adjust_rate(0.0, was_served=True)
    assert bucket.rate == 100.0


def test_the_congestion_window_grows_and_halves_once_for_rejections_close_together() -> None:
    window = CongestionWindow()
    for _ in range(8):
        window.adjust_size(0.0, was_served=True)
    assert window.size == 16.0
    for now in (100.0, 150.0, 250.0):
        window.adjust_size(now, was_served=False)
    assert window.size == 8.0
    window.adjust_size(301.0, was_served=False)
    assert window.size == 4.0
    for _ in range(4):
        window.adjust_size(400.0, was_served=True)
    assert 4.5 < window.size < 5.0
    for number in range(100):
        window.adjust_size(1000.0 * number + 1000.0, was_served=False)
    assert window.size == 2.0
