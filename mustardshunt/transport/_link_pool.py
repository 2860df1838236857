"""Pool of the links of a node, with one task per peer."""

import asyncio
from collections import Counter
from typing import Final

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from mustardshunt.base import (
    Clock,
    Incarnation,
    MustardshuntError,
    VmAddress,
)
from mustardshunt.transport._codec import Codec
from mustardshunt.transport._frames import Hello
from mustardshunt.transport._handshake import (
    HANDSHAKE_TIMEOUT_SECONDS,
    Handshake,
    LinkParameters,
)
from mustardshunt.transport._link import Link, LinkHandler

# This node closes a link that it opened when the link had no traffic for this
# long.
IDLE_TIMEOUT_SECONDS: Final = 60.0
_LIVENESS_CHECK_SECONDS: Final = 0.25
_INITIAL_BACKOFF_SECONDS: Final = 0.05
_MAX_BACKOFF_SECONDS: Final = 2.0
_CLOSE_TIMEOUT_SECONDS: Final = 0.5


class LinkPool:
    """Opens, accepts and checks the links of one node.

    Parameters
    ----------
    parameters : LinkParameters
        Identity, secret and limits that all links use.
    codec : Codec
        Encoding of the frames.
    clock : Clock
        Clock for the liveness checks.
    """

    def __init__(
        self,
        parameters: LinkParameters,
        codec: Codec,
        clock: Clock,
    ) -> None:
        self._parameters = parameters
        self._codec = codec
        self._handshake = Handshake(parameters, codec)
        self._handler: LinkHandler
        self._clock = clock
        self._task_by_address: dict[VmAddress, asyncio.Task[None]] = {}
        self._dialed_by_incarnation: dict[Incarnation, Link] = {}
        self._accepted_by_incarnation: dict[Incarnation, Link] = {}
        self._waiters_by_incarnation: dict[
            Incarnation,
            list[asyncio.Future[None]],
        ] = {}
        self._server: Server | None = None
        self._link_count = 0
        # Peers whose links are not closed when they are idle.
        self.pinned_peers: frozenset[Incarnation] = frozenset()
        self.pending_count_by_incarnation: Counter[Incarnation] = Counter()

    @property
    def links(self) -> list[Link]:
        """All links: first the links that this node opened, then the others."""
        return [
            *self._dialed_by_incarnation.values(),
            *self._accepted_by_incarnation.values(),
        ]

    @property
    def dialed_addresses(self) -> list[VmAddress]:
        """Addresses to which this node keeps a link open."""
        return list(self._task_by_address)

    def find(self, incarnation: Incarnation) -> Link | None:
        """Return the open link that this node opened to a peer, else None."""
        link = self._dialed_by_incarnation.get(incarnation)
        return link if link is not None and link.is_open else None

    def find_any(self, incarnation: Incarnation) -> Link | None:
        """Return an open link with a peer, whichever side opened the link."""
        found = self.find(incarnation)
        if found is None:
            found = self._accepted_by_incarnation.get(incarnation)
        return found if found is not None and found.is_open else None

    def open(self, address: VmAddress) -> None:
        """Open a link to an address; keep it open until ``release``."""
        if address in self._task_by_address:
            return
        self._task_by_address[address] = asyncio.create_task(
            self._keep_dialing(address),
            name=f'link {address}',
        )

    async def find_or_open(
        self,
        incarnation: Incarnation,
        address: VmAddress,
        seconds: float,
    ) -> Link | None:
        """Return the link to a peer; open a link if there is none.

        Parameters
        ----------
        incarnation : Incarnation
            Identifies the run of the peer.
        address : VmAddress
            Address at which the peer listens.
        seconds : float
            Longest time to wait for the link to open.

        Returns
        -------
        Link or None
            None when no link to the incarnation opened in time.
        """
        link = self.find(incarnation)
        if link is not None:
            return link
        self.open(address)
        waiter = asyncio.get_running_loop().create_future()
        waiters = self._waiters_by_incarnation.setdefault(incarnation, [])
        waiters.append(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter
        except TimeoutError:
            return None
        finally:
            waiters.remove(waiter)
        return self.find(incarnation)

    def release(self, address: VmAddress) -> None:
        """Close the link to an address and do not reopen it."""
        task = self._task_by_address.pop(address, None)
        if task is not None:
            task.cancel()

    async def start(self, handler: LinkHandler) -> None:
        """Start to accept links of peers.

        Parameters
        ----------
        handler : LinkHandler
            Handles the frames and the events of all links.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        self._handler = handler
        self._server = await serve(
            self._accept,
            self._parameters.address.host,
            self._parameters.address.port,
            compression=None,
            ping_interval=None,
            max_size=self._parameters.max_frame_bytes,
            close_timeout=_CLOSE_TIMEOUT_SECONDS,
            server_header=None,
        )

    async def stop(self) -> None:
        """Close all links and the listening socket."""
        for address in self.dialed_addresses:
            self.release(address)
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()

    async def run_liveness_checks(self) -> None:
        """Check links periodically: ping silent peers, close idle links."""
        while True:
            await asyncio.sleep(_LIVENESS_CHECK_SECONDS)
            now = self._clock.now()
            for link in self.links:
                pending_count = self.pending_count_by_incarnation[
                    link.incarnation
                ]
                link.check_liveness(now, pending_count)
                if pending_count == 0 and self._is_idle(link, now):
                    self.release(link.address)

    def _is_idle(self, link: Link, now: float) -> bool:
        if not link.dialed or link.incarnation in self.pinned_peers:
            return False
        return now - max(link.used_at, link.received_at) > IDLE_TIMEOUT_SECONDS

    async def probe(self, address: VmAddress, seconds: float) -> Hello | None:
        """Return the first frame of the node that listens at an address.

        Parameters
        ----------
        address : VmAddress
            Address to try.
        seconds : float
            Longest time to wait for the connection.

        Returns
        -------
        Hello or None
            None when no node of the deployment answers at the address in time.
        """
        try:
            async with asyncio.timeout(seconds):
                connection = await self._connect(address)
        except (OSError, InvalidHandshake, TimeoutError):
            return None
        try:
            return await self._handshake.authenticate_as_dialer(connection, 0)
        except (MustardshuntError, ConnectionClosed):
            return None
        finally:
            connection.transport.abort()

    async def _keep_dialing(self, address: VmAddress) -> None:
        backoff = _INITIAL_BACKOFF_SECONDS
        while True:
            link = await self._dial(address)
            if link is None:
                await asyncio.sleep(backoff)
                backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)
                continue
            backoff = _INITIAL_BACKOFF_SECONDS
            await self._run_dialed_link(link)

    async def _dial(self, address: VmAddress) -> Link | None:
        try:
            connection = await self._connect(address)
            self._link_count += 1
            number = self._link_count
            peer = await self._handshake.authenticate_as_dialer(
                connection, number
            )
        except MustardshuntError as error:
            self._handler.handle_fault(error)
            return None
        except (OSError, InvalidHandshake, ConnectionClosed):
            self._handler.handle_unreachable(address)
            return None
        return self._make_link(connection, peer, number, dialed=True)

    async def _connect(self, address: VmAddress) -> Connection:
        return await connect(
            f'ws://{address}',
            compression=None,
            proxy=None,
            open_timeout=HANDSHAKE_TIMEOUT_SECONDS,
            ping_interval=None,
            max_size=self._parameters.max_frame_bytes,
            close_timeout=_CLOSE_TIMEOUT_SECONDS,
            user_agent_header=None,
        )

    def _make_link(
        self,
        connection: Connection,
        peer: Hello,
        number: int,
        *,
        dialed: bool,
    ) -> Link:
        return Link(
            connection,
            peer,
            dialed,
            self._codec,
            self._clock,
            number,
        )

    async def _run_dialed_link(self, link: Link) -> None:
        self._dialed_by_incarnation[link.incarnation] = link
        for waiter in self._waiters_by_incarnation.pop(link.incarnation, ()):
            if not waiter.done():
                waiter.set_result(None)
        try:
            await link.run(self._handler)
        finally:
            _remove_link(self._dialed_by_incarnation, link)
            link.abort()

    async def _accept(self, connection: ServerConnection) -> None:
        try:
            peer = await self._handshake.authenticate_as_listener(connection)
        except MustardshuntError as error:
            self._handler.handle_fault(error)
            connection.transport.abort()
            return
        link = self._make_link(connection, peer, peer.link, dialed=False)
        previous = self._accepted_by_incarnation.get(link.incarnation)
        if previous is not None and previous.number > link.number:
            # The handshake of this link was delayed, and the peer has opened a
            # newer link in the meantime. This link is therefore closed.
            connection.transport.abort()
            return
        self._accepted_by_incarnation[link.incarnation] = link
        if previous is not None:
            # Frames that still arrive on the older link must not be handled
            # after frames of the newer link.
            previous.abort()
        try:
            await link.run(self._handler)
        finally:
            _remove_link(self._accepted_by_incarnation, link)


def _remove_link(
    link_by_incarnation: dict[Incarnation, Link], link: Link
) -> None:
    if link_by_incarnation.get(link.incarnation) is link:
        del link_by_incarnation[link.incarnation]
