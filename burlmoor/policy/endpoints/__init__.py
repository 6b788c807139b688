"""The policy's view of the endpoints: which are live, in slow start or ejected, and which a key prefers."""
