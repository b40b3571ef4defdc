"""Randomized soak: the real programs, faults from outside, promises checked meanwhile.

``python -m soak --seeds 5`` plays five seeds; see docs/SOAK.md.
"""
