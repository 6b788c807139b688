"""The ids of recent jobs: they expire, and their number is limited."""

from __future__ import annotations

from burlmoor.engine.recent_ids import MAX_IDS, RETENTION_MS, RecentIds


class FakeClock:
    """A clock that the test sets, in ms."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_ids_expire_in_the_order_in_which_they_were_added_last() -> None:
    clock = FakeClock()
    recent = RecentIds(clock)
    for request_id in ("a", "b", "a"):
        recent.add(request_id)
        clock.now += 1000.0
    assert recent.ids() == ["b", "a"]
    clock.now = 1000.0 + RETENTION_MS
    assert "b" not in recent
    assert recent.ids() == ["a"]
    clock.now += 1000.0
    assert len(recent) == 0


def test_a_flood_of_new_ids_is_limited() -> None:
    # Guards against memory that grows with the names that clients choose.
    recent = RecentIds(FakeClock())
    for number in range(MAX_IDS + 10):
        recent.add(str(number))
    assert len(recent) == MAX_IDS
    assert "9" not in recent
    assert "10" in recent
