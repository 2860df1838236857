"""Callers of a soak: they keep their connections until these are gone."""

import asyncio
import itertools
import random
from typing import Final

import aiohttp

from mustardshunt.standin.soak._fleet import KEY_PREFIX, ORGANISATIONS, SoakNode
from mustardshunt.standin.soak._invariants import (
    History,
    ReceivedReply,
    SentRequest,
)

DEADLINE_MS: Final = 1500
_GIVE_UP_SECONDS: Final = 3.0
_ORDER_SHARE: Final = 0.5
_PAUSE_SECONDS: Final = 0.03
_FAILURE_PAUSE_SECONDS: Final = 0.1
_LARGEST_BODY: Final = 20000


class Caller:
    """Sends one request after the other to one node.

    Parameters
    ----------
    node : SoakNode
        Node at which the requests enter.
    ledger : History
        Takes what was asked and replied.
    source : random.Random
        Draws the requests.
    numbers : iterator of int
        Numbers for the identities of requests.
    """

    def __init__(
        self,
        node: SoakNode,
        ledger: History,
        source: random.Random,
        numbers: 'itertools.count[int]',
    ) -> None:
        self._url = f'http://{node.addresses.address("callers")}'
        self._ledger = ledger
        self._random = source
        self._numbers = numbers
        self.served = 0

    async def run(self) -> None:
        """Ask until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_GIVE_UP_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._ask(session)
                await asyncio.sleep(_PAUSE_SECONDS * self._random.random())

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        is_order = self._random.random() < _ORDER_SHARE
        asked = SentRequest(
            f'q{next(self._numbers)}',
            self._random.choice(ORGANISATIONS),
            not is_order,
            self._random.randbytes(self._random.randrange(_LARGEST_BODY)),
        )
        self._ledger.request_by_id[asked.request_id] = asked
        path = '/order/x' if is_order else '/read/x'
        try:
            async with session.post(
                f'{self._url}{path}',
                data=asked.body,
                headers={
                    'Host': 'h.example',
                    'Mustardshunt-Request-Id': asked.request_id,
                    'Mustardshunt-Deadline-Ms': str(DEADLINE_MS),
                    'Authorization': (
                        f'Bearer {KEY_PREFIX}-{asked.organisation}'
                    ),
                },
            ) as response:
                reply = ReceivedReply(
                    response.status,
                    response.headers.get('Mustardshunt-Request-Id', ''),
                    'Mustardshunt-Response-Stamp' in response.headers,
                    await response.read(),
                )
        except (aiohttp.ClientError, TimeoutError):
            reply = ReceivedReply(0, '', is_stamped=False, body=b'')
            # The node may be down, and refused connections cost next to
            # nothing: without a pause they would take the processor.
            await asyncio.sleep(_FAILURE_PAUSE_SECONDS)
        self._ledger.reply_by_id[asked.request_id] = reply
        self.served += reply.status == 200
