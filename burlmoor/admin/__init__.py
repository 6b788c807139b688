"""The admin server for operators, and the administrative overrides that they set."""
