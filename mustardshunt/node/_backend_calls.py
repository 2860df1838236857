"""Calls that were admitted to this node's backend server."""

from collections.abc import Iterator

from mustardshunt.base import CallId, Clock, VmAddress
from mustardshunt.calls import CallTable
from mustardshunt.node._crash_monitor import CrashMonitor
from mustardshunt.node._served_call import ServedCall
from mustardshunt.quarantine import Fingerprint, QuarantineDecision
from mustardshunt.transport import BackendConnectionPool, BackendFailure


class BackendCalls:
    """Submits, holds, finds and cancels the calls of the backend server.

    Only one request that is suspected of crashing backend servers runs at a
    time, so that a crash can be attributed to this request. Calls of other
    suspected requests are held meanwhile.

    Parameters
    ----------
    call_table : CallTable
        Calls that run at the backend server, by reference.
    crash_monitor : CrashMonitor
        Detects requests that crash backend servers.
    clock : Clock
        Source of the time.
    max_body_bytes : int
        Largest accepted body of an answer, in bytes.
    """

    def __init__(
        self,
        call_table: CallTable,
        crash_monitor: CrashMonitor,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        self._call_table = call_table
        self._crash_monitor = crash_monitor
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._connections: BackendConnectionPool | None = None
        self._started_by_id: dict[CallId, ServedCall] = {}
        # Calls of suspected requests that wait until no other suspected
        # request runs.
        self._held_by_id: dict[CallId, ServedCall] = {}

    def __len__(self) -> int:
        return len(self._started_by_id)

    def find(self, call_id: CallId) -> ServedCall | None:
        """Return the started call with a call id, None when there is none."""
        return self._started_by_id.get(call_id)

    def remove(self, call_id: CallId) -> None:
        """Remove a call that has ended from the started and held calls."""
        self._started_by_id.pop(call_id, None)
        self._held_by_id.pop(call_id, None)

    def replace_connections(self, address: VmAddress) -> None:
        """Close all connections; connect to a new address from now on."""
        self.close()
        self._connections = BackendConnectionPool(
            address,
            self._max_body_bytes,
            self._clock,
        )

    def close(self) -> None:
        """Close all connections, so that the calls on them fail."""
        if self._connections is not None:
            self._connections.close()

    def cancel(self, call_id: CallId) -> None:
        """Cancel an idempotent call whose sender no longer waits.

        A non-idempotent call runs to its end.
        """
        call = self._started_by_id.get(call_id)
        if call is None or not call.context.idempotent:
            return
        if call_id in self._held_by_id:
            call.finish(BackendFailure(has_begun=False, kind='cancelled'))
            return
        if self._connections is not None:
            call.is_cancelled = True
            self._connections.cancel(call)

    def start(self, call: ServedCall, now: float) -> None:
        """Register an admitted call and submit it to the backend server."""
        self._call_table.open(call.context, call.reference, now)
        self._started_by_id[call.context.call_id] = call
        self._submit(call, now)

    def _submit(self, call: ServedCall, now: float) -> None:
        if self._connections is None:
            call.finish(BackendFailure(has_begun=False, kind='refused'))
            return
        if now >= call.deadline:
            call.finish(BackendFailure(has_begun=False, kind='timeout'))
            return
        running = self._list_running()
        match self._crash_monitor.check(call.fingerprint, running):
            case QuarantineDecision.RUN:
                self._connections.submit(call)
            case QuarantineDecision.WAIT:
                self._held_by_id[call.context.call_id] = call
            case QuarantineDecision.QUARANTINED:
                failure = BackendFailure(has_begun=False, kind='quarantined')
                call.finish(failure)

    def release_held(self, now: float) -> None:
        """Submit the held calls again; calls that must still wait stay held."""
        if not self._held_by_id:
            return
        held = list(self._held_by_id.values())
        self._held_by_id.clear()
        for call in held:
            self._submit(call, now)

    def _list_running(self) -> Iterator[Fingerprint]:
        for call_id, call in self._started_by_id.items():
            if call_id not in self._held_by_id:
                yield call.fingerprint
