"""The endpoints as the policy sees them: live, warming up or ejected, and preferred by the jobs of a key."""
