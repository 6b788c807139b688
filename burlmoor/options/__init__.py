"""The operator-owned options file: sections that switch subsystems on, checked as a whole."""

from burlmoor.options.reading import BadOptions, read
from burlmoor.options.sections import Options, Waiting

__all__ = ["BadOptions", "Options", "Waiting", "read"]
