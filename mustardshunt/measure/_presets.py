"""Presets: simulated deployments, scenarios and control variants."""

from typing import Final

from mustardshunt.base import Importance
from mustardshunt.measure._model import (
    ControlVariant,
    Deployment,
    RequestKind,
    Scenario,
    ServiceSpec,
)

# Three large organisations and five small ones.
_WEIGHTS: Final = (0.25, 0.25, 0.25, 0.05, 0.05, 0.05, 0.05, 0.05)

DEPLOYMENTS: Final = (
    Deployment(
        name='vitrina',
        data_centres=3,
        deepest_service='glass-stock',
        service_by_name={
            'catalogue': ServiceSpec(4, 250, 1600, 40, 0.02, 'glass-stock'),
            'order': ServiceSpec(3, 250, 1600, 60, 0.03, 'curing'),
            'curing': ServiceSpec(3, 250, 1600, 60, 0.05, 'glass-stock'),
            'glass-stock': ServiceSpec(3, 20, 240, 18, 0.08),
        },
        kinds=(
            RequestKind('order', Importance.CRITICAL, 0.12),
            RequestKind('catalogue', Importance.NORMAL, 0.58),
            RequestKind('catalogue', Importance.LOW, 0.3),
        ),
        organisation_weights=_WEIGHTS,
    ),
    Deployment(
        name='bundesstelle',
        data_centres=4,
        deepest_service='warehouse-stock',
        service_by_name={
            'catalogue': ServiceSpec(4, 40, 330, 30, 0.02, 'warehouse-stock'),
            'booking': ServiceSpec(4, 40, 330, 30, 0.03, 'warehouse-stock'),
            'fee': ServiceSpec(4, 40, 330, 30, 0.04),
            'warehouse-stock': ServiceSpec(4, 12, 170, 10, 0.06),
        },
        kinds=(
            RequestKind('booking', Importance.CRITICAL, 0.12),
            RequestKind('fee', Importance.HIGH, 0.13),
            RequestKind('catalogue', Importance.NORMAL, 0.5),
            RequestKind('catalogue', Importance.LOW, 0.25),
        ),
        organisation_weights=_WEIGHTS,
    ),
)

SCENARIOS: Final = (
    Scenario('steady', 10.0),
    Scenario('surge', 10.0, surge=3.0),
    Scenario('slow-deep-service', 8.0, slowdown=4.0),
    Scenario('noisy-organisation', 8.0, noisy_factor=8.0),
    Scenario('cold-backend-servers', 4.0, cold_servers=2),
    Scenario('data-centre-leaves', 6.0, data_centre_leaves=True),
    Scenario('retry-at-once', 4.0, slowdown=40.0, resends_failed=True),
)

CONTROLS: Final = (
    ControlVariant(
        'none', uses_admission_control=False, has_static_limit=False, ramp=False
    ),
    ControlVariant('static-fifo', uses_admission_control=False, ramp=False),
    ControlVariant('product'),
    ControlVariant('no-adaptive-limit', adaptive=False),
    ControlVariant('no-importance', importance=False),
    ControlVariant('no-fairness', fair=False),
    ControlVariant('no-level', shedding=False),
    ControlVariant('no-ramp', ramp=False),
)
