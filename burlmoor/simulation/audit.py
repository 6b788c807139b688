"""Checks the rules on what clients and executors of a simulated cluster observed.

- A job gets exactly one answer, in time, and only a result that an executor produced (`_check_answer`).
- A job is not sent more often than its class and the limits allow (`_check_attempts`).
- A job that may have run is not rejected, unless any executor can safely repeat it (`_check_rejection`).
- No attempt is sent to an executor that its node knows to drain or to be gone (`check_draining`).
- Nodes that know of an executor's start do not exceed its budget while it warms up (`check_overload`).
- Almost no attempt is sent after its client has disconnected (`check_disconnected`).

Reports of the nodes themselves are not used as evidence, with two exceptions: a node must not log an internal
error, and what a node knew of earlier outcomes decides whether it could send the job again or reject it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from burlmoor.engine.answers import Rejected, Served
from burlmoor.simulation.audit_executors import check_disconnected, check_draining, check_overload
from burlmoor.simulation.deduplication import in_same_deduplication_scope
from burlmoor.simulation.executors import expected_result
from burlmoor.simulation.records import DEDUPLICATED_RESULT, TOLERANCE_MS, AttemptRecord, ClientRecord
from burlmoor.types.settings import DeduplicationScope, Idempotency, JobClass, Limits

if TYPE_CHECKING:
    from collections.abc import Iterator

    from burlmoor.simulation.cluster import SimulatedCluster


def audit(cluster: SimulatedCluster) -> list[str]:
    """Return one line per violation; an empty list means that all rules hold.

    The cluster must have run until every job was answered.
    """
    attempts_by_job: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in cluster.attempt_records:
        attempts_by_job[attempt.request_id].append(attempt)
    job_classes = {job_class.name: job_class for job_class in cluster.spec.settings.classes}
    violations = [f"a node logged an internal error: {error}" for error in cluster.internal_errors]
    for client in cluster.client_records.values():
        attempts = attempts_by_job[client.request_id]
        job_class = job_classes[client.job_class]
        violations += _check_answer(cluster, client, attempts)
        violations += _check_attempts(cluster.spec.settings.limits, job_class, client, attempts)
        violations += _check_rejection(job_class, client, attempts)
    violations += check_draining(cluster)
    violations += check_overload(cluster)
    violations += check_disconnected(cluster)
    return violations


def _check_answer(
    cluster: SimulatedCluster, client: ClientRecord, attempts: list[AttemptRecord]
) -> Iterator[str]:
    """Check that a job got exactly one final answer, in time, and only a result that an executor produced."""
    if client.has_node_crashed or client.disconnected_at < math.inf:
        return
    if len(client.answers) != 1:
        yield f"{client.request_id}: {len(client.answers)} answers"
        return
    answered_at, answer = client.answers[0]
    slack_ms = cluster.spec.settings.rules.response_slack_ms
    if answered_at > client.sent_at + client.timeout_ms + slack_ms + TOLERANCE_MS:
        late_ms = answered_at - client.sent_at - client.timeout_ms
        yield (
            f"{client.request_id}: answered {late_ms:.0f} ms after its deadline, "
            f"allowed {slack_ms + TOLERANCE_MS:.0f} ms"
        )
    if isinstance(answer, Served):
        results = {expected_result(attempt) for attempt in attempts if attempt.began_at is not None}
        is_deduplicated = answer.body == DEDUPLICATED_RESULT and bool(results)
        if answer.body not in results and not is_deduplicated:
            yield f"{client.request_id}: served with a result that no executor made: {answer.body!r}"


def _find_possibly_run(attempts: list[AttemptRecord], now: float) -> list[AttemptRecord]:
    """Return the attempts that, as far as was known at `now`, may have run."""
    return [
        attempt
        for attempt in attempts
        if attempt.outcome_known_at > now or not (attempt.outcome and attempt.outcome.proves_not_started)
    ]


def _check_attempts(
    limits: Limits, job_class: JobClass, client: ClientRecord, attempts: list[AttemptRecord]
) -> Iterator[str]:
    """Check that a job was not sent more often than its class and the limits allow."""
    request_id = client.request_id
    if len(attempts) > limits.max_attempts:
        yield f"{request_id}: {len(attempts)} attempts, limit {limits.max_attempts}"
    for number, attempt in enumerate(attempts):
        earlier = attempts[:number]
        open_count = sum(each.outcome_known_at > attempt.sent_at for each in earlier)
        # One earlier attempt may still be open if the limits allow hedged requests, otherwise none.
        if open_count > limits.may_hedge:
            yield f"{request_id}: {open_count + 1} attempts open at once, limit {1 + limits.may_hedge}"
        possibly_run = _find_possibly_run(earlier, attempt.sent_at)
        if not possibly_run or job_class.idempotency is Idempotency.IDEMPOTENT:
            continue
        if job_class.idempotency is Idempotency.NON_IDEMPOTENT:
            yield f"{request_id}: sent again though it may have run"
        elif not _is_deduplicated(job_class, possibly_run[0], attempt):
            yield f"{request_id}: a job with a key was sent again outside its deduplication scope or window"
    runs = sum(attempt.began_at is not None for attempt in attempts)
    if job_class.idempotency is Idempotency.NON_IDEMPOTENT and runs > 1:
        yield f"{request_id}: ran {runs} times"


def _is_deduplicated(job_class: JobClass, first: AttemptRecord, repeat: AttemptRecord) -> bool:
    """Whether executors recognize the second attempt by its key as a repeat of the first."""
    is_within_window = repeat.sent_at <= first.sent_at + job_class.deduplication_window_ms
    return is_within_window and in_same_deduplication_scope(job_class, first, repeat)


def _check_rejection(
    job_class: JobClass, client: ClientRecord, attempts: list[AttemptRecord]
) -> Iterator[str]:
    """Check that a job that may have run was not rejected, unless any executor can safely repeat it."""
    is_repeatable_anywhere = job_class.idempotency is Idempotency.IDEMPOTENT or (
        job_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and job_class.deduplication_scope is DeduplicationScope.ALL
    )
    rejected_at = [at for at, answer in client.answers if isinstance(answer, Rejected)]
    if rejected_at and not is_repeatable_anywhere and _find_possibly_run(attempts, rejected_at[0]):
        yield f"{client.request_id}: rejected though it may have run"
