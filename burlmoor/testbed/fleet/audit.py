"""The rules over the sum of all nodes, from the far sides' rows alone; what a node logs acquits nobody.

Excused is only what the schedule itself caused: jobs that a killed node had, answers that a stopped node
could not give, bytes that a troubled link held back. Each excuse is counted.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict

import msgspec

from burlmoor.testbed.event_record import AttemptRecord, RequestRecord
from burlmoor.testbed.executor_model import max_calls_by_chance
from burlmoor.testbed.fleet.faults import effects
from burlmoor.testbed.fleet.record import Record, Span
from burlmoor.testbed.job_classes import JOB_CLASSES, platform_settings

DRAIN = 250.0  # ms from when a node was told until nothing new comes
FLIGHT = 150.0  # ms that a forward may be on its way on a loaded machine
LATE = 500.0  # ms beyond a client's patience, on a loaded machine
WAKES = 1000.0  # ms that a stopped node's news may lie unread once it goes on
LUCK = 1.15  # how far the drawn sizes of jobs may push the work over a budget


class Audit(msgspec.Struct):
    """What was found: broken rules a line each, and how many rows were excused by what."""

    broken: list[str] = []
    excused: dict[str, int] = {}
    lost: list[str] = []  # jobs that were given no answer in time because of what befell their node

    def excuse(self, why: str, job: str = "") -> None:
        """Count one row that the schedule itself accounts for."""
        self.excused[why] = self.excused.get(why, 0) + 1
        if job:
            self.lost.append(job)


def audit(record: Record) -> Audit:
    """Every rule, for every row."""
    found = Audit()
    found.broken += [f"{name} ended with {status}" for name, status in record.ended.items()]
    _answers(record, found)
    _repeats(record, found)
    _drains(record, found)
    _cold(record, found)
    return found


def _at_node(record: Record, what: tuple[str, ...]) -> dict[int, list[Span]]:
    spans: dict[int, list[Span]] = defaultdict(list)
    numbers = {name: number for number, name in enumerate(record.node_names())}
    for span in record.spans:
        if span.what in what and span.who in numbers:
            spans[numbers[span.who]].append(span)
    return spans


def _met(spans: list[Span], since: float, until: float, after: float = 0.0) -> bool:
    return any(span.since <= until and since <= span.until + after for span in spans)


def _answers(record: Record, found: Audit) -> None:
    killed, stopped, away = (_at_node(record, what) for what in (("kill",), ("stop",), ("term",)))
    done = {row.id for row in record.ran if row.outcome == "done"}
    taken = {row.id for row in record.ran}
    for job in record.asked:
        over = job.sent_ms + job.timeout_ms
        if job.is_unsent:
            found.excuse("no node took a connection", job.id)
        elif job.answered_ms is None:
            if _met(killed[job.node], job.sent_ms, over):
                found.excuse("its node was killed", job.id)
            elif _met(stopped[job.node], job.sent_ms, over):
                found.excuse("its node was stopped", job.id)
            elif job.id not in taken and _met(away[job.node], job.sent_ms, job.sent_ms):
                # Written to a kept connection in the moment in which a node that stops closes it.
                found.excuse("never taken by a node that stopped", job.id)
            else:
                found.broken.append(f"{job.id}: no answer from n{job.node:03d}")
        elif job.answered_ms > over + LATE:
            if _met(stopped[job.node], job.sent_ms, over, WAKES):
                found.excuse("answered late by a stopped node", job.id)
            else:
                found.broken.append(f"{job.id}: answered {job.answered_ms - over:.0f} ms late")
        if job.is_served and (job.id not in done or job.body.partition(b"@")[0] != job.id.encode()):
            found.broken.append(f"{job.id}: served with what no executor made")


def _repeats(record: Record, found: Audit) -> None:
    once = {kind.name for kind in JOB_CLASSES if kind.is_non_idempotent}
    began: dict[str, list[AttemptRecord]] = defaultdict(list)
    for row in record.ran:
        if row.started_ms is not None:
            began[row.id].append(row)
    found.broken += [
        f"{ref}: a job that must not run twice began {len(rows)} times"
        for ref, rows in began.items()
        if len(rows) > 1 and rows[0].job_class in once
    ]
    asked: dict[str, RequestRecord] = {job.id: job for job in record.asked}
    for ref, rows in began.items():
        job = asked.get(ref)
        if job is None:
            found.broken.append(f"{ref}: ran, and no client sent it")
        elif (
            job.is_rejected and job.job_class in once and rows[0].started_ms <= (job.answered_ms or math.inf)  # type: ignore[operator]
        ):
            found.broken.append(f"{ref}: ran, and its client was told that a retry does no harm")


def _drains(record: Record, found: Audit) -> None:
    """Nothing new later than 250 ms after the node was told, however it learnt of it."""
    heard: dict[tuple[int, str], list[tuple[float, str]]] = defaultdict(list)
    for at, who, host, health in record.heard:
        heard[int(who[1:]), host].append((at, health))
    stopped = _at_node(record, ("stop",))
    for row in record.ran:
        node = int(row.node)
        told = heard.get((node, row.executor), [])
        place = bisect.bisect_right(told, row.received_ms, key=lambda each: each[0])
        if not place or told[place - 1][1] == "active":
            continue
        late = row.received_ms - told[place - 1][0]
        if late <= DRAIN + FLIGHT:
            continue
        if _met(stopped[node], row.received_ms, row.received_ms, WAKES):
            found.excuse("its node was stopped")
        elif _troubled(record, node, row.executor, row.received_ms):
            found.excuse("a troubled link held it back")
        else:
            found.broken.append(f"{row.id}: came {late:.0f} ms after n{node:03d} was told of {row.executor}")


def _troubled(record: Record, node: int, executor: str, came: float) -> bool:
    """Whether the schedule holds bytes back on this link, or did so until a moment before."""
    at = (came - record.begin) / 1000.0
    sides = (record.node_names(), record.node_zones), (record.names(), record.executor_zones)
    number = record.names().index(executor)
    near = [at, *(t.until - 1e-3 for t in record.plan.schedule.troubles if 0.0 <= at - t.until < 1.0)]
    return any(
        effect.meets(node, number, True)
        for moment in near
        for effect in effects(record.plan.schedule, moment, *sides, between_nodes=False)
    )


def _cold(record: Record, found: Audit) -> None:
    """What reaches a cold executor within a window stays under what would push it over."""
    rules = platform_settings(JOB_CLASSES, record.plan.nodes)["Rules"]
    window, multiple = rules["OverloadFor"], rules["FallMultiple"]
    births: dict[str, list[float]] = defaultdict(list)
    for span in record.spans:
        if span.what in ("die", "drain"):
            births[span.who].append(span.until)
    came: dict[str, list[AttemptRecord]] = defaultdict(list)
    for row in record.ran:
        came[row.executor].append(row)
    mean = sum(row.work_ms * row.slots for row in record.ran) / max(1, len(record.ran))
    for name, times in births.items():
        spec = record.specs[name]
        rows = sorted(came[name], key=lambda row: row.received_ms)
        for born in times:
            cold = [row for row in rows if born <= row.received_ms < born + spec.slow_start_ms]
            for number, row in enumerate(cold):
                budget = multiple * spec.slow_start_factor(row.received_ms - born) * spec.capacity * window
                work = sum(
                    r.work_ms * r.slots for r in cold[number:] if r.received_ms < row.received_ms + window
                )
                if work > min(LUCK * budget, mean * max_calls_by_chance(budget / mean)):
                    found.broken.append(f"{name}: cold, got {work / budget:.2f} of its budget in a window")
                    break
