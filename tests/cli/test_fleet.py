"""`burlmoor fleet run` and `fleet report` on a recorded run: their output and exit status."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

from click.testing import CliRunner

from burlmoor.cli import fleet as fleet_command
from burlmoor.cli.main import main
from burlmoor.testbed.fleet import record as records

if TYPE_CHECKING:
    import pytest

RECORDED_RUN = Path(__file__).parents[1] / "golden" / "data" / "run"


class RecordedFleet:
    """Stands in for the processes of a fleet; its run returns the recorded run."""

    plans: list[records.RunPlan]

    def __init__(self, plan: records.RunPlan, folder: Path, *_report_progress: object) -> None:
        self.plans.append(plan)
        self._folder = folder

    async def run(self) -> records.RunRecord:
        assert self._folder.is_dir()
        return records.read_record(RECORDED_RUN)


def test_fleet_run_stores_the_record_and_exits_with_the_verdict(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    RecordedFleet.plans = []
    monkeypatch.setattr(fleet_command, "Fleet", RecordedFleet)
    options = ["--nodes", "3", "--seconds", "5", "--loud", "4", "--hot", "0.3", "--troubles", "2"]
    result = CliRunner().invoke(main, ["fleet", "run", *options, "--keep", str(tmp_path), "--json", "-"])
    verdict = json.loads(result.stdout)
    assert result.exit_code == (0 if verdict["held"] else 1)
    assert {"claims", "figures"} <= set(verdict)
    (plan,) = RecordedFleet.plans
    assert (plan.nodes, plan.executors, plan.seconds, plan.first_node_factor, plan.hot_key_fraction) == (
        3,
        20,
        5.0,
        4.0,
        0.3,
    )
    assert (tmp_path / "record.json.gz").exists()


def test_fleet_run_reports_an_invalid_schedule_on_one_line_with_status_2(tmp_path: Path) -> None:
    schedule = tmp_path / "schedule.ini"
    schedule.write_text("[nothing]\nwhat = nothing\n")
    result = CliRunner().invoke(main, ["fleet", "run", str(schedule)])
    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1
    assert result.stderr.startswith(f"burlmoor: {schedule}: ")


def test_fleet_report_draws_a_stored_record(tmp_path: Path) -> None:
    picture = tmp_path / "report.png"
    result = CliRunner().invoke(main, ["fleet", "report", str(RECORDED_RUN), "--out", str(picture)])
    assert result.exit_code == 0
    assert result.stdout.splitlines() == [str(picture)]
    assert picture.read_bytes().startswith(b"\x89PNG")
