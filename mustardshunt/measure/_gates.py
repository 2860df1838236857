"""Makes the admission gate of each simulated backend server."""

import math

from mustardshunt.admission import (
    ColdRamp,
    ConcurrencyLimit,
    FairQueue,
    FifoQueue,
    Gate,
    NoRamp,
    RampRule,
    StaticLimit,
    make_gradient_limit,
)
from mustardshunt.measure._model import ControlVariant, ServiceSpec


def make_simulated_gate(control: ControlVariant, spec: ServiceSpec) -> Gate:
    """Make the gate of one backend server.

    Parameters
    ----------
    control : ControlVariant
        Mechanisms that are switched on.
    spec : ServiceSpec
        Slots and connections of the backend server.
    """
    ramp: RampRule = ColdRamp() if control.ramp else NoRamp()
    if not control.uses_admission_control:
        limit = float(spec.slots) if control.has_static_limit else math.inf
        queue = FifoQueue(spec.connections - spec.slots)
        return Gate(StaticLimit(limit), queue, ramp)
    concurrency_limit: ConcurrencyLimit = StaticLimit(spec.slots)
    if control.adaptive:
        concurrency_limit = make_gradient_limit(spec.slots, spec.connections)
    return Gate(concurrency_limit, FairQueue(), ramp)
