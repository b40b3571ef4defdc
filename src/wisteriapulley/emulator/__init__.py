"""Emulated fleet of engines on a virtual clock, driven by the production policies."""

from wisteriapulley.emulator.fleet import (
    Fleet,
    Outage,
    Outcome,
    Pause,
    Scenario,
    Surge,
)
from wisteriapulley.emulator.mixes import MIXES, RequestKind, RequestMix

__all__ = [
    "MIXES",
    "Fleet",
    "RequestKind",
    "RequestMix",
    "Outage",
    "Outcome",
    "Pause",
    "Scenario",
    "Surge",
]
