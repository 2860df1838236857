"""HTTP server for callers, with one task per connection."""

import asyncio
import socket
from collections.abc import Iterator
from typing import Final

from mustardshunt.base import VmAddress
from mustardshunt.connections import (
    ConnectionTable,
    Shortage,
    Transfer,
    choose_slow,
)
from mustardshunt.memory import MemoryAccount
from mustardshunt.relay._acceptor import Acceptor
from mustardshunt.relay._caller_connection import (
    LINGER_SECONDS,
    CallerConnection,
)
from mustardshunt.relay._listening_sockets import listen_at
from mustardshunt.relay._messages import RequestHandler
from mustardshunt.relay._request_parser import LimitSource

# Interval at which the connections of callers are checked for time-outs.
SWEEP_INTERVAL_SECONDS: Final = 0.5


class HttpServer:
    """Accepts connections of callers and serves the requests on them.

    Parameters
    ----------
    handler : RequestHandler
        Returns the response to each request.
    limits : LimitSource
        Returns the limits on the size and the duration of requests.
    memory : MemoryAccount
        Account to which requests and unread responses are charged.
    table : ConnectionTable
        Decides which connections are open.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: LimitSource,
        memory: MemoryAccount,
        table: ConnectionTable[CallerConnection],
    ) -> None:
        self.table = table
        self.memory = memory
        self.handler = handler
        self.limits = limits
        self.is_closing = False
        self.requests_in_progress = 0
        # Connections that were ended as slow, and when all of them are closed.
        self._ending = 0
        self._ended_by = 0.0
        self._connections: set[CallerConnection] = set()
        self._acceptor: Acceptor[CallerConnection] | None = None
        self._sweeper: asyncio.Task[None] | None = None

    @property
    def acceptor(self) -> Acceptor[CallerConnection] | None:
        """The acceptor of connections, None before and after it is open."""
        return self._acceptor

    async def listen(self, address: VmAddress) -> None:
        """Start accepting connections at an address.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        self.serve(listen_at(address))

    def serve(self, listening: socket.socket) -> None:
        """Start accepting the connections of a socket, and own the socket."""
        loop = asyncio.get_running_loop()
        self._acceptor = Acceptor(
            listening,
            self.table,
            lambda: CallerConnection(self, loop),
            CallerConnection.refuse,
        )
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(
                self._sweep(), name='http sweeper'
            )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None

    def close_idle(self) -> None:
        """Close the connections on which no request is being served."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def active_requests(self) -> int:
        """Return the number of connections with an answer not sent yet."""
        return sum(
            not connection.is_idle or connection.memory.has_unsent
            for connection in self._connections
        )

    def waiting_requests(self) -> int:
        """Return the number of parsed requests that wait for their turn."""
        return sum(
            connection.intake.waiting_requests
            for connection in self._connections
        )

    def close(self) -> None:
        """Close the listening socket and abort all connections."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.abort()

    def add(self, connection: CallerConnection) -> None:
        """Register an open connection, so that ``close`` can close it."""
        self._connections.add(connection)

    def discard(self, connection: CallerConnection) -> None:
        """Remove a closed connection from the open connections."""
        self._connections.discard(connection)
        self.table.discard(connection)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = loop.time()
            limits = self.limits()
            for connection in list(self._connections):
                connection.check_timeouts(now, limits)
            self._end_slow(now)

    def _end_slow(self, now: float) -> None:
        # Those that were ended before keep their connections until their
        # callers have read the refusal.
        ending = 0 if now > self._ended_by else self._ending
        shortage = Shortage(
            self.memory.missing_bytes(),
            max(0, self.table.missing_connections - ending),
        )
        if not shortage:
            return
        slow = choose_slow(self._transfers(now), now, shortage)
        for connection in slow:
            connection.end_slow(now)
        if slow:
            self._ending = ending + len(slow)
            self._ended_by = now + LINGER_SECONDS + SWEEP_INTERVAL_SECONDS
            self.table.record_slow(len(slow))

    def _transfers(
        self, now: float
    ) -> Iterator[tuple[CallerConnection, Transfer]]:
        for connection in self._connections:
            transfer = connection.transfer(now)
            if transfer is not None:
                yield connection, transfer
