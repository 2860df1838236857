"""Measures processor time and memory of links within one process."""

import asyncio
import time
from typing import Final

from mustardshunt.base import Incarnation, MustardshuntError, VmAddress
from mustardshunt.measure.capacity._memory import MemoryTracer
from mustardshunt.node._clock import BootClock
from mustardshunt.node._frame_numbers import make_codec
from mustardshunt.rate import GrantReport, TokenRequest
from mustardshunt.standin._local_fleet import choose_ports
from mustardshunt.transport import Link, LinkParameters, LinkPool

_MESSAGE_COUNT: Final = 4000
# Messages sent before the receiver runs, like the messages of several calls
# that arrive at the same time.
_BATCH_SIZE: Final = 4
_LINK_COUNT: Final = 8
_TIMEOUT_SECONDS: Final = 20.0
_HOST: Final = '127.0.0.1'


class FrameCounter:
    """Counts received frames and lists the links that have opened."""

    def __init__(self) -> None:
        self.received = 0
        self.links: list[Link] = []
        self.changed = asyncio.Event()

    def handle_frame(self, link: Link, frame: object) -> None:
        """Count a received frame."""
        self.received += 1
        self.changed.set()

    def handle_open(self, link: Link) -> None:
        """Add a link that has opened to the list of links."""
        self.links.append(link)
        self.changed.set()

    def handle_close(self, link: Link) -> None:
        """Ignore a closed link, because the measurement has no use for it."""

    def handle_unreachable(self, address: VmAddress) -> None:
        """Ignore an unreachable address, because the pool dials again."""

    def handle_fault(self, fault: MustardshuntError) -> None:
        """Raise the fault of a link, so that the measurement fails."""
        raise fault

    async def wait_for(self, received: int, links: int) -> None:
        """Wait for at least ``received`` frames and ``links`` open links.

        Raises
        ------
        TimeoutError
            If this takes longer than 20 s.
        """
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while self.received < received or len(self.links) < links:
                self.changed.clear()
                await self.changed.wait()


async def measure_links() -> tuple[float, float]:
    """Open several links and send token requests over one of these links.

    Returns
    -------
    float
        Processor seconds of one message, sender and receiver together.
    float
        Bytes of memory of one link, both ends together.
    """
    ports = choose_ports(_LINK_COUNT + 1)
    accepted = FrameCounter()
    pools = [_make_pool(port) for port in ports]
    listener = pools[0]
    await listener.start(accepted)
    dialled = FrameCounter()
    for pool in pools[1:]:
        await pool.start(dialled)
    tracer = MemoryTracer()
    for pool in pools[1:]:
        pool.open(VmAddress(_HOST, ports[0]))
    await accepted.wait_for(0, _LINK_COUNT)
    await dialled.wait_for(0, _LINK_COUNT)
    retained_bytes = tracer.stop()
    seconds = await _time_messages(dialled.links[0], accepted)
    for pool in pools:
        await pool.stop()
    return seconds, retained_bytes / _LINK_COUNT


def _make_pool(port: int) -> LinkPool:
    parameters = LinkParameters(
        Incarnation(f'{port:016x}'),
        'region-0',
        VmAddress(_HOST, port),
        b'secret of this measurement',
    )
    return LinkPool(parameters, make_codec(), BootClock())


async def _time_messages(link: Link, receiver: FrameCounter) -> float:
    report = GrantReport(77, 1_000_000, 0)
    token_request = TokenRequest(
        link.incarnation, 1, 'organisation-12', 5, (report,)
    )
    started = time.process_time()
    for sent in range(0, _MESSAGE_COUNT, _BATCH_SIZE):
        for _ in range(_BATCH_SIZE):
            link.send(token_request)
        await receiver.wait_for(sent + _BATCH_SIZE, 0)
    return (time.process_time() - started) / _MESSAGE_COUNT
