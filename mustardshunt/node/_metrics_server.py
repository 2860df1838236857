"""HTTP server for the metrics, liveness, readiness and state of a node."""

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol, TypeAlias

from aiohttp import web

from mustardshunt.base import VmAddress
from mustardshunt.observability import NodeMetrics
from mustardshunt.transport import HttpServer, make_metrics_guard

Handler: TypeAlias = Callable[[web.BaseRequest], Awaitable[web.Response]]


class NodeState(Protocol):
    """Provides the state of the node to the metrics server."""

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests of callers."""
        ...

    def refresh_metrics(self) -> None:
        """Set the gauges of the metrics to the node's current values."""
        ...

    def describe(self) -> Mapping[str, object]:
        """Return a summary of the node's state as JSON values."""
        ...


class MetricsServer:
    """Answers requests for ``/metrics``, ``/live``, ``/ready``, ``/state``.

    Parameters
    ----------
    metrics : NodeMetrics
        Metrics served at ``/metrics``.
    state : NodeState
        State of the node, served at ``/ready`` and ``/state``.
    """

    def __init__(self, metrics: NodeMetrics, state: NodeState) -> None:
        self._metrics = metrics
        self._state = state
        self._runner: web.ServerRunner | None = None
        self._handler_by_path: Mapping[str, Handler] = {
            '/metrics': self._show_metrics,
            '/live': self._show_live,
            '/ready': self._show_ready,
            '/state': self._show_state,
        }

    async def start(self, address: VmAddress) -> None:
        """Start to answer requests of the monitoring system at an address."""
        self._runner = web.ServerRunner(
            HttpServer(self._handle, make_metrics_guard(), access_log=None)
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Close the listener and all open connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        handler = self._handler_by_path.get(request.path)
        if handler is None:
            return web.Response(status=404, text='not found\n')
        if request.method not in {'GET', 'HEAD'}:
            return web.Response(
                status=405, text='not allowed\n', headers={'Allow': 'GET,HEAD'}
            )
        return await handler(request)

    async def _show_metrics(self, _: web.BaseRequest) -> web.Response:
        self._state.refresh_metrics()
        return web.Response(
            body=self._metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def _show_live(self, _: web.BaseRequest) -> web.Response:
        return web.Response(text='live\n')

    async def _show_ready(self, _: web.BaseRequest) -> web.Response:
        if self._state.is_ready:
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _show_state(self, _: web.BaseRequest) -> web.Response:
        return web.Response(
            text=json.dumps(self._state.describe(), sort_keys=True),
            content_type='application/json',
        )
