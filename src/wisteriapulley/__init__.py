"""Spread model weights in bursts to a fleet of serving instances."""

from wisteriapulley.errors import ResultCode, WisteriapulleyError

__all__ = ["ResultCode", "WisteriapulleyError", "__version__"]

__version__ = "0.1.0"
