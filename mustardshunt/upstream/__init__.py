"""Admission control for the backend server beside a node."""

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
