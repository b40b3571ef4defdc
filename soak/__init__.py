"""Randomized soak test: runs the real programs, injects faults, checks invariants.

``python -m soak --seeds 5`` runs five seeds; see docs/SOAK.md.
"""
