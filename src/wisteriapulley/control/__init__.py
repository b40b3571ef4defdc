"""Control instances: the replicated state and those who watch it."""
