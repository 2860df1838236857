"""HTTP server for the metrics, liveness, readiness and state of a node."""

import json
from collections.abc import Mapping
from typing import Protocol

from aiohttp import web

from mustardshunt.base import VmAddress
from mustardshunt.observability import NodeMetrics


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
        self._runner: web.AppRunner | None = None

    async def start(self, address: VmAddress) -> None:
        """Start to answer requests of the monitoring system at an address."""
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
        """Close the listener and all open connections."""
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
