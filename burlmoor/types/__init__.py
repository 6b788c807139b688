"""Plain types that every layer shares: settings, endpoint entries, outcomes, events and actions."""
