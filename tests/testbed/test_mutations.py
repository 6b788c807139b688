"""Each mutation replaces attributes that exist, and a node with it starts and answers jobs."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import pytest
import trio

from burlmoor.testbed.job_classes import JOB_CLASSES
from burlmoor.testbed.local_cluster import executor_specs, local_cluster, new_request
from burlmoor.testbed.mutations import MUTATIONS, mutated_node_command
from burlmoor.testbed.mutations.mutation import replace_attributes
from tests.support.request_classes import request_classes_with_long_objectives

if TYPE_CHECKING:
    from pathlib import Path

SEARCH = JOB_CLASSES[0]
TIMEOUT_SECONDS = 30.0
DEPENDENT_TIMEOUT_MS = 1500.0
FAULT_EVENTS = {"policy-failed", "action-failed", "unreadable"}


class Replaceable:
    value = 1


def test_replacing_an_unknown_attribute_raises_an_error() -> None:
    replace_attributes(Replaceable, value=2)
    assert Replaceable.value == 2
    with pytest.raises(AttributeError, match="missing"):
        replace_attributes(Replaceable, missing=2)


@pytest.mark.parametrize("name", MUTATIONS)
async def test_a_node_with_a_mutation_answers_a_job_and_its_dependent_without_a_fault(
    tmp_path: Path, name: str
) -> None:
    command = mutated_node_command(name)
    with trio.fail_after(TIMEOUT_SECONDS):
        async with local_cluster(
            tmp_path,
            executor_specs(2),
            options="[waiting]\n",
            command=command,
            RequestClasses=request_classes_with_long_objectives(),
        ) as cluster:
            (clients,) = cluster.clients
            dependent = new_request(
                "child", SEARCH, 10.0, timeout_ms=DEPENDENT_TIMEOUT_MS, run_after=("parent",)
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(clients.send, dependent)
                parent = await clients.send(new_request("parent", SEARCH, 10.0))
            cluster.discovery.set_entry("s-000", health="leaving")
            last = await clients.send(new_request("last", SEARCH, 10.0))
            (node,) = cluster.nodes
            assert node.process is not None
            assert node.process.poll() is None
    assert (parent.status, last.status) == (HTTPStatus.OK, HTTPStatus.OK)
    assert dependent.answer_count == 1
    assert not [event for event in node.log if event["event"] in FAULT_EVENTS]
