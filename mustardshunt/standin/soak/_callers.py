"""Callers of a soak test.

Each caller sends its requests over one connection, and opens a new connection
only after the earlier one was closed.
"""

import asyncio
import itertools
import random
from collections.abc import Mapping
from typing import Final

import aiohttp

from mustardshunt.standin.soak._fleet import KEY_PREFIX, ORGANISATIONS, SoakNode
from mustardshunt.standin.soak._invariants import (
    History,
    ReceivedReply,
    SentRequest,
)

DEADLINE_MS: Final = 1500
_TIMEOUT_SECONDS: Final = 3.0
_ORDER_FRACTION: Final = 0.5
_MAX_PAUSE_SECONDS: Final = 0.03
_FAILURE_PAUSE_SECONDS: Final = 0.1
_MAX_BODY_BYTES: Final = 20000


class Caller:
    """Sends requests to one node, one after the other.

    Parameters
    ----------
    node : SoakNode
        Node that receives the requests.
    history : History
        Records the requests and their replies.
    source : random.Random
        Source of the random content and pauses of requests.
    numbers : iterator of int
        Numbers of which the request ids are made; shared by all callers.
    """

    def __init__(
        self,
        node: SoakNode,
        history: History,
        source: random.Random,
        numbers: 'itertools.count[int]',
    ) -> None:
        self._node = node.addresses.name
        self._url = f'http://{node.addresses.address("callers")}'
        self._history = history
        self._random = source
        self._numbers = numbers
        self.served = 0

    async def run(self) -> None:
        """Send requests until the task is cancelled."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send_request(session)
                await asyncio.sleep(_MAX_PAUSE_SECONDS * self._random.random())

    async def _send_request(self, session: aiohttp.ClientSession) -> None:
        is_order = self._random.random() < _ORDER_FRACTION
        sent = SentRequest(
            f'q{next(self._numbers)}',
            self._random.choice(ORGANISATIONS),
            not is_order,
            self._random.randbytes(self._random.randrange(_MAX_BODY_BYTES)),
            self._node,
            asyncio.get_running_loop().time(),
        )
        self._history.request_by_id[sent.request_id] = sent
        path = '/order/x' if is_order else '/read/x'
        try:
            async with session.post(
                f'{self._url}{path}',
                data=sent.body,
                headers={
                    'Host': 'h.example',
                    'Mustardshunt-Request-Id': sent.request_id,
                    'Mustardshunt-Deadline-Ms': str(DEADLINE_MS),
                    'Authorization': (
                        f'Bearer {KEY_PREFIX}-{sent.organisation}'
                    ),
                },
            ) as response:
                reply = ReceivedReply(
                    response.status,
                    response.headers.get('Mustardshunt-Request-Id', ''),
                    'Mustardshunt-Response-Stamp' in response.headers,
                    await response.read(),
                )
                self._record_announcements(response.headers)
        except (aiohttp.ClientError, TimeoutError):
            reply = ReceivedReply(0, '', is_stamped=False, body=b'')
            # If the node is down, the kernel refuses connections at once.
            # Without this pause, the caller would retry in a busy loop.
            await asyncio.sleep(_FAILURE_PAUSE_SECONDS)
        self._history.reply_by_id[sent.request_id] = reply
        self.served += reply.status == 200

    def _record_announcements(self, headers: Mapping[str, str]) -> None:
        now = asyncio.get_running_loop().time()
        key = (headers.get('Mustardshunt-Response-Stamp', ''), self._node)
        if 'Server-Leaving' in headers:
            self._history.leaving_told_at.setdefault(key, now)
        if 'Server-Limit' in headers:
            self._history.limit_told_at.setdefault(key, now)
