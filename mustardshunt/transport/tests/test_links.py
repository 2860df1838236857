"""Links: proof of membership, bad peers, and connections that go silent."""

import asyncio
import time

import pytest
from websockets.asyncio.client import connect

from mustardshunt.base import Incarnation, MustardshuntError, VmAddress
from mustardshunt.transport import (
    CancelFrame,
    CborCodec,
    FrameError,
    Hello,
    Link,
    LinkParameters,
    LinkPool,
    PingFrame,
    PongFrame,
    Proof,
)
from mustardshunt.transport.tests.fault_proxy import FaultProxy, free_port

CODEC = CborCodec({
    1: Hello,
    2: Proof,
    3: PingFrame,
    4: PongFrame,
    5: CancelFrame,
})
WAIT_SECONDS = 10


class MonotonicClock:
    def now(self) -> float:
        return time.monotonic()


class Recorder:
    def __init__(self) -> None:
        self.frames: list[object] = []
        self.faults: list[MustardshuntError] = []
        self.opened: list[Link] = []
        self.changed = asyncio.Event()

    def handle_frame(self, link: Link, frame: object) -> None:
        self.frames.append(frame)
        self.changed.set()

    def handle_open(self, link: Link) -> None:
        self.opened.append(link)
        self.changed.set()

    def handle_close(self, link: Link) -> None:
        self.changed.set()

    def handle_unreachable(self, address: VmAddress) -> None:
        self.changed.set()

    def handle_fault(self, fault: MustardshuntError) -> None:
        self.faults.append(fault)
        self.changed.set()

    async def wait(self, condition) -> None:
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def make_pool(name: str, port: int, secret: bytes = b'fleet'):
    recorder = Recorder()
    parameters = LinkParameters(
        Incarnation(name),
        'sofia-1',
        VmAddress('127.0.0.1', port),
        secret,
    )
    pool = LinkPool(parameters, CODEC, MonotonicClock())
    pool._handler = recorder
    return pool, recorder


@pytest.fixture
async def listener():
    pool, recorder = make_pool('listener', free_port())
    await pool.start(recorder)
    yield pool, recorder, pool._parameters.address
    await pool.stop()


async def test_frames_pass_both_ways(listener):
    # Guards against a link that only works for the side that opened it.
    pool, recorder, address = listener
    dialer, dialer_recorder = make_pool('dialer', free_port())
    dialer.open(address)
    await dialer_recorder.wait(lambda: dialer_recorder.opened)
    dialer.find(Incarnation('listener')).send(CancelFrame(1))
    await recorder.wait(lambda: recorder.frames)
    pool.find_any(Incarnation('dialer')).send(CancelFrame(2))
    await dialer_recorder.wait(lambda: dialer_recorder.frames)
    await dialer.stop()
    assert recorder.frames == [CancelFrame(1)]
    assert dialer_recorder.frames == [CancelFrame(2)]


async def test_peer_with_another_secret_is_refused(listener):
    # Guards against believing a peer that does not belong to the fleet.
    _, recorder, address = listener
    dialer, dialer_recorder = make_pool('dialer', free_port(), b'other')
    dialer.open(address)
    await dialer_recorder.wait(lambda: dialer_recorder.faults)
    await recorder.wait(lambda: recorder.faults)
    await dialer.stop()
    assert not recorder.opened
    assert {fault.code for fault in dialer_recorder.faults} == {'bad-proof'}


async def test_replayed_proof_is_refused(listener):
    # Guards against a peer that sends the listener's own proof back.
    _, recorder, address = listener
    async with connect(f'ws://{address}', compression=None) as connection:
        hello = Hello(1, 'thief', 'sofia-1', '127.0.0.1', 1, b'n' * 16)
        await connection.send(CODEC.encode(hello))
        await connection.recv()
        await connection.send(await connection.recv())
        await recorder.wait(lambda: recorder.faults)
    assert not recorder.opened
    assert recorder.faults[0].code == 'bad-proof'


@pytest.mark.parametrize(
    ('first', 'code'),
    [
        (
            CODEC.encode(Hello(2, 'a', 'b', 'c', 1, b'n' * 16)),
            'protocol-version',
        ),
        (CODEC.encode(Hello(1, 'a', 'b', 'c', 1, b'')), 'bad-proof'),
        (CODEC.encode(PingFrame(1)), 'bad-proof'),
        (b'\xff\x00', 'bad-frame'),
        ('text', 'bad-frame'),
    ],
)
async def test_bad_first_frame_closes_the_connection(listener, first, code):
    # Guards against a listener that hangs on or believes a foreign peer.
    pool, recorder, address = listener
    async with connect(f'ws://{address}', compression=None) as connection:
        await connection.send(first)
        await recorder.wait(lambda: recorder.faults)
        async with asyncio.timeout(WAIT_SECONDS):
            await connection.wait_closed()
    assert recorder.faults[0].code == code
    assert not pool.links


async def test_bad_frame_after_the_proof_closes_the_link(listener):
    # Guards against a node that stops serving on garbage from a peer.
    _, recorder, address = listener
    dialer, dialer_recorder = make_pool('dialer', free_port())
    dialer.open(address)
    await dialer_recorder.wait(lambda: dialer_recorder.opened)
    link = dialer.find(Incarnation('listener'))
    link._connection.protocol.send_binary(b'\x82\x01')
    link._connection.send_data()
    await recorder.wait(lambda: recorder.faults)
    await dialer_recorder.wait(lambda: len(dialer_recorder.opened) > 1)
    await dialer.stop()
    assert recorder.faults[0].code == 'bad-frame'


async def test_silent_connection_is_replaced(listener):
    # Guards against calls that wait for ever on a connection that a device
    # between the two ends has lost track of.
    _, _, address = listener
    relay = FaultProxy(address)
    await relay.start()
    dialer, recorder = make_pool('dialer', free_port())
    watch = asyncio.create_task(dialer.run_liveness_checks())
    dialer.open(relay.address)
    await recorder.wait(lambda: recorder.opened)
    dialer.pending_count_by_incarnation[Incarnation('listener')] = 1
    relay.drop_traffic()
    await recorder.wait(lambda: len(recorder.opened) > 1)
    assert not recorder.opened[0].is_open
    assert dialer.find(Incarnation('listener')) is recorder.opened[1]
    watch.cancel()
    await dialer.stop()
    await relay.stop()


def test_secret_is_not_shown():
    # Guards against a secret in a log line that shows the parameters.
    pool, _ = make_pool('a', 1, b'very-secret')
    assert 'very-secret' not in repr(pool._parameters)


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\x80',
        b'\x82\x05\x80',
        b'\x82\x03\x80',
        b'\x82\x03\xa1\x66number\x61x',
        b'\x9f' * 5000,
        b'\x5b\xff\xff\xff\xff\xff\xff\xff\xff',
    ],
)
def test_content_that_is_no_frame(content):
    # Guards against a decoder that fails with anything but FrameError.
    with pytest.raises(FrameError):
        CODEC.decode(content)
