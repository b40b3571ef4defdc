"""Fakes of what is outside the system: engines, targets, origin, store, callers."""
