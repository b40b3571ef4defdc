"""Distribute model weights to serving instances and route requests to them."""

from wisteriapulley.errors import ResultCode, WisteriapulleyError

__all__ = ["ResultCode", "WisteriapulleyError", "__version__"]

__version__ = "0.1.0"
