"""The downstream server during a handover: call-backs, connections and request ids of the other process."""

from __future__ import annotations

from tests.support.handover_harness import RecordingProcess
from tests.support.node_harness import open_node_harness


async def test_a_callback_is_accepted_only_if_the_other_process_acknowledges_it() -> None:
    async with open_node_harness() as harness:
        other_process = RecordingProcess(acknowledgements=[False, True])
        harness.components.server.peers.attach_callback_forwarder(other_process)
        body = b'{"id":"x","from":"e0","state":"done"}'
        assert await harness.send_callback_body(body) == 503  # so that the executor repeats it
        assert await harness.send_callback_body(body) == 204
        assert other_process.callbacks == [body, body]


async def test_a_connection_is_passed_to_the_successor_only_between_requests() -> None:
    async with open_node_harness() as harness:
        successor = RecordingProcess()
        client = await harness.submit_job("once", "a1")
        partial = await harness.connect_client()
        await partial.socket_stream.send_all(b"POST /once")
        await harness.wait_until(lambda: harness.jobs and len(harness.components.server.connections) == 2)
        harness.components.server.peers.attach_successor(successor)
        harness.components.server.connections.pass_idle_to_successor()
        assert not successor.connections
        await harness.send_callback("done", "fine")
        assert (await harness.read_response(client)).status == 200
        assert [has_been_used for _, has_been_used in successor.connections] == [True]
        # The passed socket stays usable: a server that is given it serves the next request.
        harness.components.server.peers.attach_successor(None)
        for sock, has_been_used in successor.connections:
            harness.components.server.serve_connection(sock, has_been_used=has_been_used)
        await harness.send_job(client, "once", "a2")
        await harness.wait_until(lambda: len(harness.jobs) == 2)
        await harness.send_callback("done", "again")
        assert (await harness.read_response(client)).body == b"again"


async def test_a_request_id_in_use_in_the_other_process_is_rejected() -> None:
    async with open_node_harness() as harness:
        harness.components.core.jobs.add_ids_in_other_process(["a1"])
        assert (await harness.read_response(await harness.submit_job("once", "a1"))).status == 400
        assert not harness.jobs
