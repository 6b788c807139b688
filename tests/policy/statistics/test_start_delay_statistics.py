"""Start delays by endpoint, with the mean of its kind in its zone as the prior."""

from __future__ import annotations

from burlmoor.policy.model.endpoint import Endpoint
from burlmoor.policy.statistics.run_statistics import RunStatistics
from burlmoor.policy.statistics.start_delay_statistics import StartDelayStatistics
from burlmoor.types.endpoint_list import EndpointEntry

TICK_MS = 5.0


def make_endpoint(name: str = "a0", zone: str = "a") -> Endpoint:
    return Endpoint(EndpointEntry(name, zone=zone, weight=4.0, kind="std"))


def make_statistics() -> StartDelayStatistics:
    return StartDelayStatistics(TICK_MS, RunStatistics())


def test_a_standing_queue_does_not_lengthen_the_start_grace() -> None:
    # If queueing raised the limit for a prompt start, jobs would be redistributed too late.
    delays, endpoint = make_statistics(), make_endpoint()
    delays.record_delay(endpoint, 4.0, 0.0)
    for step in range(20):
        delays.record_delay(endpoint, 3000.0, 100.0 * step)
    assert delays.start_grace("a") < 60.0


def test_start_delays_of_one_zone_do_not_count_for_another() -> None:
    # If all zones shared one expected delay, jobs would stay in a full zone.
    delays, near, far = make_statistics(), make_endpoint("a0"), make_endpoint("b0", "b")
    delays.record_delay(near, 4.0, 0.0)
    for step in range(20):
        delays.record_delay(near, 2000.0, 100.0 * step)
    assert delays.expected_delay(make_endpoint("a1"), 2000.0, 500.0) > 500.0
    assert delays.expected_delay(far, 2000.0, 500.0) == 0.0


def test_an_attempt_not_started_yet_does_not_shorten_the_expected_delay() -> None:
    # If an attempt given up after 25 ms counted as a short delay, jobs would be sent to endpoints with
    # standing queues.
    delays, endpoint = make_statistics(), make_endpoint()
    delays.record_delay(endpoint, 4.0, 0.0)
    for step in range(10):
        delays.record_delay(endpoint, 2000.0, 10.0 * step)
    before = delays.expected_delay(endpoint, 100.0, 500.0)
    for _ in range(10):
        delays.record_delay(endpoint, 25.0, 100.0, has_started=False)
    assert delays.expected_delay(endpoint, 100.0, 500.0) >= 0.99 * before


def test_a_burst_raises_the_expected_delay_of_unused_endpoints() -> None:
    # With hundreds of nodes, each has used few endpoints recently and relies on the delays of the kind.
    runs = RunStatistics()
    delays = StartDelayStatistics(TICK_MS, runs)
    used, unused = make_endpoint("a0"), make_endpoint("a1")
    half_life = runs.load_half_life(0.0)
    for step in range(20):
        delays.record_delay(used, 4.0, 10.0 * step)
    for step in range(3):  # the endpoints are full after the run time of two jobs
        delays.record_delay(used, 2004.0, 2.0 * half_life + 10.0 * step)
    full = delays.expected_delay(unused, 2.0 * half_life + 30.0, half_life)
    assert full > 400.0
    for step in range(3):  # and free again
        delays.record_delay(used, 4.0, 5.0 * half_life + 10.0 * step)
    assert delays.expected_delay(unused, 5.0 * half_life + 30.0, half_life) < 0.4 * full
