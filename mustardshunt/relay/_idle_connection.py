"""State by which a connection of a caller gives way to a new one."""

import asyncio
import http

from mustardshunt.relay._acceptor import has_unread
from mustardshunt.relay._caller_memory import CallerMemory
from mustardshunt.relay._request_parser import RequestParser


class IdleConnection(asyncio.Protocol):
    """Connection that can be closed while it is idle, or refused."""

    __slots__ = ('_parser', '_timer_start', '_transport', 'is_idle', 'memory')

    _parser: RequestParser
    _timer_start: float
    _transport: asyncio.Transport | None
    is_idle: bool
    memory: CallerMemory

    @property
    def idle_since(self) -> float | None:
        """Time since which nothing is read, served or sent, None if it is."""
        if self.memory.has_unsent or self._transport is None:
            return None
        return self._timer_start if self.is_idle else None

    def give_way(self) -> bool:
        """Close the connection unless a request has arrived on it."""
        if self._transport is None or has_unread(self._transport):
            return False
        self._transport.close()
        return True

    def refuse(self) -> None:
        """Answer 503 and close the connection, whatever is sent on it."""
        self._parser.error_status = http.HTTPStatus.SERVICE_UNAVAILABLE
