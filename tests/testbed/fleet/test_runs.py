"""Runs of real processes: fleets under faults, and the child processes of a run."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import psutil
import trio

from burlmoor.testbed.fleet.audit import audit
from burlmoor.testbed.fleet.child_process import ChildProcess
from burlmoor.testbed.fleet.fault_kinds import FaultKind
from burlmoor.testbed.fleet.faults import Fault, FaultSchedule
from burlmoor.testbed.fleet.process_allocation import ProcessCounts
from burlmoor.testbed.fleet.record import RunPlan, RunRecord, read_record
from burlmoor.testbed.fleet.run import Fleet
from burlmoor.testbed.fleet.schedule_file import parse_schedule

if TYPE_CHECKING:
    from pathlib import Path

SLEEP = ["-c", "import time; time.sleep(60)"]  # arguments of a Python process that sleeps


async def run_fleet(folder: Path, *faults: Fault) -> RunRecord:
    """Run four nodes and six executors for six seconds under faults."""
    plan = RunPlan(4, 6, 6.0, 7, 40.0, 0.5, schedule=FaultSchedule(7, faults))
    with trio.fail_after(120.0):
        return await Fleet(plan, folder).run(ProcessCounts(1, 1, 1))


async def test_a_fleet_under_faults_has_no_violations_and_its_record_can_be_read_and_plotted(
    tmp_path: Path,
) -> None:
    record = await run_fleet(
        tmp_path,
        Fault(kind=FaultKind.NODE_KILL, start=1.0, duration=0.5, nodes="n001"),
        Fault(kind=FaultKind.NODE_PAUSE, start=2.0, duration=1.0, nodes="n002"),
        Fault(
            kind=FaultKind.EXECUTOR_KILL,
            start=2.5,
            duration=1.0,
            executors="s-001",
            notification_delay=0.3,
        ),
        Fault(kind=FaultKind.LINK_PARTITION, start=3.0, duration=0.8, nodes="n000,n003", executors="s-000"),
        Fault(kind=FaultKind.NODE_TERMINATION, start=3.5, duration=0.5, nodes="n003"),
        Fault(kind=FaultKind.EXECUTOR_DRAIN, start=4.0, duration=1.0, executors="s-002"),
        Fault(kind=FaultKind.DISCOVERY_DELAY, start=1.0, duration=4.0, nodes="50%", magnitude=800.0),
    )
    assert audit(record).violations == []
    assert sum(request.is_served for request in record.requests) > 0.5 * len(record.requests) > 50
    kinds = {interval.kind for interval in record.fault_intervals}
    assert kinds == {fault.kind for fault in record.plan.schedule.faults}
    assert len(kinds) == 7
    record.write(tmp_path / "kept")
    read_again = read_record(tmp_path / "kept")
    assert read_again == record
    assert parse_schedule((tmp_path / "kept" / "schedule.ini").read_text()) == record.plan.schedule
    from burlmoor.testbed.fleet.report import plot_report  # noqa: PLC0415

    plot_report(read_again, tmp_path / "report.png")
    assert (tmp_path / "report.png").stat().st_size > 10_000


async def test_only_executors_behind_links_that_are_not_partitioned_start_attempts(tmp_path: Path) -> None:
    record = await run_fleet(
        tmp_path,
        Fault(kind=FaultKind.LINK_PARTITION, start=0.0, duration=6.0, nodes="*", executors="s-000,s-001"),
    )
    end_ms = record.start_ms + 5500.0
    attempts = [attempt for attempt in record.attempts if attempt.received_ms < end_ms]
    executors = {attempt.executor for attempt in attempts if attempt.started_ms is not None}
    assert executors
    assert not executors & {"s-000", "s-001"}
    assert audit(record).violations == []


def test_the_child_processes_of_a_killed_run_end() -> None:
    arguments = ["fleet", "run", "--nodes", "3", "--executors", "4"]
    code = "from burlmoor.cli.main import main; main()"
    run = subprocess.Popen([sys.executable, "-c", code, *arguments], stderr=subprocess.DEVNULL)
    children: list[psutil.Process] = []
    try:
        deadline = time.monotonic() + 30.0
        while len(children) < 6 and time.monotonic() < deadline:
            time.sleep(0.1)
            children = list(psutil.Process(run.pid).children(recursive=True))
        assert len(children) >= 6
    finally:
        run.kill()
        run.wait()
    _, alive = psutil.wait_procs(children, timeout=15.0)
    assert alive == []


async def test_a_child_process_ignores_sighup_from_its_start(tmp_path: Path) -> None:
    handler = signal.getsignal(signal.SIGHUP)
    process = ChildProcess(SLEEP, tmp_path / "log")
    for _ in range(200):
        process.send_signal(signal.SIGHUP)
        await trio.sleep(0.001)
    assert process.is_running
    await process.kill()
    assert signal.getsignal(signal.SIGHUP) is handler


async def test_the_exit_status_of_a_child_process_tells_the_signal_that_ended_it(tmp_path: Path) -> None:
    process = ChildProcess(SLEEP, tmp_path / "log")
    process.send_signal(signal.SIGTERM)
    assert await process.wait_until_ended(20.0)
    await process.kill()
    assert process.exit_status in (-signal.SIGTERM, 143)
