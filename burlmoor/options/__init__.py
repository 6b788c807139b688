"""The operator-owned options file: sections that switch subsystems on, checked as a whole."""

from burlmoor.options.reading import InvalidOptionsError, read_options
from burlmoor.options.sections import DeferredOptions, Options

__all__ = ["DeferredOptions", "InvalidOptionsError", "Options", "read_options"]
