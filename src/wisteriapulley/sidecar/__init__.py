"""Sidecar of a target: downloads weights, orders loads, gates requests."""
