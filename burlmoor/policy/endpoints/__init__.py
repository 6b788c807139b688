"""The endpoints as the policy sees them: live, in slow start or ejected, and preferred for a key's jobs."""
