"""The operator-owned options file: sections that switch subsystems on, checked as a whole."""

from burlmoor.config.options.parser import InvalidOptionsError, read_options
from burlmoor.config.options.sections import DeferredOptions, Options

__all__ = ["DeferredOptions", "InvalidOptionsError", "Options", "read_options"]
