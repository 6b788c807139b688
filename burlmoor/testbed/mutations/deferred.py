"""Mutations of the handling of deferred jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burlmoor.testbed.mutations.mutation import Mutation, mutations_by_name, replace_attributes

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from burlmoor.deferred.deferred_job import DeferralReason, DeferredJob
    from burlmoor.deferred.dependency_graph import DependencyGraph


def _ignore_dependencies() -> None:
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    add = DependencyGraph.add

    def add_without_dependencies(
        self: DependencyGraph, request_id: str, _after: Iterable[str], *times: float
    ) -> DeferredJob:
        return add(self, request_id, (), *times)

    replace_attributes(DependencyGraph, add=add_without_dependencies)


def _ignore_earliest_start_time() -> None:
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    add = DependencyGraph.add

    def add_without_earliest_start_time(
        self: DependencyGraph,
        request_id: str,
        after: Iterable[str],
        _not_before_unix_ms: float,
        *times: float,
    ) -> DeferredJob:
        return add(self, request_id, after, 0.0, *times)

    replace_attributes(DependencyGraph, add=add_without_earliest_start_time)


def _treat_failed_as_served() -> None:
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    on_job_ended = DependencyGraph.on_job_ended

    def on_job_ended_as_served(
        self: DependencyGraph, request_id: str, now: float, **_was_served: bool
    ) -> None:
        on_job_ended(self, request_id, now, was_served=True)

    replace_attributes(DependencyGraph, on_job_ended=on_job_ended_as_served)


def _keep_dependents_of_failed() -> None:
    from burlmoor.deferred.deferred_job import DeferralReason  # noqa: PLC0415
    from burlmoor.deferred.dependency_graph import DependencyGraph  # noqa: PLC0415

    end_deferral = DependencyGraph.end_deferral

    def end_other_deferral(self: DependencyGraph, job: DeferredJob, reason: DeferralReason) -> None:
        if reason is not DeferralReason.DEPENDENCY_FAILED:
            end_deferral(self, job, reason)

    replace_attributes(DependencyGraph, end_deferral=end_other_deferral)


def _release_nothing() -> None:
    from burlmoor.deferred.release_queue import ReleaseQueue  # noqa: PLC0415

    replace_attributes(ReleaseQueue, pop_releasable=lambda _self, _now, _free_slots: None)


DEFERRED_MUTATIONS: Mapping[str, Mutation] = mutations_by_name(
    Mutation("forget-parents", "Jobs run without waiting for their dependencies.", _ignore_dependencies),
    Mutation("early", "Jobs run before their earliest start time.", _ignore_earliest_start_time),
    Mutation("failed-is-served", "A dependency that failed counts as served.", _treat_failed_as_served),
    Mutation("no-cascade", "Dependents of a job that failed stay deferred.", _keep_dependents_of_failed),
    Mutation("starve", "Jobs whose run conditions are met are never released.", _release_nothing),
)
