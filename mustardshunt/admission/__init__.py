"""Admission control in front of one backend server.

A ``Gate`` starts, queues or refuses each call. The gate adjusts its concurrency
limit to the times of answered calls. It queues calls by importance, and fairly
between organisations. After a cold start, it caps the calls in flight at the
backend server.
"""

from mustardshunt.admission._events import (
    BackendServerState,
    CallAnswered,
    CallArrived,
    CallCancelled,
    CallFailed,
    CallFailureKind,
    GateAction,
    GateEvent,
    GateSnapshot,
    HeartbeatReceived,
    RefuseCall,
    StartCall,
    Tick,
)
from mustardshunt.admission._gate import Gate, make_gate
from mustardshunt.admission._limit import (
    ConcurrencyLimit,
    GradientLimit,
    StaticLimit,
    make_gradient_limit,
)
from mustardshunt.admission._queue import (
    FairQueue,
    FifoQueue,
    QueueDiscipline,
)
from mustardshunt.admission._ramp import ColdRamp, NoRamp, RampRule
from mustardshunt.admission._settings import GateSettings

__all__ = [
    'BackendServerState',
    'CallAnswered',
    'CallArrived',
    'CallCancelled',
    'CallFailed',
    'CallFailureKind',
    'ColdRamp',
    'ConcurrencyLimit',
    'FairQueue',
    'FifoQueue',
    'Gate',
    'GateAction',
    'GateEvent',
    'GateSettings',
    'GateSnapshot',
    'GradientLimit',
    'HeartbeatReceived',
    'NoRamp',
    'QueueDiscipline',
    'RampRule',
    'RefuseCall',
    'StartCall',
    'StaticLimit',
    'Tick',
    'make_gate',
    'make_gradient_limit',
]
