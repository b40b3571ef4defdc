"""Desired state of the fleet: entries, their validation, and accepted changes."""

from wisteriapulley.catalogue.catalogue import Catalogue
from wisteriapulley.catalogue.changes import Change, ChangeResult, Delete, Put, diff
from wisteriapulley.catalogue.entry import Entry, Limits, load_folder, validate

__all__ = [
    "Catalogue",
    "Change",
    "ChangeResult",
    "Delete",
    "Entry",
    "Limits",
    "Put",
    "diff",
    "load_folder",
    "validate",
]
