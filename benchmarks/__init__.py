"""Benchmarks, one module per question. docs/capacity.md has the results."""
