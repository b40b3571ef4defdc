"""Benches: ratios within one run, on real processes or the pure modules."""
