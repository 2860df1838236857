"""Callers that send one request after the other, and what they got."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Final, Self

from aiohttp import ClientSession, TCPConnector

from mustardshunt.standin._local_vm import LocalVm
from mustardshunt.standin.tests.shared_fleet import (
    KEY,
    WAIT_SECONDS,
    Reply,
    SharedFleet,
    digest,
    send,
    wait_until,
)

# The connection was never made, so the request was not sent.
NOT_CONNECTED: Final = 'ClientConnectorError'
_PAUSE_SECONDS: Final = 0.02
# Answers elsewhere without a new run before a backend server counts as idle;
# with two candidates of equal load half of them would be its own.
_IDLE_ANSWERS: Final = 80
_numbers = itertools.count()


class ClosedLoopLoad:
    """Callers that move on to the next node when one asks them to.

    A call that is refused as not run is sent again, as a caller would do.
    """

    def __init__(self, world: SharedFleet, seed_name: str) -> None:
        self._world = world
        self._name = seed_name
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopped = False
        self.replies: list[Reply] = []
        self.replies_by_order: dict[str, list[Reply]] = {}

    async def __aenter__(self) -> Self:
        self._session = ClientSession(connector=TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()
        await self._session.close()

    @property
    def answered(self) -> int:
        return sum(reply.status == 200 for reply in self.replies)

    @property
    def failures(self) -> list[Reply]:
        """Replies that are neither whole answers nor safe refusals."""
        return [
            reply
            for reply in self.replies
            if reply.status != 200
            and reply.effect != 'not-run'
            and reply.reason != NOT_CONNECTED
        ]

    def start_reads(self, count: int, *vms: LocalVm) -> None:
        urls = [vm.caller_url for vm in vms]
        for _ in range(count):
            self._tasks.append(asyncio.create_task(self._read(urls)))

    def start_orders(self, count: int, *vms: LocalVm) -> None:
        urls = [vm.caller_url for vm in vms]
        for _ in range(count):
            self._tasks.append(asyncio.create_task(self._order(urls)))

    async def stop(self) -> None:
        """Let each caller finish its request."""
        self._is_stopped = True
        await asyncio.gather(*self._tasks)

    async def wait_for_answers(self, count: int) -> None:
        """Wait until so many more requests were answered."""
        wanted = self.answered + count
        await wait_until(lambda: self.answered >= wanted, 'answers')

    async def wait_until_idle(self, *vms: LocalVm) -> None:
        """Wait until the VMs' backend servers get no new calls."""
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                before = [await self._world.runs(vm) for vm in vms]
                await self.wait_for_answers(_IDLE_ANSWERS)
                if before == [await self._world.runs(vm) for vm in vms]:
                    return

    def check_orders(self, runs: Mapping[str, int]) -> None:
        """Compare what callers were told with what ran."""
        kinds: Counter[str] = Counter()
        for order, replies in self.replies_by_order.items():
            assert runs.get(order, 0) <= 1, (order, replies)
            if any(reply.status == 200 for reply in replies):
                kinds['answered'] += 1
                assert runs.get(order, 0) == 1, (order, replies)
            elif all(
                reply.effect == 'not-run' or reply.reason == NOT_CONNECTED
                for reply in replies
            ):
                kinds['not-run'] += 1
                assert runs.get(order, 0) == 0, (order, replies)
        assert kinds['answered'], kinds

    async def _read(self, urls: Sequence[str]) -> None:
        for url in itertools.cycle(urls):
            while not self._is_stopped:
                reply = await self._send(url, 'GET', '/catalogue/panels')
                if reply.closes or reply.reason == NOT_CONNECTED:
                    break
            if self._is_stopped:
                return

    async def _order(self, urls: Sequence[str]) -> None:
        places = itertools.cycle(urls)
        url = next(places)
        while not self._is_stopped:
            body = f'{self._name} {next(_numbers)}'.encode()
            replies = self.replies_by_order.setdefault(digest(body), [])
            while True:
                reply = await self._send(url, 'POST', '/orders', body)
                replies.append(reply)
                if reply.closes or reply.reason == NOT_CONNECTED:
                    url = next(places)
                is_safe = reply.effect == 'not-run'
                if not is_safe and reply.reason != NOT_CONNECTED:
                    break
                if self._is_stopped:
                    return

    async def _send(
        self,
        url: str,
        method: str,
        target: str,
        body: bytes = b'',
    ) -> Reply:
        reply = await send(self._session, url, method, target, KEY, body)
        self.replies.append(reply)
        if reply.status != 200:
            await asyncio.sleep(_PAUSE_SECONDS)
        return reply
