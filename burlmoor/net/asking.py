"""When a node may call discovery: one service answers a whole fleet in turn, and a late call there is lost.

Pure: no socket and no clock. All times are in seconds.
"""

from __future__ import annotations

import random

_A_CALL = 0.2  # what discovery is taken to need for one call
_PATIENCE = 2.0  # how long a call waits in its turn at most before it fails
_BACKOFF = (0.1, 2.0)  # before the first call after a failure, and at most, where a fleet is small
_SILENT = 2.5  # spread of a fleet's calls after a silence that shows after 1.5 s, of the 6 s less _PATIENCE
_WITHIN = 0.8  # of the time within which a node has to ask


class Asking:
    """Spreads one node's calls so that those of all nodes together fit into what discovery can answer.

    Guards against a herd: what a fleet asks at once fills the queue, every call there then waits until it
    fails, and calls made again after a moment keep it full. A fleet whose calls all fit into the time that a
    call may wait asks at once.
    """

    def __init__(self, balancers: int, ask_within: float, rng: random.Random, pushed: bool = False) -> None:
        self._rng = rng
        # Where lists are pushed, the agent is this machine's alone: there is no queue to spread calls over.
        balancers = 1 if pushed else balancers
        most = _WITHIN * ask_within
        self.spread = max(0.0, min(most, _A_CALL * balancers - _PATIENCE))
        self._first, self._most = max(_BACKOFF[0], self.spread / 4.0), max(_BACKOFF[1], self.spread)

    def at_start(self) -> float:
        """How long a node that has a list, if an old one, waits before its first call."""
        return self._rng.uniform(0.0, self.spread)

    def after(self, failures: int) -> float:
        """How long to wait after so many failures in a row, from 1."""
        return min(self._most, self._first * 2.0 ** min(failures - 1, 16)) * self._rng.uniform(0.5, 1.0)

    def after_silence(self) -> float:
        """How long to wait before the call that opens a watch anew, where it has fallen silent."""
        return self._rng.uniform(0.0, min(_SILENT, self.spread))
