"""Sidecars of engines that entries send to: weight updates and slot admission."""
