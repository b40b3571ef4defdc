"""Scheduling and admission policies: pure, without a clock or I/O of their own."""

from wisteriapulley.policy.admission import Admission
from wisteriapulley.policy.placement import LeastOutstanding
from wisteriapulley.policy.retry import RetryBudget
from wisteriapulley.policy.scheduler import Scheduler
from wisteriapulley.policy.work import TargetView, Work

__all__ = [
    "Admission",
    "LeastOutstanding",
    "RetryBudget",
    "Scheduler",
    "TargetView",
    "Work",
]
