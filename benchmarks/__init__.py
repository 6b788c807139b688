"""What is measured, a file a question; results stand in docs/capacity.md."""
