"""Heartbeats from a backend server to its node."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

import aiohttp

_PERIOD_SECONDS: Final = 1.0


class Announcer:
    """Posts the state of a backend server to its node every second.

    The number of posts that failed is counted in ``failures``.

    Parameters
    ----------
    client : aiohttp.ClientSession
        HTTP session for the heartbeats.
    node : str
        Address of the node's backend listener as host:port. If empty, no
        heartbeat is sent.
    """

    def __init__(self, client: aiohttp.ClientSession, node: str) -> None:
        self._client = client
        self._node = node
        self._send_requested = asyncio.Event()
        self.failures = 0

    def send_now(self) -> None:
        """Send the next heartbeat now and not at the end of the period."""
        self._send_requested.set()

    async def run(self, describe: Callable[[], dict[str, Any]]) -> None:
        """Send heartbeats until the task is cancelled.

        Parameters
        ----------
        describe : callable
            Returns the JSON body of a heartbeat.
        """
        while True:
            self._send_requested.clear()
            await self._send(describe())
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._send_requested.wait(), _PERIOD_SECONDS
                )

    async def _send(self, body: dict[str, Any]) -> None:
        if not self._node:
            return
        # The node may not have started yet. A failed heartbeat is only counted,
        # because the next heartbeat follows after the period.
        try:
            async with self._client.post(
                f'http://{self._node}/announce',
                json=body,
                timeout=aiohttp.ClientTimeout(total=_PERIOD_SECONDS),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError):
            self.failures += 1
