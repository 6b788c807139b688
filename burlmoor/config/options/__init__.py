"""The operators' options file, whose sections switch subsystems on."""

from burlmoor.config.options.parser import InvalidOptionsError, read_options
from burlmoor.config.options.sections import DeferredOptions, Options

__all__ = ["DeferredOptions", "InvalidOptionsError", "Options", "read_options"]
