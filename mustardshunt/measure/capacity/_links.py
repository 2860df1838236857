"""Processor time and memory of links, with both ends in one process."""

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

_MESSAGES: Final = 4000
# Sent before the receiver gets its turn, as asks of several calls are.
_TOGETHER: Final = 4
_LINKS: Final = 8
_WAIT_SECONDS: Final = 20.0
_HOST: Final = '127.0.0.1'


class Counter:
    """Counts what arrives and which links are open."""

    def __init__(self) -> None:
        self.received = 0
        self.links: list[Link] = []
        self.changed = asyncio.Event()

    def handle_frame(self, link: Link, frame: object) -> None:
        """Count a frame."""
        self.received += 1
        self.changed.set()

    def handle_open(self, link: Link) -> None:
        """Note a link."""
        self.links.append(link)
        self.changed.set()

    def handle_close(self, link: Link) -> None:
        """Take no notice."""

    def handle_unreachable(self, address: VmAddress) -> None:
        """Take no notice; the pool tries again."""

    def handle_fault(self, fault: MustardshuntError) -> None:
        """Report a fault of this measurement."""
        raise fault

    async def wait_for(self, received: int, links: int) -> None:
        """Wait until so much has arrived and is open."""
        async with asyncio.timeout(_WAIT_SECONDS):
            while self.received < received or len(self.links) < links:
                self.changed.clear()
                await self.changed.wait()


async def measure_links() -> tuple[float, float]:
    """Open links and send asks over one of them.

    Returns
    -------
    float
        Processor seconds of one message, both ends together.
    float
        Bytes of one link, both ends together.
    """
    ports = choose_ports(_LINKS + 1)
    counter = Counter()
    pools = [_make_pool(port) for port in ports]
    listener = pools[0]
    await listener.start(counter)
    dialing = Counter()
    for pool in pools[1:]:
        await pool.start(dialing)
    tracer = MemoryTracer()
    for pool in pools[1:]:
        pool.open(VmAddress(_HOST, ports[0]))
    await counter.wait_for(0, _LINKS)
    await dialing.wait_for(0, _LINKS)
    kept = tracer.stop()
    seconds = await _time_messages(dialing.links[0], counter)
    for pool in pools:
        await pool.stop()
    return seconds, kept / _LINKS


def _make_pool(port: int) -> LinkPool:
    parameters = LinkParameters(
        Incarnation(f'{port:016x}'),
        'region-0',
        VmAddress(_HOST, port),
        b'secret of this measurement',
    )
    return LinkPool(parameters, make_codec(), BootClock())


async def _time_messages(link: Link, receiver: Counter) -> float:
    report = GrantReport(77, 1_000_000, 0)
    ask = TokenRequest(link.incarnation, 1, 'organisation-12', 5, (report,))
    started = time.process_time()
    for sent in range(0, _MESSAGES, _TOGETHER):
        for _ in range(_TOGETHER):
            link.send(ask)
        await receiver.wait_for(sent + _TOGETHER, 0)
    return (time.process_time() - started) / _MESSAGES
