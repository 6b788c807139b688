"""The base class of all errors that burlmoor raises itself."""

from __future__ import annotations


class BurlmoorError(Exception):
    """An error that burlmoor detects in its input, in a peer's behaviour or in its own state."""
