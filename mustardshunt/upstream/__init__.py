"""Admission of calls to the one backend server beside a node."""

from mustardshunt.upstream._events import (
    Admission,
    GateChange,
    GateView,
    ServerPhase,
    ServerReport,
    Ticket,
    Turned,
)
from mustardshunt.upstream._gate import BackendGate, make_backend_gate

__all__ = [
    'Admission',
    'BackendGate',
    'GateChange',
    'GateView',
    'ServerPhase',
    'ServerReport',
    'Ticket',
    'Turned',
    'make_backend_gate',
]
