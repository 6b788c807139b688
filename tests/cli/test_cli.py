"""The `burlmoor` command: help, exit statuses, and the modules that a plain node must not import."""

from __future__ import annotations

import importlib.util
import os
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from burlmoor.cli.main import _VERBS, main
from tests.support.configuration import write_config

if TYPE_CHECKING:
    from pathlib import Path


@pytest.mark.parametrize("verb", _VERBS)
def test_every_verb_has_a_help_text(verb: str) -> None:
    done = CliRunner().invoke(main, [verb, "--help"])
    assert done.exit_code == 0
    assert "Usage:" in done.output


def test_bad_usage_exits_with_status_2() -> None:
    assert CliRunner().invoke(main, ["juggle"]).exit_code == 2
    assert CliRunner().invoke(main, ["check", "--options", "/nowhere"]).exit_code == 2


def run_check(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-c", "from burlmoor.cli.main import main; main()", "check", *arguments]
    own = ("RELAY_", "BURLMOOR_")
    environment = {name: text for name, text in os.environ.items() if not name.startswith(own)}
    return subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60, check=False)


def test_check_reports_every_fault_of_both_files(tmp_path: Path) -> None:
    config = write_config(tmp_path, listen="nowhere")["RELAY_CONFIG"]
    options = tmp_path / "options.ini"
    options.write_text("[waiting]\njobs = none\nheld = much\n")
    done = run_check("--config", config, "--options", str(options))
    assert done.returncode == 2
    lines = done.stderr.splitlines()
    assert [part in line for part, line in zip(("listen", "jobs", "held"), lines, strict=True)] == [True] * 3
    options.write_text("[waiting]\n")
    done = run_check("--config", write_config(tmp_path)["RELAY_CONFIG"], "--options", str(options))
    assert (done.returncode, done.stderr) == (0, "")
    assert run_check().returncode == 2


def test_a_node_with_invalid_options_does_not_start(tmp_path: Path) -> None:
    options = tmp_path / "options.ini"
    options.write_text("[waiting]\njobs = 0\nnames = 0\n")
    environment = {**os.environ, **write_config(tmp_path), "BURLMOOR_OPTIONS": str(options)}
    done = subprocess.run(
        [sys.executable, "-m", "burlmoor"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert [line.split("] ")[1].split(":")[0] for line in done.stderr.splitlines()] == ["jobs", "names"]


def test_a_plain_node_imports_no_subsystem_that_is_off() -> None:
    text = "import sys, burlmoor.__main__; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", text], capture_output=True, text=True, timeout=60, check=True
    )
    loaded = set(done.stdout.split())
    off = {"burlmoor.config.options", "burlmoor.cli", "burlmoor.testbed", "burlmoor.deferred", "configparser"}
    assert all(importlib.util.find_spec(name) for name in off)
    assert not loaded & (off | {"click", "rich", "immutables", "numpy", "psutil", "structlog"})
