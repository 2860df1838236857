"""Makes the gate of a backend server from the settings of its node."""

from mustardshunt.upstream._gate import BackendGate
from mustardshunt.upstream._liveness import LivenessTracker
from mustardshunt.upstream._ordering import LeastServedFirst, RoundRobin
from mustardshunt.upstream._start_rules import StartAlways, TypicalRuns


def make_backend_gate(
    heartbeat_interval: float,
    connections: int | None = None,
    *,
    has_deadline_queue: bool = False,
) -> BackendGate:
    """Make a gate that refuses all calls until the first heartbeat.

    Parameters
    ----------
    heartbeat_interval : float
        Seconds between two heartbeats of the backend server.
    connections : int or None, default=None
        Connections to the backend server that the process may have open, None
        for no limit.
    has_deadline_queue : bool, default=False
        Whether calls that cannot end in time are refused, and the organisation
        that was served least goes first.

    Examples
    --------
    >>> from mustardshunt.upstream import (
    ...     AdmissionRequest,
    ...     Heartbeat,
    ...     ServerPhase,
    ... )
    >>> gate = make_backend_gate(1.5)
    >>> call = AdmissionRequest('k', 0, False, 'o', 9.0)
    >>> gate.admit(call, now=0.0).value
    'not-ready'
    >>> ready = Heartbeat('i', 1, 1, ServerPhase.READY, 2, 0.0)
    >>> gate.record_heartbeat(ready, now=0.0), gate.admit(call, now=0.0).value
    (True, 'started')
    """
    liveness = LivenessTracker(heartbeat_interval)
    if has_deadline_queue:
        return BackendGate(
            liveness, connections, LeastServedFirst(), TypicalRuns()
        )
    return BackendGate(liveness, connections, RoundRobin(), StartAlways())
