"""Closed-loop callers for process tests.

The replies are compared with the runs at the backend servers.
"""

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

# Reason of a reply if no connection could be opened. No request was sent in
# this case.
NOT_CONNECTED: Final = 'ClientConnectorError'
_PAUSE_SECONDS: Final = 0.02
# A backend server counts as idle if it runs no call while callers receive this
# many answers. A backend server that still received calls would run about half
# of them, because two backend servers share the load of a service.
_IDLE_ANSWER_COUNT: Final = 80
_order_numbers = itertools.count()


class ClosedLoopLoad:
    """Callers that each wait for a reply before the next request.

    A caller changes to its next node when a reply says ``Connection: close`` or
    when no connection can be opened. An order that did not run, according to
    its reply, is sent again.
    """

    def __init__(self, shared_fleet: SharedFleet, name: str) -> None:
        self._shared_fleet = shared_fleet
        self._name = name
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopped = False
        self.replies: list[Reply] = []
        self.replies_by_digest: dict[str, list[Reply]] = {}

    async def __aenter__(self) -> Self:
        self._session = ClientSession(connector=TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()
        await self._session.close()

    @property
    def answer_count(self) -> int:
        """Number of replies with status 200."""
        return sum(reply.status == 200 for reply in self.replies)

    @property
    def failures(self) -> list[Reply]:
        """Replies that do not tell the caller whether the call ran."""
        return [
            reply
            for reply in self.replies
            if reply.status != 200
            and reply.effect != 'not-run'
            and reply.reason != NOT_CONNECTED
        ]

    def start_reads(self, count: int, *vms: LocalVm) -> None:
        """Start callers that read through the nodes of the VMs."""
        urls = [vm.caller_url for vm in vms]
        for _ in range(count):
            self._tasks.append(asyncio.create_task(self._read(urls)))

    def start_orders(self, count: int, *vms: LocalVm) -> None:
        """Start callers that send orders through the nodes of the VMs."""
        urls = [vm.caller_url for vm in vms]
        for _ in range(count):
            self._tasks.append(asyncio.create_task(self._order(urls)))

    async def stop(self) -> None:
        """Stop the callers after the replies to their current requests."""
        self._is_stopped = True
        await asyncio.gather(*self._tasks)

    async def wait_for_answers(self, count: int) -> None:
        """Wait until ``count`` more requests got status 200."""
        target_count = self.answer_count + count
        await wait_until(
            lambda: self.answer_count >= target_count,
            f'{target_count} requests are answered',
        )

    async def wait_until_idle(self, *vms: LocalVm) -> None:
        """Wait until the backend servers of the VMs run no new calls.

        Callers must get answers from the other VMs meanwhile.
        """
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                before = [await self._shared_fleet.run_count(vm) for vm in vms]
                await self.wait_for_answers(_IDLE_ANSWER_COUNT)
                if before == [
                    await self._shared_fleet.run_count(vm) for vm in vms
                ]:
                    return

    def check_orders(self, run_count_by_digest: Mapping[str, int]) -> None:
        """Check that the replies to each order agree with how often it ran.

        An order must run at most once. An answered order must have run once. An
        order whose replies all say that it did not run must not have run.
        """
        count_by_outcome: Counter[str] = Counter()
        for order_digest, replies in self.replies_by_digest.items():
            assert run_count_by_digest.get(order_digest, 0) <= 1, (
                order_digest,
                replies,
            )
            if any(reply.status == 200 for reply in replies):
                count_by_outcome['answered'] += 1
                assert run_count_by_digest.get(order_digest, 0) == 1, (
                    order_digest,
                    replies,
                )
            elif all(
                reply.effect == 'not-run' or reply.reason == NOT_CONNECTED
                for reply in replies
            ):
                count_by_outcome['not-run'] += 1
                assert run_count_by_digest.get(order_digest, 0) == 0, (
                    order_digest,
                    replies,
                )
        assert count_by_outcome['answered'], count_by_outcome

    async def _read(self, urls: Sequence[str]) -> None:
        for url in itertools.cycle(urls):
            while not self._is_stopped:
                reply = await self._send(url, 'GET', '/catalogue/panels')
                if reply.closes or reply.reason == NOT_CONNECTED:
                    break
            if self._is_stopped:
                return

    async def _order(self, urls: Sequence[str]) -> None:
        url_cycle = itertools.cycle(urls)
        url = next(url_cycle)
        while not self._is_stopped:
            body = f'{self._name} {next(_order_numbers)}'.encode()
            replies = self.replies_by_digest.setdefault(digest(body), [])
            while True:
                reply = await self._send(url, 'POST', '/orders', body)
                replies.append(reply)
                if reply.closes or reply.reason == NOT_CONNECTED:
                    url = next(url_cycle)
                was_not_run = reply.effect == 'not-run'
                if not was_not_run and reply.reason != NOT_CONNECTED:
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
