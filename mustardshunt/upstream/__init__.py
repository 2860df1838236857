"""Admission control for the backend server beside a node.

The node admits, queues or refuses each call to its backend server, and
publishes which priority ranks the backend server accepts under overload.
"""

from mustardshunt.upstream._chain_cutoff import (
    ChainCutoff,
    ChainCutoffChange,
)
from mustardshunt.upstream._events import (
    AdmissionDecision,
    AdmissionRequest,
    BackendServerStatus,
    DequeuedCalls,
    Heartbeat,
    RefusedCall,
    ServerPhase,
    ServerRun,
)
from mustardshunt.upstream._gate import BackendGate
from mustardshunt.upstream._gate_factory import make_backend_gate
from mustardshunt.upstream._leaving_runs import LeavingRuns
from mustardshunt.upstream._liveness import LivenessTracker
from mustardshunt.upstream._pace import PaceMeter, RouteMean
from mustardshunt.upstream._room_forecast import RoomForecast

__all__ = [
    'AdmissionDecision',
    'AdmissionRequest',
    'BackendGate',
    'BackendServerStatus',
    'ChainCutoff',
    'ChainCutoffChange',
    'DequeuedCalls',
    'Heartbeat',
    'LeavingRuns',
    'LivenessTracker',
    'PaceMeter',
    'RefusedCall',
    'RoomForecast',
    'RouteMean',
    'ServerPhase',
    'ServerRun',
    'make_backend_gate',
]
