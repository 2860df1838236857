"""Small HTTP services of a sidecar: readiness, heartbeats, metrics."""

from collections.abc import Callable
from typing import Final, Protocol

from mustardshunt.relay import HttpRequest, HttpResponse
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._lifecycle import SidecarLifecycle
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.upstream import Heartbeat

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_TEXT: Final = b'Content-Type: text/plain; version=0.0.4\r\n'


class ReadyHandler:
    """Tells whether callers may be sent to this node.

    Parameters
    ----------
    lifecycle : SidecarLifecycle
        State of the node.
    """

    def __init__(self, lifecycle: SidecarLifecycle) -> None:
        self._lifecycle = lifecycle

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer 200 when the node is ready, otherwise 503."""
        status = _OK if self._lifecycle.is_ready else _UNAVAILABLE
        return HttpResponse(status, b'', self._lifecycle.state.encode())


class MetricsHandler:
    """Shows the metrics.

    Parameters
    ----------
    metrics : SidecarMetrics
        Metrics of the node.
    refresh : callable
        Brings the gauges up to date.
    """

    def __init__(
        self,
        metrics: SidecarMetrics,
        refresh: Callable[[], None],
    ) -> None:
        self._metrics = metrics
        self._refresh = refresh

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with the metrics as text."""
        if request.target.partition('?')[0] != '/metrics':
            return HttpResponse(_NOT_FOUND, b'', b'')
        self._refresh()
        return HttpResponse(_OK, _TEXT, self._metrics.render())


class HeartbeatCodec(Protocol):
    """Reads the calls that a backend server makes to its node."""

    def read_heartbeat(self, request: HttpRequest) -> Heartbeat | None:
        """Return a heartbeat, None if the request is none."""
        ...

    def read_departure(self, request: HttpRequest) -> str | None:
        """Return the run that leaves, None if the request says no such."""
        ...

    def acknowledge(self) -> HttpResponse:
        """Return the confirmation of a call."""
        ...

    def reject(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a call that cannot be read."""
        ...


class HeartbeatHandler:
    """Takes what the backend server says of itself.

    Parameters
    ----------
    calls : HeartbeatCodec
        Reads the calls.
    callee : Callee
        Takes what they say.
    """

    def __init__(self, calls: HeartbeatCodec, callee: Callee) -> None:
        self._calls = calls
        self._callee = callee

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Confirm what was understood; late heartbeats are confirmed too."""
        report = self._calls.read_heartbeat(request)
        if report is not None:
            self._callee.handle_heartbeat(report)
            return self._calls.acknowledge()
        instance = self._calls.read_departure(request)
        if instance is not None:
            self._callee.leave(instance)
            return self._calls.acknowledge()
        return self._calls.reject(request)
