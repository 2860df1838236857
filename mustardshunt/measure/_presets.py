"""The deployments, scenarios and controls that are measured."""

from typing import Final

from mustardshunt.base import Importance
from mustardshunt.measure._model import (
    Control,
    Deployment,
    Kind,
    Scenario,
    ServiceSpec,
)

# three large organisations and five small ones
_WEIGHTS: Final = (0.25, 0.25, 0.25, 0.05, 0.05, 0.05, 0.05, 0.05)

DEPLOYMENTS: Final = (
    Deployment(
        name='vitrina',
        data_centres=3,
        deep='glass-stock',
        service_by_name={
            'catalogue': ServiceSpec(4, 250, 1600, 40, 0.02, 'glass-stock'),
            'order': ServiceSpec(3, 250, 1600, 60, 0.03, 'curing'),
            'curing': ServiceSpec(3, 250, 1600, 60, 0.05, 'glass-stock'),
            'glass-stock': ServiceSpec(3, 20, 240, 18, 0.08),
        },
        kinds=(
            Kind('order', Importance.CRITICAL, 0.12),
            Kind('catalogue', Importance.NORMAL, 0.58),
            Kind('catalogue', Importance.LOW, 0.3),
        ),
        weights=_WEIGHTS,
    ),
    Deployment(
        name='bundesstelle',
        data_centres=4,
        deep='warehouse-stock',
        service_by_name={
            'catalogue': ServiceSpec(4, 40, 330, 30, 0.02, 'warehouse-stock'),
            'booking': ServiceSpec(4, 40, 330, 30, 0.03, 'warehouse-stock'),
            'fee': ServiceSpec(4, 40, 330, 30, 0.04),
            'warehouse-stock': ServiceSpec(4, 12, 170, 10, 0.06),
        },
        kinds=(
            Kind('booking', Importance.CRITICAL, 0.12),
            Kind('fee', Importance.HIGH, 0.13),
            Kind('catalogue', Importance.NORMAL, 0.5),
            Kind('catalogue', Importance.LOW, 0.25),
        ),
        weights=_WEIGHTS,
    ),
)

SCENARIOS: Final = (
    Scenario('steady', 10.0),
    Scenario('surge', 10.0, surge=3.0),
    Scenario('slow-deep-service', 8.0, slow=4.0),
    Scenario('noisy-organisation', 8.0, noisy=8.0),
    Scenario('cold-backend-servers', 4.0, cold=2),
    Scenario('data-centre-leaves', 6.0, leaves=True),
    Scenario('retry-at-once', 4.0, slow=40.0, resend=True),
)

CONTROLS: Final = (
    Control('none', is_product=False, static=False, ramp=False),
    Control('static-fifo', is_product=False, ramp=False),
    Control('product'),
    Control('no-adaptive-limit', adaptive=False),
    Control('no-importance', importance=False),
    Control('no-fairness', fair=False),
    Control('no-level', level=False),
    Control('no-ramp', ramp=False),
)
