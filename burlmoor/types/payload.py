"""What a job carries from its client to an executor."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Payload:
    """What is passed on to an executor unchanged."""

    method: bytes
    path: bytes
    body: bytes
    idempotency_key: str = ""  # by which executors know a repeat
