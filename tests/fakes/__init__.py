"""Stand-ins for what lies outside the system: engine, origin, store, caller."""
