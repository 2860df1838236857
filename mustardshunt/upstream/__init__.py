"""Admission control for the backend server beside a node.

The node admits, queues or refuses each call to its backend server, and
publishes which priority ranks the backend server accepts under overload.
"""

from mustardshunt.upstream._events import (
    AdmissionDecision,
    AdmissionRequest,
    BackendServerStatus,
    DequeuedCalls,
    Heartbeat,
    RefusedCall,
    ServerPhase,
)
from mustardshunt.upstream._gate import BackendGate, make_backend_gate

__all__ = [
    'AdmissionDecision',
    'AdmissionRequest',
    'BackendGate',
    'BackendServerStatus',
    'DequeuedCalls',
    'Heartbeat',
    'RefusedCall',
    'ServerPhase',
    'make_backend_gate',
]
