"""Entries that send requests directly to targets over HTTP."""
