"""The four rules, judged from what the far sides of a world saw. A node's own word counts for nothing."""

from __future__ import annotations

import math
from collections import defaultdict

from burlmoor.engine.answers import Rejected, Served
from burlmoor.simulation.cluster import DROPPED, ClientRecord, ExecutorRecord, SimulatedCluster
from burlmoor.testbed.executor_model import max_calls_by_chance
from burlmoor.types.endpoint_list import EndpointState
from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass, Limits

GONE, FEW = 100.0, 2  # ms in which an attempt may still begin once its client has left; so many may be later
SLACK = 50.0  # ms beyond each limit, as on sockets
CHANCE = 1.15  # how far luck may push the work that reaches a cold executor over its budget


def audit(world: SimulatedCluster) -> list[str]:
    """Every broken rule, a line each; empty where all hold. The world has run until all is answered."""
    by_job: dict[str, list[ExecutorRecord]] = defaultdict(list)
    for attempt in world.attempts:
        by_job[attempt.id].append(attempt)
    classes = {each.name: each for each in world.town.settings.classes}
    broken = [f"a node failed: {fault}" for fault in world.faults]
    for row in world.asked.values():
        attempts = by_job[row.id]
        broken += _answered(world, row, attempts)
        broken += _repeated(world.town.settings.limits, classes[row.job_class], row, attempts)
    return broken + _drained(world) + _pushed_over(world) + _gone(world)


def _answered(world: SimulatedCluster, row: ClientRecord, attempts: list[ExecutorRecord]) -> list[str]:
    if row.died or row.left < math.inf:
        return []
    if len(row.answers) != 1:
        return [f"{row.id}: {len(row.answers)} answers"]
    at, answer = row.answers[0]
    broken = []
    if at > row.sent + row.patience + world.town.settings.rules.response_slack_ms + SLACK:
        broken.append(f"{row.id}: answered {at - row.sent - row.patience:.0f} ms late")
    if isinstance(answer, Served):
        makers = {f"{row.id}@{each.executor}".encode() for each in attempts if each.began is not None}
        if answer.body not in makers and not (answer.body == DROPPED and makers):
            broken.append(f"{row.id}: served with what no executor made: {answer.body!r}")
    return broken


def _risky(attempts: list[ExecutorRecord], now: float) -> list[ExecutorRecord]:
    """Those that were not proved by then to have never run."""
    return [
        each for each in attempts if each.known_at > now or not (each.known and each.known.proves_not_started)
    ]


def _repeated(
    limits: Limits, given: JobClass, row: ClientRecord, attempts: list[ExecutorRecord]
) -> list[str]:
    broken = []
    if len(attempts) > limits.max_attempts:
        broken.append(f"{row.id}: {len(attempts)} attempts")
    for number, attempt in enumerate(attempts):
        risky = _risky(attempts[:number], attempt.sent)
        out = sum(each.known_at > attempt.sent for each in attempts[:number])
        if out > limits.may_hedge:
            broken.append(f"{row.id}: {out + 1} attempts out at once")
        if not risky or given.idempotency is Idempotency.IDEMPOTENT:
            continue
        if given.idempotency is Idempotency.NON_IDEMPOTENT:
            broken.append(f"{row.id}: sent again though it may have run")
            continue
        first = risky[0]
        near = given.deduplication_scope is DeduplicationScope.ALL or first.zone == attempt.zone
        if given.deduplication_scope is DeduplicationScope.CELL:
            near = near and first.cell == attempt.cell
        if not near or attempt.sent > first.sent + given.deduplication_window_ms:
            broken.append(f"{row.id}: a keyed job was sent again out of its group or its time")
    runs = sum(each.began is not None for each in attempts)
    if given.idempotency is Idempotency.NON_IDEMPOTENT and runs > 1:
        broken.append(f"{row.id}: ran {runs} times")
    harmless = given.idempotency is Idempotency.IDEMPOTENT or (
        given.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and given.deduplication_scope is DeduplicationScope.ALL
    )
    refused = [at for at, answer in row.answers if isinstance(answer, Rejected)]
    if refused and not harmless and _risky(attempts, refused[0]):
        broken.append(f"{row.id}: refused though it may have run")
    return broken


def _drained(world: SimulatedCluster) -> list[str]:
    """Sends to executors that their node had been told to leave alone."""
    told: dict[tuple[int, str], list[tuple[float, EndpointState]]] = defaultdict(list)
    for at, node, name, state, _ in world.told:
        told[node, name].append((at, state))
    broken = []
    for attempt in world.attempts:
        since = math.inf
        for at, state in told[attempt.node, attempt.executor]:
            if at > attempt.sent:
                break
            since = math.inf if state is EndpointState.LIVE else min(since, at)
        if attempt.sent > since + world.town.settings.rules.drain_grace_ms + SLACK:
            broken.append(
                f"{attempt.id}: sent to {attempt.executor}, which node {attempt.node} knew had left"
            )
    return broken


def _pushed_over(world: SimulatedCluster) -> list[str]:
    """Cold executors that got more than they bear in some window from nodes that knew of their start."""
    rules, spec = world.town.settings.rules, world.town.spec
    known = {(node, name, start): at for at, node, name, _, start in reversed(world.told) if start > 0.0}
    sent: dict[tuple[str, float], list[ExecutorRecord]] = defaultdict(list)
    for attempt in world.attempts:
        at = known.get((attempt.node, attempt.executor, attempt.start), math.inf)
        if attempt.start > 0.0 and at <= attempt.sent < attempt.start + spec.slow_start_ms:
            sent[attempt.executor, attempt.start].append(attempt)
    broken = []
    mean = sum(row.work for row in world.asked.values()) / max(1, len(world.asked))
    for (name, start), attempts in sent.items():
        for first, attempt in enumerate(attempts):
            end = attempt.sent + rules.overload_window_ms
            load = sum(each.cost for each in attempts[first:] if each.sent <= end)
            bears = (
                rules.overload_multiple
                * spec.capacity
                * spec.slow_start_factor(end - start)
                * rules.overload_window_ms
            )
            if load > min(CHANCE * bears, mean * max_calls_by_chance(bears / mean)):
                broken.append(f"{name}: {load:.0f} ms of work in a window where it bears {bears:.0f}")
                break
    return broken


def _gone(world: SimulatedCluster) -> list[str]:
    """Attempts that began although their client had left."""
    late = [each for each in world.attempts if each.sent > world.asked[each.id].left + GONE]
    return [f"{each.id}: sent after its client had left" for each in late] if len(late) > FEW else []
