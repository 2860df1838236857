"""Admitted calls at the own backend server."""

from collections.abc import Iterator

from mustardshunt.base import CallId, Clock, VmAddress
from mustardshunt.calls import CallTable
from mustardshunt.node._crash_monitor import CrashMonitor
from mustardshunt.node._served_call import ServedCall
from mustardshunt.quarantine import Fingerprint, QuarantineDecision
from mustardshunt.transport import BackendConnectionPool, BackendFailure


class BackendCalls:
    """Calls that the gate has started, until the backend server is done.

    Parameters
    ----------
    call_table : CallTable
        Calls in flight by reference.
    suspects : CrashMonitor
        Requests that have crashed backend servers.
    clock : Clock
        Source of the time.
    max_body_bytes : int
        Largest answer that is accepted.
    """

    def __init__(
        self,
        call_table: CallTable,
        suspects: CrashMonitor,
        clock: Clock,
        max_body_bytes: int,
    ) -> None:
        self._call_table = call_table
        self._suspects = suspects
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._connections: BackendConnectionPool | None = None
        self._started_by_id: dict[CallId, ServedCall] = {}
        # Suspects that wait until no other suspect runs.
        self._held_by_id: dict[CallId, ServedCall] = {}

    def __len__(self) -> int:
        return len(self._started_by_id)

    def find(self, call_id: CallId) -> ServedCall | None:
        """Return a started call, None when there is none."""
        return self._started_by_id.get(call_id)

    def remove(self, call_id: CallId) -> None:
        """Forget a call that has ended."""
        self._started_by_id.pop(call_id, None)
        self._held_by_id.pop(call_id, None)

    def replace_connections(self, address: VmAddress) -> None:
        """Connect to another address from now on."""
        self.close()
        self._connections = BackendConnectionPool(
            address,
            self._max_body_bytes,
            self._clock,
        )

    def close(self) -> None:
        """Close all connections; calls on them fail."""
        if self._connections is not None:
            self._connections.close()

    def cancel(self, call_id: CallId) -> None:
        """Give up an idempotent call for which nobody waits any more."""
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
        """Send an admitted call to the backend server."""
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
        match self._suspects.check(call.fingerprint, running):
            case QuarantineDecision.RUN:
                self._connections.submit(call)
            case QuarantineDecision.WAIT:
                self._held_by_id[call.context.call_id] = call
            case QuarantineDecision.QUARANTINED:
                failure = BackendFailure(has_begun=False, kind='quarantined')
                call.finish(failure)

    def release_held(self, now: float) -> None:
        """Start suspects that waited for others, if they may run now."""
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
