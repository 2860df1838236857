"""Connections on which nodes exchange frames."""

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Final, cast

from mustardshunt.base import VmAddress
from mustardshunt.connections import Stage, Transfer
from mustardshunt.memory import SMALL_BYTES, HeldPart, MemoryAccount
from mustardshunt.relay._acceptor import has_unread
from mustardshunt.relay._frame_types import Frame
from mustardshunt.relay._frames import (
    DroppedFrame,
    FrameError,
    FrameSplitter,
    encode_frame,
)
from mustardshunt.relay._keepalive import enable_keepalive

CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Upper limit on the unsent bytes of a connection. A connection above the limit
# is closed, which bounds the memory of the node. A peer that does not read
# makes its link useless long before the limit is reached.
MAX_UNSENT_BYTES: Final = 32 * 1024 * 1024


class FrameStream(asyncio.Protocol):
    """One connection on which both sides send frames.

    Parameters
    ----------
    memory : MemoryAccount
        Account to which arriving and unsent frames are charged.
    on_open : callable or None
        Called with the stream when the connection is open.
    """

    def __init__(
        self,
        memory: MemoryAccount,
        on_open: 'Callable[[FrameStream], None] | None' = None,
    ) -> None:
        self._memory = memory
        self._arriving = memory.open(HeldPart.LINKS)
        self._outgoing = memory.open(HeldPart.LINKS, self.abort)
        self._on_open = on_open
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._splitter = FrameSplitter(self._arriving)
        self._frames: deque[Frame | DroppedFrame] = deque()
        self._error: FrameError | None = None
        self._wake: asyncio.Future[None] | None = None
        self._unsent: list[bytes] = []
        self._drained: asyncio.Event | None = None
        self.last_received_at = self._loop.time()
        self._frame_began_at = self.last_received_at
        self._is_ended = False
        # Set when the peer has named itself.
        self.is_link = False

    @property
    def idle_since(self) -> float | None:
        """Time since which no peer has named itself, None for a link."""
        is_idle = self.is_open and not self.is_link
        return self.last_received_at if is_idle else None

    @property
    def transfer(self) -> Transfer | None:
        """The frame that is arriving, None if there is none."""
        buffered_bytes = self._splitter.buffered_bytes
        if not buffered_bytes or self._transport is None:
            return None
        return Transfer(
            Stage.BODY if self.is_link else Stage.HEAD,
            self._frame_began_at,
            self.last_received_at,
            buffered_bytes,
            max(buffered_bytes, self._arriving.held),
        )

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        transport = self._transport
        if transport is None or self._is_ended:
            return False
        return not transport.is_closing()

    @property
    def has_unsent(self) -> bool:
        """Whether frames wait to be sent."""
        transport = self._transport
        if transport is None:
            return False
        return bool(self._unsent) or transport.get_write_buffer_size() > 0

    def can_send(self, size: int) -> bool:
        """Reserve room for a frame that is sent next.

        Parameters
        ----------
        size : int
            Length of the body in the frame, in bytes.

        Returns
        -------
        bool
            False if the frame must not be sent: it would not fit into the
            memory before the peer reads it.
        """
        if size <= SMALL_BYTES or self._outgoing.reserve(
            self._outgoing.held + size
        ):
            return True
        self._memory.record_refusal(HeldPart.LINKS, size)
        return False

    def send(self, frame: Frame) -> None:
        """Send a frame; the frame is dropped when the connection is closed.

        Frames that are sent in one iteration of the event loop are written
        together.
        """
        if not self.is_open:
            return
        self._unsent.append(encode_frame(frame))
        if len(self._unsent) == 1:
            self._loop.call_soon(self._write)

    async def drain(self) -> None:
        """Wait until what was sent is written and few bytes are unsent.

        Also returns when the connection is closed.
        """
        await asyncio.sleep(0)
        if self._drained is not None:
            await self._drained.wait()

    async def frames(self) -> AsyncIterator[Frame | DroppedFrame]:
        """Yield received frames until the connection ends.

        Raises
        ------
        FrameError
            The peer sent bytes that are not a frame.
        """
        while True:
            while self._frames:
                yield self._frames.popleft()
            if self._error is not None:
                raise self._error
            if self._transport is None:
                return
            self._wake = self._loop.create_future()
            await self._wake

    def give_way(self) -> bool:
        """Close the connection unless frames have arrived on it."""
        if self._transport is None or has_unread(self._transport):
            return False
        self._transport.abort()
        return True

    def end(self) -> None:
        """Send no more frames; the peer closes when it has read the others.

        Frames that the peer still sends are dropped, since no reply to them
        could be sent.
        """
        if not self.is_open or self._transport is None:
            return
        self._write()
        self._is_ended = True
        self._frames.clear()
        if not self._transport.is_closing():
            self._transport.write_eof()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a connection that has just opened, and report it as open."""
        self._transport = cast(asyncio.Transport, transport)
        tcp_socket = transport.get_extra_info('socket')
        if tcp_socket is not None:
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(tcp_socket)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Split received bytes into frames, and wake the frames' reader."""
        self.last_received_at = self._loop.time()
        if self._is_ended:
            return
        try:
            frames = self._splitter.feed(data)
            if frames or len(data) == self._splitter.buffered_bytes:
                self._frame_began_at = self.last_received_at
            self._frames.extend(frames)
        except FrameError as error:
            # The traceback would keep the decoded items of the frame, until
            # the next full garbage collection.
            self._error = FrameError(error.message)
        self._notify()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark the connection as closed, and wake the reader of the frames."""
        self._transport = None
        # The stream is part of reference cycles: what it still refers to stays
        # until the next full garbage collection.
        self._splitter = FrameSplitter(self._arriving)
        self._unsent = []
        self._arriving.clear()
        self._outgoing.clear()
        self._end_pause()
        self._notify()

    def pause_writing(self) -> None:
        """Let those wait who send frames of a large body."""
        self._drained = asyncio.Event()

    def resume_writing(self) -> None:
        """Return the room of the frames that the peer has read."""
        self._end_pause()
        self._charge_unsent()

    def _write(self) -> None:
        transport = self._transport
        unsent = self._unsent
        self._unsent = []
        if not unsent or transport is None or transport.is_closing():
            return
        transport.write(unsent[0] if len(unsent) == 1 else b''.join(unsent))
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()
            return
        self._charge_unsent()

    def _charge_unsent(self) -> None:
        """Charge the frames that the transport keeps, unless they are few.

        The transport reports when less than its low-water mark is left, which
        is far below ``SMALL_BYTES``.
        """
        size = 0
        if self._transport is not None:
            size = self._transport.get_write_buffer_size()
        self._outgoing.is_stated = False
        self._outgoing.resize(size if size > SMALL_BYTES else 0)

    def _end_pause(self) -> None:
        drained = self._drained
        self._drained = None
        if drained is not None:
            drained.set()

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


async def dial(address: VmAddress, memory: MemoryAccount) -> FrameStream:
    """Open a connection to another node and return its stream of frames.

    Parameters
    ----------
    address : VmAddress
        Address of the other node.
    memory : MemoryAccount
        Account to which arriving and unsent frames are charged.

    Raises
    ------
    OSError
        The node refused the connection or cannot be reached.
    TimeoutError
        The connection did not open within ``CONNECT_TIMEOUT_SECONDS``.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
        _, stream = await loop.create_connection(
            lambda: FrameStream(memory),
            address.host,
            address.port,
        )
    return stream
