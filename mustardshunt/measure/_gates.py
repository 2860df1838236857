"""Gates for each control."""

import math

from mustardshunt.admission import (
    ColdRamp,
    FairQueue,
    FifoQueue,
    Gate,
    LimitRule,
    NoRamp,
    RampRule,
    StaticLimit,
    make_gradient_limit,
)
from mustardshunt.measure._model import Control, ServiceSpec


def make_measured_gate(control: Control, spec: ServiceSpec) -> Gate:
    """Make the gate of one backend server.

    Parameters
    ----------
    control : Control
        Mechanisms that are on.
    spec : ServiceSpec
        The backend server.
    """
    ramp: RampRule = ColdRamp() if control.ramp else NoRamp()
    if not control.is_product:
        limit = float(spec.slots) if control.static else math.inf
        queue = FifoQueue(spec.connections - spec.slots)
        return Gate(StaticLimit(limit), queue, ramp)
    rule: LimitRule = StaticLimit(spec.slots)
    if control.adaptive:
        rule = make_gradient_limit(spec.slots, spec.connections)
    return Gate(rule, FairQueue(), ramp)
