"""Policy of a deployment: routes, services, organisations and limits."""

from mustardshunt.policy._evacuations import (
    EVACUATION_HOLD_SECONDS,
    Evacuations,
)
from mustardshunt.policy._model import (
    OrganisationPolicy,
    Policy,
    RequestLimits,
    RoutePolicy,
    ServicePolicy,
    WeightedService,
)
from mustardshunt.policy._registry import ActivePolicy, PolicyRegistry
from mustardshunt.policy._routes import PriorityRanking, RouteTable

__all__ = [
    'EVACUATION_HOLD_SECONDS',
    'ActivePolicy',
    'Evacuations',
    'OrganisationPolicy',
    'Policy',
    'PolicyRegistry',
    'PriorityRanking',
    'RequestLimits',
    'RoutePolicy',
    'RouteTable',
    'ServicePolicy',
    'WeightedService',
]
