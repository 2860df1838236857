"""Tests of links: authentication, invalid frames, silent connections."""

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


class RecordingHandler:
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
    recorder = RecordingHandler()
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


async def test_frames_are_delivered_in_both_directions(listener):
    # Both sides of a link must be able to send, not only the side that opened
    # the link.
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
    # A link must not open when the peer does not know the secret.
    _, recorder, address = listener
    dialer, dialer_recorder = make_pool('dialer', free_port(), b'other')
    dialer.open(address)
    await dialer_recorder.wait(lambda: dialer_recorder.faults)
    await recorder.wait(lambda: recorder.faults)
    await dialer.stop()
    assert not recorder.opened
    assert {fault.code for fault in dialer_recorder.faults} == {'bad-proof'}


async def test_replayed_proof_is_refused(listener):
    # A peer without the secret sends the listener's proof back to the listener.
    # The listener must not accept this proof.
    _, recorder, address = listener
    async with connect(f'ws://{address}', compression=None) as connection:
        hello = Hello(1, 'attacker', 'sofia-1', '127.0.0.1', 1, b'n' * 16)
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
async def test_invalid_first_frame_closes_connection(listener, first, code):
    # When a peer sends an invalid first frame, the listener must close the
    # connection. It must not open a link and must not wait for ever.
    pool, recorder, address = listener
    async with connect(f'ws://{address}', compression=None) as connection:
        await connection.send(first)
        await recorder.wait(lambda: recorder.faults)
        async with asyncio.timeout(WAIT_SECONDS):
            await connection.wait_closed()
    assert recorder.faults[0].code == code
    assert not pool.links


async def test_invalid_frame_on_open_link_closes_link(listener):
    # When an authenticated peer sends malformed bytes, only that link may
    # close. The listener must go on working, so that the peer can reconnect.
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
    # A network device between the nodes may drop a connection without closing
    # it. The link must then be replaced; otherwise calls would wait for ever.
    _, _, address = listener
    proxy = FaultProxy(address)
    await proxy.start()
    dialer, recorder = make_pool('dialer', free_port())
    liveness_task = asyncio.create_task(dialer.run_liveness_checks())
    dialer.open(proxy.address)
    await recorder.wait(lambda: recorder.opened)
    dialer.pending_count_by_incarnation[Incarnation('listener')] = 1
    proxy.drop_traffic()
    await recorder.wait(lambda: len(recorder.opened) > 1)
    assert not recorder.opened[0].is_open
    assert dialer.find(Incarnation('listener')) is recorder.opened[1]
    liveness_task.cancel()
    await dialer.stop()
    await proxy.stop()


def test_secret_is_left_out_of_repr():
    # The secret must not appear in a log line that prints the parameters.
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
def test_malformed_frame_raises_frame_error(content):
    # Malformed bytes from a peer must raise FrameError and no other exception.
    with pytest.raises(FrameError):
        CODEC.decode(content)
