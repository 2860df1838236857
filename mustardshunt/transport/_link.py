"""One open connection between two nodes."""

import asyncio
from typing import Final, Protocol

from loguru import logger
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State

from mustardshunt.base import (
    Clock,
    ErrorCode,
    Incarnation,
    MustardshuntError,
    VmAddress,
)
from mustardshunt.transport._codec import Codec, FrameError
from mustardshunt.transport._frames import Hello, PingFrame, PongFrame

# A peer that does not read this much is treated as lost, so that memory
# stays bounded.
MAX_UNSENT_BYTES: Final = 8 * 1024 * 1024
# Without traffic for this long, while something is waited for, the peer is
# asked for any sign of life.
PING_AFTER_SECONDS: Final = 0.5
# A ping without any traffic for this long means that the connection is lost
# to one of the devices between the two ends.
SILENT_AFTER_SECONDS: Final = 0.5
_PROTOCOL_ERROR: Final = 1002


class LinkHandler(Protocol):
    """What a node does with the frames of a link."""

    def handle_frame(self, link: 'Link', frame: object) -> None:
        """Take one frame; must not block."""
        ...

    def handle_open(self, link: 'Link') -> None:
        """Take notice that a link is open."""
        ...

    def handle_close(self, link: 'Link') -> None:
        """Take notice that a link is closed for good."""
        ...

    def handle_unreachable(self, address: VmAddress) -> None:
        """Take notice that nobody could be reached at an address."""
        ...

    def handle_fault(self, fault: MustardshuntError) -> None:
        """Count a frame or a proof that was not accepted."""
        ...


class Link:
    """An open connection to a peer that has proved its membership.

    Parameters
    ----------
    connection : websockets.asyncio.connection.Connection
        Open websocket.
    peer : Hello
        First frame of the peer.
    dialed : bool
        Whether this node opened the connection.
    codec : Codec
        Encoding of the frames.
    clock : Clock
        Source of the time.
    number : int
        Number of the link at the side that opened it.
    """

    def __init__(
        self,
        connection: Connection,
        peer: Hello,
        dialed: bool,
        codec: Codec,
        clock: Clock,
        number: int,
    ) -> None:
        self.number = number
        self.incarnation = Incarnation(peer.incarnation)
        self.data_centre = peer.data_centre
        self.address = VmAddress(peer.host, peer.port)
        self.dialed = dialed
        self.received_at = clock.now()
        self.used_at = self.received_at
        self.bytes_sent = 0
        self._pinged_at = 0.0
        self._ping_number = 0
        self._connection = connection
        self._codec = codec
        self._clock = clock

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return self._connection.protocol.state is State.OPEN

    def send(self, frame: object) -> bool:
        """Queue a frame for sending without waiting for the peer.

        Parameters
        ----------
        frame : object
            Registered frame.

        Returns
        -------
        bool
            False when the link is closed; the frame was then not sent.
        """
        if not self.is_open:
            return False
        content = self._codec.encode(frame)
        self.bytes_sent += len(content)
        if not isinstance(frame, (PingFrame, PongFrame)):
            self.used_at = self._clock.now()
        self._connection.protocol.send_binary(content)
        self._connection.send_data()
        unsent = self._connection.transport.get_write_buffer_size()
        if unsent > MAX_UNSENT_BYTES:
            self.abort()
        return True

    def abort(self) -> None:
        """Close the connection at once; ``run`` then ends."""
        self._connection.transport.abort()

    def check_liveness(self, now: float, waiting: int) -> None:
        """Ping a quiet peer that is waited for, and give it up when silent.

        Links on which nothing is waited for are not pinged, so that idle
        links cost nothing.

        Parameters
        ----------
        now : float
            Time in seconds.
        waiting : int
            Calls and asks at the peer that have no reply yet.
        """
        if waiting == 0 or now - self.received_at < PING_AFTER_SECONDS:
            return
        if self._pinged_at <= self.received_at:
            self.ping(now)
            return
        if now - self._pinged_at > SILENT_AFTER_SECONDS:
            self.abort()

    def ping(self, now: float) -> None:
        """Ask the peer for any traffic."""
        if self._pinged_at <= self.received_at:
            self._pinged_at = now
        self._ping_number += 1
        self.send(PingFrame(self._ping_number))

    def is_silent(self, now: float) -> bool:
        """Tell whether a ping has had no reply for too long."""
        if self._pinged_at <= self.received_at:
            return False
        return now - self._pinged_at > SILENT_AFTER_SECONDS

    async def run(self, handler: LinkHandler) -> None:
        """Pass on frames until the connection closes.

        Parameters
        ----------
        handler : LinkHandler
            Takes each frame.
        """
        handler.handle_open(self)
        try:
            await self._receive(handler)
        except ConnectionClosed:
            return
        except FrameError as error:
            handler.handle_fault(error)
            await self._connection.close(_PROTOCOL_ERROR, error.message[:100])
        finally:
            handler.handle_close(self)

    async def _receive(self, handler: LinkHandler) -> None:
        while True:
            content = await self._connection.recv()
            self.received_at = self._clock.now()
            if isinstance(content, str):
                raise FrameError('expected a binary message, found text')
            frame = self._codec.decode(content)
            if isinstance(frame, PingFrame):
                self.send(PongFrame(frame.number))
                continue
            if isinstance(frame, PongFrame):
                continue
            self._handle(handler, frame)

    def _handle(self, handler: LinkHandler, frame: object) -> None:
        try:
            handler.handle_frame(self, frame)
        except Exception as error:
            # A fault with one frame must not cost the calls of all others.
            logger.exception('a frame could not be handled')
            message = f'{type(frame).__name__}: {error!r}'
            handler.handle_fault(
                MustardshuntError(ErrorCode.INTERNAL, message),
            )


async def receive_frame(
    connection: Connection,
    codec: Codec,
    seconds: float,
) -> object:
    """Return the next frame of a connection that is not a link yet.

    Raises
    ------
    MustardshuntError
        Nothing came in time, the connection closed, or no frame was found.
    """
    try:
        async with asyncio.timeout(seconds):
            content = await connection.recv()
    except (TimeoutError, ConnectionClosed) as error:
        raise MustardshuntError(
            ErrorCode.LINK_LOST,
            f'expected a frame of the handshake: {error!r}',
        ) from error
    if isinstance(content, str):
        raise FrameError('expected a binary message, found text')
    return codec.decode(content)
