"""Decisions under load: pure, without a clock or I/O of their own."""

from wisteriapulley.policy.admission import Admission, Ticket
from wisteriapulley.policy.placement import Placement, TargetView
from wisteriapulley.policy.retry import RetryBudget

__all__ = ["Admission", "Placement", "RetryBudget", "TargetView", "Ticket"]
