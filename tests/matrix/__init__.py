"""Fault matrix: inject every fault at every step and check the fakes' records."""
