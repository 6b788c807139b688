"""The base class of all errors that burlmoor raises itself."""

from __future__ import annotations


class BurlmoorError(Exception):
    """Something that burlmoor has found wrong: input, a peer, or its own state."""
