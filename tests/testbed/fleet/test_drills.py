"""The fleet drills pass with unmodified nodes, and fail with nodes that have a mutation."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path


class ClaimResult(msgspec.Struct):
    """The result of a claim, as a drill writes it."""

    value: float
    held: bool


class StoredVerdict(msgspec.Struct):
    """The claims of a verdict, as a drill writes it."""

    claims: dict[str, ClaimResult]


def run_drills(folder: Path, arguments: list[str], *mutations: str) -> dict[str, dict[str, ClaimResult]]:
    """Run a drill with unmodified nodes and once with each mutation, all at once, and return their claims."""
    code = "from burlmoor.cli.main import main; main()"
    options = {"unmodified": [], **{mutation: ["--sabotage", mutation] for mutation in mutations}}
    runs = {
        name: subprocess.Popen(
            [sys.executable, "-c", code, "drill", *arguments, "--json", str(folder / name), *more],
            stderr=(folder / f"{name}.log").open("wb"),
        )
        for name, more in options.items()
    }
    claims = {}
    for name, run in runs.items():
        run.wait(timeout=120.0)
        assert (folder / name).exists(), (folder / f"{name}.log").read_text()
        claims[name] = msgspec.json.decode((folder / name).read_bytes(), type=StoredVerdict).claims
    return claims


def test_the_spread_drill_fails_for_nodes_that_select_in_the_same_order(tmp_path: Path) -> None:
    arguments = ["spread", "--nodes", "12", "--seconds", "16", "--seed", "4"]
    claims = run_drills(tmp_path, arguments, "one-order")
    # Only claims that do not depend on the machine's speed; operators check the others in their own runs.
    for claim in ("rules broken", "herd at p99.9"):
        assert claims["unmodified"][claim].held
    ratio = "served in time, over round robin's"
    assert claims["unmodified"][ratio].value > 2.0 * claims["one-order"][ratio].value
    assert not claims["one-order"][ratio].held
    assert not claims["one-order"]["idleness"].held


def test_the_watch_drill_fails_for_nodes_that_notice_drains_late(tmp_path: Path) -> None:
    # The first drain lasts for two fifths of the run, so mutated nodes miss it however fast they start.
    arguments = ["watch", "--nodes", "4", "--seconds", "30", "--seed", "4"]
    claims = run_drills(tmp_path, arguments, "late-watch", "slow-again")
    assert all(claim.held for claim in claims["unmodified"].values())
    assert not claims["late-watch"]["rules broken"].held
    assert not claims["slow-again"]["rules broken"].held


def test_the_soak_drill_fails_for_nodes_that_use_an_outdated_endpoint_list(tmp_path: Path) -> None:
    """A node is isolated, killed, and restarted with an old list while discovery fails.

    With the mutation, it uses that list and sends jobs to draining executors about 10 s after it counts as
    notified of the drain.
    """
    arguments = ["soak", "--nodes", "12", "--seconds", "30", "--seed", "32"]
    claims = run_drills(tmp_path, arguments, "old-list")
    assert all(claim.held for claim in claims["unmodified"].values())
    assert not claims["old-list"]["rules broken"].held


def test_the_soak_drill_fails_for_nodes_that_do_not_await_the_confirmation_of_a_cancellation(
    tmp_path: Path,
) -> None:
    """Hedging is not allowed; links are slow, executors hang, and connection floods use up descriptors."""
    arguments = ["soak", "--seconds", "20", "--seed", "8"]
    claims = run_drills(tmp_path, arguments, "unconfirmed-cancel")
    assert all(claim.held for claim in claims["unmodified"].values())
    assert not claims["unconfirmed-cancel"]["rules broken"].held


def test_the_soak_drill_fails_for_nodes_that_close_connections_over_unread_requests(tmp_path: Path) -> None:
    """Persistent clients use a node that is stalled for short times and restarted meanwhile."""
    arguments = ["soak", "--nodes", "10", "--seconds", "20", "--seed", "401"]
    claims = run_drills(tmp_path, arguments, "close-unread")
    assert all(claim.held for claim in claims["unmodified"].values())
    assert not claims["close-unread"]["rules broken"].held
