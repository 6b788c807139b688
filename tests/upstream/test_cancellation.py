"""DELETE calls over sockets: they are repeated until answered, and the settings can disable them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from burlmoor.upstream.errors import BrokenResponseError, ConnectError
from burlmoor.upstream.http import Response
from burlmoor.upstream.pool import ConnectionPool
from tests.support.configuration import SETTINGS_OBJECT
from tests.support.node_harness import open_node_harness

if TYPE_CHECKING:
    import pytest


def settings_with_limits(**limits: bool) -> dict[str, Any]:
    return {**SETTINGS_OBJECT, "Limits": {**SETTINGS_OBJECT["Limits"], **limits}}


def make_cancel_calls_fail(monkeypatch: pytest.MonkeyPatch, *failures: Exception | int) -> list[bool]:
    """Make the first DELETE calls fail in these ways; return a list that collects their `must_connect`."""
    remaining = list(failures)
    must_connect_flags: list[bool] = []
    real_call = ConnectionPool.call

    async def call(
        pool: ConnectionPool, address: str, method: bytes, path: bytes, *, must_connect: bool = False
    ) -> Response:
        if method != b"DELETE":
            return await real_call(pool, address, method, path, must_connect=must_connect)
        must_connect_flags.append(must_connect)
        if not remaining:
            return await real_call(pool, address, method, path, must_connect=must_connect)
        failure = remaining.pop(0)
        if isinstance(failure, int):
            return Response(failure, {}, b"")
        raise failure

    monkeypatch.setattr(ConnectionPool, "call", call)
    return must_connect_flags


async def test_cancellation_is_repeated_on_new_connections_until_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failures = (BrokenResponseError("reset"), ConnectError("a", "refused"), 503)
    must_connect_flags = make_cancel_calls_fail(monkeypatch, *failures)

    async with open_node_harness(
        "hang", "take", given_settings=settings_with_limits(SecondCopies=False)
    ) as harness:
        await harness.wait_ready()
        harness.open_clients.append(await harness.submit_job())
        await harness.wait_until(lambda: harness.jobs)  # the attempt is cancelled after 0.45 s
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        # The job is retried elsewhere only after the executor has answered the cancellation.
        assert harness.cancelled_attempts == [(harness.jobs[0][0], "/jobs/a1")]
        assert harness.jobs[1][0] != harness.jobs[0][0]
    assert must_connect_flags == [False, True, True, True]


async def test_unconfirmed_cancellation_ends_with_its_job(monkeypatch: pytest.MonkeyPatch) -> None:
    must_connect_flags = make_cancel_calls_fail(monkeypatch, *[ConnectError("a", "timed out")] * 100)

    async with open_node_harness("hang", given_settings=settings_with_limits(SecondCopies=False)) as harness:
        await harness.wait_ready()
        client = await harness.submit_job(timeout_ms=1200)
        answer = await harness.read_response(client)
        assert answer.status == 503
        assert len(harness.jobs) == 1
        await harness.wait_until(lambda: not harness.components.attempts._canceller._attempts)
    assert 1 < len(must_connect_flags) < 10


async def test_settings_can_disable_cancellation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    must_connect_flags = make_cancel_calls_fail(monkeypatch)

    async with open_node_harness(
        "hang", given_settings=settings_with_limits(SecondCopies=False, Cancel=False)
    ) as harness:
        await harness.wait_ready()
        client = await harness.submit_job(timeout_ms=1200)
        assert (await harness.read_response(client)).status == 503
        assert len(harness.jobs) == 1
    assert must_connect_flags == []
