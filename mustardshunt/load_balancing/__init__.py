"""Choice of the service and backend server for a call; limits on retries."""

from mustardshunt.load_balancing._balancer import LoadBalancer
from mustardshunt.load_balancing._cost_rule import (
    CostRule,
    PlacedCall,
    UtilisationRule,
)
from mustardshunt.load_balancing._known_limits import KnownLimits
from mustardshunt.load_balancing._link_plan import SUBSET_SIZE, LinkPlan
from mustardshunt.load_balancing._members import Member, MemberLoad
from mustardshunt.load_balancing._pace_rule import PaceRule
from mustardshunt.load_balancing._retry_ledger import (
    RetryLedger,
    RetryLimit,
)
from mustardshunt.load_balancing._retry_throttle import (
    RetryKind,
    RetryThrottle,
)
from mustardshunt.load_balancing._round_robin import WeightedRoundRobin

__all__ = [
    'SUBSET_SIZE',
    'CostRule',
    'KnownLimits',
    'LinkPlan',
    'LoadBalancer',
    'Member',
    'MemberLoad',
    'PaceRule',
    'PlacedCall',
    'RetryKind',
    'RetryLedger',
    'RetryLimit',
    'RetryThrottle',
    'UtilisationRule',
    'WeightedRoundRobin',
]
