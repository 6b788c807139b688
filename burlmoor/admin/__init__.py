"""The admin server for operators, and administrative overrides."""
