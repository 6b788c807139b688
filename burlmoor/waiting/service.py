"""Joins the ward to a running node: the core asks it, the front reads its headers, operators are shown it."""

from __future__ import annotations

from typing import Any

from burlmoor.core import Core, Say
from burlmoor.net.front import Front
from burlmoor.operators import Desk
from burlmoor.options.sections import Waiting
from burlmoor.waiting.conditions import Reader
from burlmoor.waiting.view import show
from burlmoor.waiting.ward import Ward

PATH = "/waiting"


class WaitingService:
    """Owns whether jobs may wait here; turned off, what waits goes on and nothing new comes to wait."""

    def __init__(self, core: Core, front: Front, desk: Desk, seed: int, say: Say) -> None:
        self._core, self._front, self._desk, self._seed, self._say = core, front, desk, seed, say
        self.ward: Ward | None = None

    def take_up(self, given: Waiting | None) -> None:
        """These options hold from now on; None: off."""
        if given is None:
            self._front.conditions = None
            return
        now = self._core.clock()
        if self.ward is None:
            advice = self._core.settings.limits.max_retry_after
            self.ward = Ward(given, self._front.size, advice, self._seed, self._say, now)
            self._core.hold_with(self.ward)
            self._front.shut_waiting = self._shut
            self._desk.shown[PATH] = self._show
        else:
            self.ward.take_up(given, now)
        self._front.conditions = Reader(given.names)

    def _shut(self, shut: bool) -> None:
        ward = self.ward
        if ward is None:
            return
        ward.shut(shut)
        if shut:
            self._core.wake()
        if self._front.conditions is None and not ward.held:
            # Turned off, and the last that waited has gone.
            self.ward = self._core.holder = self._front.shut_waiting = None
            self._desk.shown.pop(PATH, None)

    async def _show(self) -> dict[str, Any]:
        assert self.ward is not None
        return await show(self.ward, self._core.clock)
