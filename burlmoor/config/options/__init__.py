"""The operators' options file; each section enables an optional subsystem."""

from burlmoor.config.options.parser import InvalidOptionsError, read_options
from burlmoor.config.options.sections import DeferredOptions, Options

__all__ = ["DeferredOptions", "InvalidOptionsError", "Options", "read_options"]
