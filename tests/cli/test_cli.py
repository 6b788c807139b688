"""The `burlmoor` command: help, exit statuses, and the optional modules that a node does not import."""

from __future__ import annotations

import importlib.util
import os
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from burlmoor.cli.main import _SUBCOMMANDS, main
from tests.support.configuration import write_config

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("name", _SUBCOMMANDS)
def test_every_subcommand_has_a_help_text(name: str) -> None:
    result = CliRunner().invoke(main, [name, "--help"])
    assert result.exit_code == 0
    assert "Usage:" in result.output


def test_invalid_usage_exits_with_status_2() -> None:
    assert CliRunner().invoke(main, ["unknown"]).exit_code == 2
    assert CliRunner().invoke(main, ["check", "--options", "/nowhere"]).exit_code == 2


def run_check(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-c", "from burlmoor.cli.main import main; main()", "check", *arguments]
    prefixes = ("RELAY_", "BURLMOOR_")
    environment = {name: text for name, text in os.environ.items() if not name.startswith(prefixes)}
    return subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60, check=False)


def test_check_reports_every_error_in_both_files(tmp_path: Path) -> None:
    config = write_config(tmp_path, listen="nowhere")["RELAY_CONFIG"]
    options = tmp_path / "options.ini"
    options.write_text("[waiting]\njobs = none\nheld = much\n")
    completed = run_check("--config", config, "--options", str(options))
    assert completed.returncode == 2
    lines = completed.stderr.splitlines()
    assert [part in line for part, line in zip(("listen", "jobs", "held"), lines, strict=True)] == [True] * 3
    options.write_text("[waiting]\n")
    completed = run_check("--config", write_config(tmp_path)["RELAY_CONFIG"], "--options", str(options))
    assert (completed.returncode, completed.stderr) == (0, "")
    assert run_check().returncode == 2


def test_a_node_with_invalid_options_does_not_start(tmp_path: Path) -> None:
    options = tmp_path / "options.ini"
    options.write_text("[waiting]\njobs = 0\nnames = 0\n")
    environment = {**os.environ, **write_config(tmp_path), "BURLMOOR_OPTIONS": str(options)}
    completed = subprocess.run(
        [sys.executable, "-m", "burlmoor"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert [line.split("] ")[1].split(":")[0] for line in completed.stderr.splitlines()] == ["jobs", "names"]


def test_a_node_does_not_import_disabled_subsystems() -> None:
    text = "import sys, burlmoor.__main__; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", text], capture_output=True, text=True, timeout=60, check=True
    )
    loaded = set(completed.stdout.split())
    optional = {
        "burlmoor.config.options",
        "burlmoor.cli",
        "burlmoor.testbed",
        "burlmoor.deferred",
        "configparser",
    }
    assert all(importlib.util.find_spec(name) for name in optional)
    assert not loaded & (optional | {"click", "rich", "immutables", "numpy", "psutil", "structlog"})
