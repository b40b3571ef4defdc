"""A fleet of engines on a virtual clock, run by the product's own decisions."""

from wisteriapulley.emulator.fleet import Fleet, Outcome, Scenario
from wisteriapulley.emulator.mixes import MIXES, RequestKind, RequestMix

__all__ = ["MIXES", "Fleet", "RequestKind", "RequestMix", "Outcome", "Scenario"]
