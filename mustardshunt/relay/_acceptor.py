"""Accepts the connections of one listening socket, in one task."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import Final, Generic, TypeVar, cast

from mustardshunt.connections import (
    Admission,
    Connection,
    ConnectionTable,
)
from mustardshunt.relay._listening_sockets import BACKLOG

# Connections that are accepted before other work is done.
MAX_ACCEPTS: Final = 16
# Pause after a connection that the operating system did not hand over, such as
# when the process or the machine has no descriptor left.
FAILURE_PAUSE_SECONDS: Final = 0.25

ConnectionT = TypeVar('ConnectionT', bound=Connection)


class Acceptor(Generic[ConnectionT]):
    """Accepts connections within the bound of a table.

    Parameters
    ----------
    listening : socket.socket
        Listening socket, which the acceptor owns.
    table : ConnectionTable
        Decides on each connection.
    make_connection : callable
        Returns the protocol of a new connection.
    refuse : callable or None
        Prepares a connection to refuse its caller; None if refused connections
        are closed at once.
    """

    def __init__(
        self,
        listening: socket.socket,
        table: ConnectionTable[ConnectionT],
        make_connection: Callable[[], ConnectionT],
        refuse: Callable[[ConnectionT], None] | None = None,
    ) -> None:
        self.listening = listening
        self._table = table
        self._make_connection = make_connection
        self._refuse = refuse
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._task = self._loop.create_task(self._run(), name='acceptor')

    def close(self) -> None:
        """Accept no more connections, and close the listening socket."""
        self._task.cancel()

    def retire(self) -> None:
        """Accept the connections that wait, then close."""
        self._accept_waiting()
        self.close()

    async def _run(self) -> None:
        try:
            while True:
                for _ in range(MAX_ACCEPTS):
                    await self._accept_next()
                await asyncio.sleep(0)
        finally:
            self.listening.close()

    async def _accept_next(self) -> None:
        try:
            accepted, _ = await self._loop.sock_accept(self.listening)
        except ConnectionError:
            # The caller has left before its turn.
            return
        except OSError as error:
            self._table.record_failure(str(error))
            await asyncio.sleep(FAILURE_PAUSE_SECONDS)
            return
        try:
            self._admit(accepted)
        except Exception as error:
            # Nothing starts the task again, and the node would be unreachable.
            accepted.close()
            self._table.record_failure(repr(error))

    def _accept_waiting(self) -> None:
        """Accept what the kernel has queued: closing the socket resets it."""
        for _ in range(BACKLOG):
            try:
                accepted, _address = self.listening.accept()
            except OSError:
                return
            accepted.setblocking(False)
            self._admit(accepted)

    def _admit(self, accepted: socket.socket) -> None:
        connection = self._make_connection()
        admission = self._table.admit(connection)
        if admission is Admission.CLOSED:
            accepted.close()
            return
        if admission is Admission.REFUSED and self._refuse is not None:
            self._refuse(connection)
        task = self._loop.create_task(self._open(connection, accepted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(
        self, connection: ConnectionT, accepted: socket.socket
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: cast(asyncio.Protocol, connection), accepted
            )
        except OSError as error:
            self._table.discard(connection)
            self._table.record_failure(str(error))
            accepted.close()


def has_unread(transport: asyncio.BaseTransport) -> bool:
    """Tell whether bytes have arrived that the transport has not read."""
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is None or tcp_socket.fileno() < 0:
        return False
    return _read_count(tcp_socket, termios.FIONREAD) > 0


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged."""
    tcp_socket = transport.get_extra_info('socket')
    if tcp_socket is None or tcp_socket.fileno() < 0:
        return 0
    return _read_count(tcp_socket, termios.TIOCOUTQ)


def _read_count(tcp_socket: socket.socket, request: int) -> int:
    try:
        count = fcntl.ioctl(tcp_socket.fileno(), request, bytes(4))
    except OSError:
        # Not every system tells.
        return 0
    return int(struct.unpack('i', count)[0])
