"""Stores the jobs that the node has admitted, by request id and by number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.engine.recent_ids import RecentIds

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from burlmoor.engine.job import Attempt, Job
    from burlmoor.engine.job_log import JobLog


class JobRegistry:
    """Stores each job until it is closed and all its attempts have ended. `clock` returns ms."""

    def __init__(self, job_log: JobLog, clock: Callable[[], float]) -> None:
        self._job_log = job_log
        self._recent_ids = RecentIds(clock)  # of removed jobs that may have run
        self._ids_in_other_process: set[str] = set()  # admitted by another process of this node
        self._by_number: dict[int, Job] = {}
        self._by_id: dict[str, Job] = {}
        self._last_number = 0

    def __iter__(self) -> Iterator[Job]:
        return iter(self._by_number.values())

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether this node has a job with this id, or recently had one that may have run.

        Each request has an id of its own, so one that comes again is not another request, and a job that may
        have run must not run a second time.
        """
        return (
            request_id in self._by_id
            or request_id in self._ids_in_other_process
            or request_id in self._recent_ids
        )

    def add_ids_in_other_process(self, request_ids: Iterable[str]) -> None:
        """Mark as in use the ids of jobs that another process of this node has admitted."""
        self._ids_in_other_process.update(request_ids)

    def on_other_process_ended(self) -> None:
        """Treat the jobs of the other process, which has ended, as recent jobs that may have run."""
        for request_id in self._ids_in_other_process:
            self._recent_ids.add(request_id)
        self._ids_in_other_process.clear()

    def add_recent_id(self, request_id: str) -> None:
        """Mark as in use for some time the id of a job that a successor has admitted."""
        self._recent_ids.add(request_id)

    def next_number(self) -> int:
        """Return a number that no job of this process has had."""
        self._last_number += 1
        return self._last_number

    def add(self, job: Job) -> None:
        """Register a new job, whose id must not be in use."""
        self._by_number[job.number] = self._by_id[job.id] = job

    def find_by_id(self, request_id: str) -> Job | None:
        """Return the job with this request id, if it is stored."""
        return self._by_id.get(request_id)

    def find_by_number(self, number: int) -> Job | None:
        """Return the job with this number, if it is stored."""
        return self._by_number.get(number)

    def find_attempt(self, request_id: str, endpoint: str) -> Attempt | None:
        """Return the job's open attempt at this endpoint, if there is one."""
        job = self._by_id.get(request_id)
        if job is None:
            return None
        return next((attempt for attempt in job.open_attempts() if attempt.endpoint == endpoint), None)

    def remove_if_done(self, job: Job) -> None:
        """Remove the job, and log it, if it is closed and has no open attempt."""
        if not job.is_closed or job.open_attempts():
            return
        if self._by_number.pop(job.number, None) is not None:
            del self._by_id[job.id]
            if job.may_have_run():
                self._recent_ids.add(job.id)
            self._job_log.on_job_removed(job)

    def ids(self) -> list[str]:
        """Return the request ids of all stored jobs, including closed ones with open attempts."""
        return list(self._by_id)

    def ids_in_use(self) -> list[str]:
        """Return all request ids for which `is_id_in_use` holds."""
        return list({*self._by_id, *self._ids_in_other_process, *self._recent_ids.ids()})

    def count_open(self) -> int:
        """Return how many jobs have no final answer yet."""
        return sum(not job.is_closed for job in self._by_number.values())
