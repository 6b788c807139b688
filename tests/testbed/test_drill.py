"""The deferred-job drill: each claim holds on a sound record and fails on one that violates it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest
from click.testing import CliRunner

from burlmoor.cli.main import main
from burlmoor.testbed.deferred_schedule import draw_schedule
from burlmoor.testbed.deferred_verdict import judge
from burlmoor.testbed.drill import Claim, Verdict
from burlmoor.testbed.event_record import (
    AttemptOutcome,
    AttemptRecord,
    EventRecord,
    RequestRecord,
    ShutdownPeriod,
)
from burlmoor.testbed.mutations import DEFERRED_MUTATIONS

RecordChange = Callable[[EventRecord], None]
RATIO_CLAIM = "worst-served tenth against plain"


def add_job(
    record: EventRecord,
    request_id: str,
    received_ms: float | None,
    answered_ms: float,
    status: int = 200,
    sent_ms: float = 0.0,
    run_after: tuple[str, ...] = (),
    not_before_unix_ms: float = 0.0,
) -> None:
    """Record a job, and its attempt if an executor received it."""
    record.requests[request_id] = RequestRecord(
        request_id, "slot-search", sent_ms, 5000.0, run_after=run_after, answered_ms=answered_ms,
        status=status, answer_count=1, not_before_unix_ms=not_before_unix_ms,
    )  # fmt: skip
    if received_ms is not None:
        outcome = AttemptOutcome.DONE if status == 200 else AttemptOutcome.FAILED
        started_ms, ended_ms = received_ms + 1.0, received_ms + 10.0
        attempt = AttemptRecord(request_id, "slot-search", "s", received_ms, started_ms, ended_ms, outcome)
        record.attempts.append(attempt)


def make_sound_record() -> EventRecord:
    """Return a record with a parent and its child, a timed job, a failed parent, and plain and released jobs.

    There are enough plain and released jobs for their comparison.
    """
    record = EventRecord(unix_offset_ms=1e6)
    add = partial(add_job, record)
    add("a", 5.0, 20.0)
    add("b", 25.0, 60.0, run_after=("a",))
    add("t", 501.0, 600.0, not_before_unix_ms=1e6 + 500.0)
    add("f", 5.0, 30.0, 502)
    add("g", None, 32.0, 424, run_after=("f",))
    for number in range(15):
        add(f"p-{number}", 12.0, 50.0, sent_ms=10.0)
        add(f"w-{number}", 30.0, 90.0, run_after=("a",))
    return record


def judge_claims(record: EventRecord) -> dict[str, bool]:
    """Return whether each claim holds, by name."""
    verdict = judge(record, 1, 60.0, [0])
    return {name: claim.holds for name, claim in verdict.claims.items()}


def change_request(request_id: str, **values: object) -> RecordChange:
    def change(record: EventRecord) -> None:
        for name, value in values.items():
            setattr(record.requests[request_id], name, value)

    return change


def change_attempt(request_id: str, **values: object) -> RecordChange:
    def change(record: EventRecord) -> None:
        attempt = next(attempt for attempt in record.attempts if attempt.id == request_id)
        for name, value in values.items():
            setattr(attempt, name, value)

    return change


def add_attempt(*values: object) -> RecordChange:
    return lambda record: record.attempts.append(AttemptRecord(*values))  # type: ignore[arg-type]


def reject_most_released_jobs(record: EventRecord) -> None:
    for number in range(8):
        record.requests[f"w-{number}"].status = 503


def test_every_claim_holds_on_a_sound_record() -> None:
    claims = judge_claims(make_sound_record())
    assert all(claims.values()), claims


@pytest.mark.parametrize(
    ("violate", "claim"),
    [
        (change_request("b", answered_ms=None, answer_count=0, status=0), "unanswered"),
        (change_request("p-3", answered_ms=5061.0), "late"),
        (change_request("b", answer_count=2), "answered twice"),
        (change_request("b", body=b"a@s"), "answered twice"),
        (add_attempt("c", "confirm-booking", "s", 1.0, 2.0), None),
        (change_attempt("p-1", outcome=AttemptOutcome.LOST), "invented"),
        (change_attempt("b", received_ms=8.0), "ran before what it names"),
        (
            add_attempt("g", "slot-search", "s", 40.0, 41.0, 50.0, AttemptOutcome.DONE),
            "ran though its parent was not done",
        ),
        (change_attempt("t", received_ms=480.0), "ran before its time"),
        (change_request("g", answered_ms=200.0), "parent's end to child's end, p99 ms"),
        (reject_most_released_jobs, RATIO_CLAIM),
    ],
)
def test_each_claim_fails_on_a_record_that_violates_it(violate: RecordChange, claim: str | None) -> None:
    record = make_sound_record()
    violate(record)
    claims = judge_claims(record)
    if claim is None:
        # One started attempt does not violate the claim; a second one does.
        assert claims["ran twice"]
        add_attempt("c", "confirm-booking", "t", 1.0, 2.0)(record)
        assert not judge_claims(record)["ran twice"]
    else:
        assert not claims[claim]


def test_a_bad_or_missing_exit_status_violates_a_claim() -> None:
    for statuses in ([1], [-9], []):
        assert not judge(make_sound_record(), 1, 60.0, statuses).claims["bad exits"].holds


def test_a_schedule_depends_only_on_its_seed_and_has_every_family() -> None:
    first = draw_schedule(30.0, 5)
    assert first == draw_schedule(30.0, 5)
    assert first != draw_schedule(30.0, 6)
    families = {job.id.split("-")[0] for job in first}
    assert families == {"p", "chain", "fan", "diamond", "burst", "failing", "abandoned", "late"}
    assert len({job.id for job in first}) == len(first)
    assert any(job.is_failing for job in first)
    assert any(job.disconnect_after_seconds for job in first)


def test_a_verdict_holds_only_if_every_claim_holds() -> None:
    verdict = Verdict("x", 1, 10.0, {"a": Claim(0, 0), "b": Claim(0.95, 0.9, is_lower_bound=True)})
    assert verdict.to_json_object()["held"] is True
    verdict.claims["b"] = Claim(float("nan"), 0.9, is_lower_bound=True)
    assert verdict.to_json_object()["held"] is False


def test_an_unknown_mutation_is_a_usage_error_that_lists_the_known_ones() -> None:
    result = CliRunner().invoke(main, ["drill", "waiting", "--sabotage", "nothing"])
    assert result.exit_code == 2
    assert all(name in result.output for name in DEFERRED_MUTATIONS)


def test_rejections_by_a_stopping_node_do_not_count_as_released_jobs() -> None:
    record = make_sound_record()
    reject_most_released_jobs(record)
    record.shutdown_periods = [ShutdownPeriod(0, 80.0, 100.0)]
    assert judge_claims(record)[RATIO_CLAIM] is False  # too few released jobs are left to compare
    record.shutdown_periods = [ShutdownPeriod(1, 80.0, 100.0)]
    assert judge_claims(record)[RATIO_CLAIM] is False
    assert record.is_rejected_by_stopping_node(record.requests["w-0"]) is False
    record.shutdown_periods = [ShutdownPeriod(0, 80.0, 100.0)]
    assert record.is_rejected_by_stopping_node(record.requests["w-0"]) is True
    assert record.is_rejected_by_stopping_node(record.requests["w-9"]) is False  # served
