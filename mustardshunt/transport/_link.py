"""Link: an open, authenticated connection between two nodes."""

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

# Upper limit on the unsent bytes of a link. A link above the limit is closed:
# otherwise a peer that does not read would make the memory of this node grow
# without bound.
MAX_UNSENT_BYTES: Final = 8 * 1024 * 1024
# A peer with pending calls or requests is pinged when this node has received
# nothing from the peer for this long.
PING_AFTER_SECONDS: Final = 0.5
# A link is closed when nothing is received for this long after a ping: a
# network device between the nodes may have dropped the connection silently.
PING_TIMEOUT_SECONDS: Final = 0.5
_PROTOCOL_ERROR_CODE: Final = 1002


class LinkHandler(Protocol):
    """Handles the frames that arrive on links, and the events of links."""

    def handle_frame(self, link: 'Link', frame: object) -> None:
        """Handle one frame that a peer sent; must not block."""
        ...

    def handle_open(self, link: 'Link') -> None:
        """Handle a link on which frames can now be sent."""
        ...

    def handle_close(self, link: 'Link') -> None:
        """Handle a link on which no more frames can be sent."""
        ...

    def handle_unreachable(self, address: VmAddress) -> None:
        """Handle a failed attempt to connect to a peer's address."""
        ...

    def handle_fault(self, fault: MustardshuntError) -> None:
        """Handle an invalid frame, a failed handshake or an internal error."""
        ...


class Link:
    """Open connection to a peer that has authenticated itself.

    Parameters
    ----------
    connection : websockets.asyncio.connection.Connection
        Open WebSocket connection.
    peer : Hello
        First frame of the peer.
    dialed : bool
        Whether this node opened the connection.
    codec : Codec
        Encoding of the frames.
    clock : Clock
        Clock that gives the times of sent and received frames.
    number : int
        Number of the link at the node that opened it.
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
        """Whether frames can be sent."""
        return self._connection.protocol.state is State.OPEN

    def send(self, frame: object) -> bool:
        """Queue a frame for sending without waiting for the peer.

        Parameters
        ----------
        frame : object
            Instance of a data class that the codec knows.

        Returns
        -------
        bool
            False when the link is closed; the frame was then dropped.
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

    def check_liveness(self, now: float, pending_count: int) -> None:
        """Ping a silent peer, and close the link if nothing follows the ping.

        A link without pending calls or requests is not pinged, so that idle
        links cause no traffic.

        Parameters
        ----------
        now : float
            Time in seconds.
        pending_count : int
            Calls and requests at the peer without a reply.
        """
        if pending_count == 0 or now - self.received_at < PING_AFTER_SECONDS:
            return
        if self._pinged_at <= self.received_at:
            self.ping(now)
            return
        if now - self._pinged_at > PING_TIMEOUT_SECONDS:
            self.abort()

    def ping(self, now: float) -> None:
        """Send a ping; the peer's reply proves that the peer is alive."""
        if self._pinged_at <= self.received_at:
            self._pinged_at = now
        self._ping_number += 1
        self.send(PingFrame(self._ping_number))

    def is_silent(self, now: float) -> bool:
        """Return whether nothing was received within the time-out of a ping."""
        if self._pinged_at <= self.received_at:
            return False
        return now - self._pinged_at > PING_TIMEOUT_SECONDS

    async def run(self, handler: LinkHandler) -> None:
        """Pass received frames to a handler until the connection closes.

        Parameters
        ----------
        handler : LinkHandler
            Handles the frames and the events of the link.
        """
        handler.handle_open(self)
        try:
            await self._receive(handler)
        except ConnectionClosed:
            return
        except FrameError as error:
            handler.handle_fault(error)
            await self._connection.close(
                _PROTOCOL_ERROR_CODE, error.message[:100]
            )
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
            self._handle_frame(handler, frame)

    def _handle_frame(self, handler: LinkHandler, frame: object) -> None:
        try:
            handler.handle_frame(self, frame)
        except Exception as error:
            # The link stays open: closing the link would lose other pending
            # calls.
            logger.exception(
                'internal error while handling {} from peer {}; the link stays '
                'open',
                type(frame).__name__,
                self.incarnation,
            )
            message = f'{type(frame).__name__}: {error!r}'
            handler.handle_fault(
                MustardshuntError(ErrorCode.INTERNAL, message),
            )


async def receive_frame(
    connection: Connection,
    codec: Codec,
    seconds: float,
) -> object:
    """Return the next frame of a connection during the handshake.

    Raises
    ------
    MustardshuntError
        No message arrived within ``seconds``, the connection closed, or the
        message was not a frame.
    """
    try:
        async with asyncio.timeout(seconds):
            content = await connection.recv()
    except (TimeoutError, ConnectionClosed) as error:
        raise MustardshuntError(
            ErrorCode.LINK_LOST,
            f'expected a handshake frame within {seconds} s: {error!r}',
        ) from error
    if isinstance(content, str):
        raise FrameError('expected a binary message, found text')
    return codec.decode(content)
