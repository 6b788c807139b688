"""Records of what clients and executors of a simulated cluster observed, which the audit checks.

Times are ms of the virtual clock; `math.inf` means that something has not happened.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from burlmoor.engine.answers import FinalAnswer
    from burlmoor.types.endpoint_list import EndpointState
    from burlmoor.types.outcome import Outcome

DEDUPLICATED_RESULT = b"dropped"  # stands for the result of a repeat that executors recognized by its key
TOLERANCE_MS = 50.0  # added to each time limit, as for runs on sockets


class AnswerRecord(NamedTuple):
    """A final answer and when the client received it."""

    at: float
    answer: FinalAnswer


@dataclass(slots=True)
class ClientRecord:
    """A job as its client observed it."""

    request_id: str
    job_class: str
    tenant: str
    sent_at: float
    timeout_ms: float
    work_ms: float
    node_index: int
    answers: list[AnswerRecord] = field(default_factory=list)
    has_node_crashed: bool = False  # no answer is due then
    disconnected_at: float = math.inf


@dataclass(slots=True)
class AttemptRecord:
    """One attempt: sent by a node, begun by an executor, and the outcome that the node knows, if any."""

    request_id: str
    executor: str
    zone: str
    cell: int
    node_index: int
    sent_at: float
    work_ms: float
    executor_started_at: float  # 0: long ago
    node_generation: int = 0  # attempts of an earlier process of the node are not reported to the next
    began_at: float | None = None
    outcome: Outcome | None = None
    outcome_known_at: float = math.inf


class EndpointNotification(NamedTuple):
    """A node was notified of an executor's state."""

    at: float
    node_index: int
    executor: str
    state: EndpointState
    executor_started_at: float
