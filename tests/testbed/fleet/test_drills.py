"""The drills of many nodes hold for a sound node, and fail for mutations of it."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pathlib import Path


class JudgedClaim(msgspec.Struct):
    """A claim as a drill writes it."""

    value: float
    held: bool


class WrittenVerdict(msgspec.Struct):
    """The claims of the verdict that a drill writes."""

    claims: dict[str, JudgedClaim]


def run_drills(folder: Path, arguments: list[str], *mutations: str) -> dict[str, dict[str, JudgedClaim]]:
    """Return the claims of a drill of a sound node, and of one with each mutation, run side by side."""
    code = "from burlmoor.cli.main import main; main()"
    options = {"sound": [], **{mutation: ["--sabotage", mutation] for mutation in mutations}}
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
        claims[name] = msgspec.json.decode((folder / name).read_bytes(), type=WrittenVerdict).claims
    return claims


def test_the_drill_of_spread_fails_for_nodes_that_select_in_the_same_order(tmp_path: Path) -> None:
    arguments = ["spread", "--nodes", "12", "--seconds", "16", "--seed", "4"]
    claims = run_drills(tmp_path, arguments, "one-order")
    # Claims that a slow machine does not change: the others are for the operators' own runs.
    for claim in ("rules broken", "herd at p99.9"):
        assert claims["sound"][claim].held
    ratio = "served in time, over round robin's"
    assert claims["sound"][ratio].value > 2.0 * claims["one-order"][ratio].value
    assert not claims["one-order"][ratio].held
    assert not claims["one-order"]["idleness"].held


def test_the_drill_of_the_watch_fails_for_nodes_that_notice_drains_late(tmp_path: Path) -> None:
    # The first drain lasts for two fifths of the run: nodes miss it however fast they start.
    arguments = ["watch", "--nodes", "4", "--seconds", "30", "--seed", "4"]
    claims = run_drills(tmp_path, arguments, "late-watch", "slow-again")
    assert all(claim.held for claim in claims["sound"].values())
    assert not claims["late-watch"]["rules broken"].held
    assert not claims["slow-again"]["rules broken"].held


def test_the_soak_fails_for_nodes_that_use_an_outdated_list(tmp_path: Path) -> None:
    """One node is isolated, killed, and restarted with an old list as discovery fails: it is late by 10 s."""
    arguments = ["soak", "--nodes", "12", "--seconds", "30", "--seed", "32"]
    claims = run_drills(tmp_path, arguments, "old-list")
    assert all(claim.held for claim in claims["sound"].values())
    assert not claims["old-list"]["rules broken"].held


def test_the_soak_fails_for_nodes_that_do_not_await_the_confirmation_of_a_cancellation(
    tmp_path: Path,
) -> None:
    """Concurrent attempts are not allowed; links are slow, executors hang, floods use up descriptors."""
    arguments = ["soak", "--seconds", "20", "--seed", "8"]
    claims = run_drills(tmp_path, arguments, "unconfirmed-cancel")
    assert all(claim.held for claim in claims["sound"].values())
    assert not claims["unconfirmed-cancel"]["rules broken"].held
