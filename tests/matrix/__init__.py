"""Fault matrix: every fault at every step, judged by the fakes' own records."""
