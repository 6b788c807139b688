"""Discovery's endpoint list as this node has it: entries, addresses, administrative overrides."""
