"""The final answers that a job can get."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Served:
    """The answer that an executor gave."""

    body: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """A refusal: the job has not run, or may run again; come back after so many ms."""

    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """The job failed and may have run."""


@dataclass(frozen=True, slots=True)
class DependencyFailed:
    """The job has not run and can't: another try that asks for the same is in vain."""

    reason: str


FinalAnswer = Served | Rejected | Failed | DependencyFailed
