"""The drill of waiting jobs: each claim fails on a ledger that breaks it, and holds on one that does not."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from click.testing import CliRunner

from burlmoor.cli.main import main
from burlmoor.testbed.drill import Claim, Verdict
from burlmoor.testbed.drill_deferred import _Plan, judge
from burlmoor.testbed.event_record import AttemptRecord, EventRecord, RequestRecord
from burlmoor.testbed.mutations import OF_WAITING


def good() -> EventRecord:
    """A parent and its child, a herd of one, and enough plain jobs beside released ones to compare."""
    ledger = EventRecord(unix_offset_ms=1e6)

    def ran(ref: str, came: float, name: str = "slot-search", end: str = "done") -> None:
        ledger.attempts.append(AttemptRecord(ref, name, "s", came, came + 1.0, came + 10.0, end))

    def asked(ref: str, sent: float, answered: float, status: int = 200, **more: object) -> None:
        row = RequestRecord(
            ref, "slot-search", sent, 5000.0, answered_ms=answered, status=status, answer_count=1
        )
        for name, value in more.items():
            setattr(row, name, value)
        ledger.requests[ref] = row

    asked("a", 0.0, 20.0)
    ran("a", 5.0)
    asked("b", 0.0, 60.0, run_after=("a",))
    ran("b", 25.0)
    asked("t", 0.0, 600.0, not_before_unix_ms=1e6 + 500.0)
    ran("t", 501.0)
    asked("f", 0.0, 30.0, 502)
    ran("f", 5.0, end="failed")
    asked("g", 0.0, 32.0, 424, run_after=("f",))
    for number in range(15):
        asked(f"p-{number}", 10.0, 50.0)
        ran(f"p-{number}", 12.0)
        asked(f"w-{number}", 0.0, 90.0, run_after=("a",))
        ran(f"w-{number}", 30.0)
    return ledger


def verdict(ledger: EventRecord) -> dict[str, bool]:
    found = judge(ledger, 1, 60.0, [0])
    return {name: claim.holds for name, claim in found.claims.items()}


def test_every_claim_holds_on_a_ledger_without_fault() -> None:
    assert all(verdict(good()).values()), verdict(good())


def change(ref: str, **values: object) -> Callable[[EventRecord], None]:
    def act(ledger: EventRecord) -> None:
        for name, value in values.items():
            setattr(ledger.requests[ref], name, value)

    return act


def row(ref: str, **values: object) -> Callable[[EventRecord], None]:
    def act(ledger: EventRecord) -> None:
        found = next(each for each in ledger.attempts if each.id == ref)
        for name, value in values.items():
            setattr(found, name, value)

    return act


def add(*given: object) -> Callable[[EventRecord], None]:
    return lambda ledger: ledger.attempts.append(AttemptRecord(*given))  # type: ignore[arg-type]


def refuse_most(ledger: EventRecord) -> None:
    for number in range(8):
        ledger.requests[f"w-{number}"].status = 503


@pytest.mark.parametrize(
    ("fault", "claim"),
    [
        (change("b", answered_ms=None, answer_count=0, status=0), "unanswered"),
        (change("p-3", answered_ms=5061.0), "late"),
        (change("b", answer_count=2), "answered twice"),
        (change("b", body=b"a@s"), "answered twice"),
        (add("c", "confirm-booking", "s", 1.0, 2.0), None),
        (row("p-1", outcome="died"), "invented"),
        (row("b", received_ms=8.0), "ran before what it names"),
        (add("g", "slot-search", "s", 40.0, 41.0, 50.0, "done"), "ran though its parent was not done"),
        (row("t", received_ms=480.0), "ran before its time"),
        (change("g", answered_ms=200.0), "parent's end to child's end, p99 ms"),
        (refuse_most, "worst-served tenth against plain"),
    ],
)
def test_each_claim_fails_where_it_is_broken(fault: Callable[[EventRecord], None], claim: str | None) -> None:
    ledger = good()
    fault(ledger)
    held = verdict(ledger)
    if claim is None:
        assert held["ran twice"]
        add("c", "confirm-booking", "t", 1.0, 2.0)(ledger)
        assert not verdict(ledger)["ran twice"]
    else:
        assert not held[claim]


def test_a_restart_that_ends_badly_or_never_came_is_told() -> None:
    for statuses in ([1], [-9], []):
        assert not judge(good(), 1, 60.0, statuses).claims["bad exits"].holds


def test_a_plan_is_drawn_the_same_each_time_and_holds_every_shape() -> None:
    first, again = _Plan(30.0, 5), _Plan(30.0, 5)
    assert first.jobs == again.jobs != _Plan(30.0, 6).jobs
    sorts = {job.ref.split("-")[0] for job in first.jobs}
    assert sorts == {"p", "chain", "fan", "diamond", "herd", "doomed", "left", "late"}
    refs = [job.ref for job in first.jobs]
    assert len(set(refs)) == len(refs)
    assert any(job.fails for job in first.jobs) and any(job.leaves for job in first.jobs)


def test_a_verdict_holds_only_where_every_claim_does() -> None:
    verdict = Verdict("x", 1, 10.0, {"a": Claim(0, 0), "b": Claim(0.95, 0.9, is_lower_bound=True)})
    assert verdict.to_json_object()["held"] is True
    verdict.claims["b"] = Claim(float("nan"), 0.9, is_lower_bound=True)
    assert verdict.to_json_object()["held"] is False


def test_a_sabotage_that_is_none_is_bad_usage_and_each_is_told() -> None:
    done = CliRunner().invoke(main, ["drill", "waiting", "--sabotage", "nothing"])
    assert done.exit_code == 2
    assert all(name in done.output for name in OF_WAITING)


def test_what_a_node_refuses_as_it_ends_is_told_from_what_it_released() -> None:
    ledger = good()
    refuse_most(ledger)
    ledger.closing_periods = [(0, 80.0, 100.0)]
    assert verdict(ledger)["worst-served tenth against plain"] is False  # all that was released has gone
    ledger.closing_periods = [(1, 80.0, 100.0)]
    assert verdict(ledger)["worst-served tenth against plain"] is False
    assert ledger.is_rejected_by_closing_node(ledger.requests["w-0"]) is False
    ledger.closing_periods = [(0, 80.0, 100.0)]
    assert ledger.is_rejected_by_closing_node(ledger.requests["w-0"]) is True
    assert ledger.is_rejected_by_closing_node(ledger.requests["w-9"]) is False  # served
