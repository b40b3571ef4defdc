"""Specifications of the core protocols, checked by ``make check-spec``."""
