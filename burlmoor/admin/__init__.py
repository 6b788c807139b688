"""The operators' HTTP server and what operators override."""
