"""What is measured, a file a question; results stand in docs/measurements.md."""
