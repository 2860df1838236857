"""Policy of a deployment: routes, services, organisations and limits."""

from mustardshunt.policy._model import (
    OrganisationPolicy,
    Policy,
    RequestLimits,
    RoutePart,
    RoutePolicy,
    ServicePolicy,
)
from mustardshunt.policy._registry import PolicyInForce, PolicyRegistry
from mustardshunt.policy._routes import RankScale, RouteTable

__all__ = [
    'OrganisationPolicy',
    'Policy',
    'PolicyInForce',
    'PolicyRegistry',
    'RankScale',
    'RequestLimits',
    'RoutePart',
    'RoutePolicy',
    'RouteTable',
    'ServicePolicy',
]
