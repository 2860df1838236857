"""Which backend server runs a call, and whether it may be repeated."""

from mustardshunt.placement._balancer import Balancer
from mustardshunt.placement._members import Member, MemberLoad
from mustardshunt.placement._retries import (
    RetryAllowance,
    RetryBounds,
    RetryKind,
)
from mustardshunt.placement._split import RouteSplit

__all__ = [
    'Balancer',
    'Member',
    'MemberLoad',
    'RetryAllowance',
    'RetryBounds',
    'RetryKind',
    'RouteSplit',
]
