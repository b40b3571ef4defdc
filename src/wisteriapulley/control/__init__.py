"""Control instances: the replicated state, its clients and its subscribers."""
