"""The payload of a job: the part of a client's request that an executor receives."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a request that are forwarded to an executor unchanged."""

    method: bytes
    path: bytes
    body: bytes
    idempotency_key: str = ""  # identifies repeats of a job to executors; "": none
