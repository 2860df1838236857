"""HTTP handlers of a sidecar for readiness, heartbeats and metrics."""

import json
from collections.abc import Callable
from typing import Final, Protocol

from mustardshunt.quarantine import Fingerprint, Verdict
from mustardshunt.relay import HttpRequest, HttpResponse
from mustardshunt.sidecar._backend_server_reports import BackendServerReports
from mustardshunt.sidecar._lifecycle import SidecarLifecycle
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.upstream import Heartbeat

_OK: Final = 200
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_JSON: Final = b'Content-Type: application/json\r\n'
_QUARANTINE_PATH: Final = '/quarantine'
_TEXT: Final = b'Content-Type: text/plain; version=0.0.4\r\n'


class ReadyHandler:
    """Answers the readiness checks of callers.

    Parameters
    ----------
    lifecycle : SidecarLifecycle
        Life cycle of the node.
    """

    def __init__(self, lifecycle: SidecarLifecycle) -> None:
        self._lifecycle = lifecycle

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer 200 when the node is ready, otherwise 503.

        The body is the name of the life cycle state.
        """
        status = _OK if self._lifecycle.is_ready else _UNAVAILABLE
        return HttpResponse(status, b'', self._lifecycle.state.encode())

    def is_repeatable(self, request: HttpRequest) -> bool:
        """Return False: checks are answered one after the other."""
        return False


class QuarantineControl(Protocol):
    """Shows and lifts quarantines of requests."""

    def verdicts(self) -> list[Verdict]:
        """Return the quarantined fingerprints with their evidence."""
        ...

    def seconds_left(self, fingerprint: Fingerprint) -> float:
        """Return for how long a request is still refused."""
        ...

    def lift(self, fingerprint: Fingerprint) -> bool:
        """End a quarantine at all nodes; tell if there was one."""
        ...


class MetricsHandler:
    """Serves ``/metrics`` in the Prometheus text format, and ``/quarantine``.

    ``GET /quarantine`` lists the quarantined requests as JSON. ``DELETE
    /quarantine/FINGERPRINT`` lifts one at all nodes.

    Parameters
    ----------
    metrics : SidecarMetrics
        Metrics of the node.
    refresh : callable
        Sets the gauges to their current values.
    quarantine : QuarantineControl
        Shows and lifts quarantines of requests.
    """

    def __init__(
        self,
        metrics: SidecarMetrics,
        refresh: Callable[[], None],
        quarantine: QuarantineControl,
    ) -> None:
        self._metrics = metrics
        self._refresh = refresh
        self._quarantine = quarantine

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer with the metrics as text, 404 on any other path."""
        path = request.target.partition('?')[0]
        if path == _QUARANTINE_PATH:
            return HttpResponse(_OK, _JSON, self._render_quarantine())
        if request.method == 'DELETE':
            return self._lift(path)
        if path != '/metrics':
            return HttpResponse(_NOT_FOUND, b'', b'')
        self._refresh()
        return HttpResponse(_OK, _TEXT, self._metrics.render())

    def is_repeatable(self, request: HttpRequest) -> bool:
        """Return False: readings are taken one after the other."""
        return False

    def _render_quarantine(self) -> bytes:
        return json.dumps([
            {
                'fingerprint': verdict.fingerprint,
                'level': verdict.level,
                'seconds_left': round(
                    self._quarantine.seconds_left(verdict.fingerprint), 1
                ),
                'crashes': list(verdict.crashes),
            }
            for verdict in self._quarantine.verdicts()
        ]).encode()

    def _lift(self, path: str) -> HttpResponse:
        fingerprint = Fingerprint(path.removeprefix(f'{_QUARANTINE_PATH}/'))
        if self._quarantine.seconds_left(fingerprint) <= 0:
            return HttpResponse(_NOT_FOUND, b'', b'not quarantined here')
        self._quarantine.lift(fingerprint)
        return HttpResponse(_OK, b'', b'lifted')


class HeartbeatCodec(Protocol):
    """Parses heartbeats and departures that a backend server sends."""

    def read_heartbeat(self, request: HttpRequest) -> Heartbeat | None:
        """Return a heartbeat, None if the request is not a heartbeat."""
        ...

    def read_departure(self, request: HttpRequest) -> str | None:
        """Return the departing instance, None for any other request."""
        ...

    def acknowledge(self) -> HttpResponse:
        """Return the response to a heartbeat or departure."""
        ...

    def reject(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request that cannot be parsed."""
        ...


class HeartbeatHandler:
    """Handles heartbeats and departures of the backend server.

    Parameters
    ----------
    codec : HeartbeatCodec
        Parses the requests.
    reports : BackendServerReports
        Handles the parsed heartbeats and departures.
    """

    def __init__(
        self, codec: HeartbeatCodec, reports: BackendServerReports
    ) -> None:
        self._codec = codec
        self._reports = reports

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle and acknowledge a heartbeat or a departure.

        Outdated heartbeats are acknowledged too.
        """
        heartbeat = self._codec.read_heartbeat(request)
        if heartbeat is not None:
            self._reports.handle_heartbeat(heartbeat)
            return self._codec.acknowledge()
        instance = self._codec.read_departure(request)
        if instance is not None:
            self._reports.deregister(instance)
            return self._codec.acknowledge()
        return self._codec.reject(request)

    def is_repeatable(self, request: HttpRequest) -> bool:
        """Return False: heartbeats are handled in the order of arrival."""
        return False
