"""HTTP server for metrics, liveness and readiness."""

import json
from collections.abc import Mapping
from typing import Protocol

from aiohttp import web

from mustardshunt.base import VmAddress
from mustardshunt.observability._metrics import NodeMetrics


class NodeState(Protocol):
    """State of the node that the metrics server reads."""

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests of callers."""
        ...

    def refresh_metrics(self) -> None:
        """Set the gauges to the current values of the node."""
        ...

    def describe(self) -> Mapping[str, object]:
        """Return a summary of the state in values that JSON can encode."""
        ...


class MetricsServer:
    """Answers ``/metrics``, ``/live``, ``/ready`` and ``/state``.

    Parameters
    ----------
    metrics : NodeMetrics
        Metrics served at ``/metrics``.
    state : NodeState
        State served at ``/ready`` and ``/state``.
    """

    def __init__(self, metrics: NodeMetrics, state: NodeState) -> None:
        self._metrics = metrics
        self._state = state
        self._runner: web.AppRunner | None = None

    async def start(self, address: VmAddress) -> None:
        """Listen at an address, which the monitoring system scrapes."""
        application = web.Application()
        application.add_routes([
            web.get('/metrics', self._show_metrics),
            web.get('/live', self._show_live),
            web.get('/ready', self._show_ready),
            web.get('/state', self._show_state),
        ])
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def stop(self) -> None:
        """Close the listener and its connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _show_metrics(self, _: web.Request) -> web.Response:
        self._state.refresh_metrics()
        return web.Response(
            body=self._metrics.render(),
            headers={'Content-Type': 'text/plain; version=0.0.4'},
        )

    async def _show_live(self, _: web.Request) -> web.Response:
        return web.Response(text='live\n')

    async def _show_ready(self, _: web.Request) -> web.Response:
        if self._state.is_ready:
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _show_state(self, _: web.Request) -> web.Response:
        return web.Response(
            text=json.dumps(self._state.describe(), sort_keys=True),
            content_type='application/json',
        )
