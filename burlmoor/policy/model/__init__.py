"""What the policy knows of a job, of an attempt and of an endpoint."""
