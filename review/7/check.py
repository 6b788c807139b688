"""The rule on keyed jobs: a job that may have run is sent again only within the window for repeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins_2.record import Record

REPEAT_WINDOW_MS = 1500.0
# The slack of every time limit on sockets, and the time for which a node may be held up before it writes.
SLACK_MS = 50.0 + 150.0


def find_violations(record: Record) -> list[str]:
    """Return the attempts that began too long after the first attempt of their job, which has run."""
    violations = []
    for job in record.find("job sent"):
        first, *repeats = record.find("attempt arrived", id=job["id"]) or [None]
        for repeat in repeats:
            delay_ms = repeat["at"] - first["at"]
            if delay_ms > REPEAT_WINDOW_MS + SLACK_MS:
                violations.append(
                    f"job {job['id']}: ran at {first['executor']}, and again at {repeat['executor']} "
                    f"{delay_ms:.0f} ms later; its executors drop repeats for {REPEAT_WINDOW_MS:.0f} ms"
                )
    return violations
