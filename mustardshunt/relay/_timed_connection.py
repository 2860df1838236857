"""Ends connections of callers that are idle, or that make no progress."""

import asyncio
import http

from mustardshunt.connections import (
    ProgressLimits,
    Stage,
    Transfer,
    is_late,
)
from mustardshunt.policy import RequestLimits
from mustardshunt.relay._idle_connection import IdleConnection


class TimedConnection(IdleConnection):
    """Connection whose transfers are subject to the rule of slow clients."""

    __slots__ = ('_received_at', '_wake')

    _received_at: float
    # Set while the connection's task waits for a request.
    _wake: asyncio.Future[None] | None

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self._transport is None or self.memory.has_unsent:
            return
        if self.is_idle:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def check_timeouts(self, now: float, limits: RequestLimits) -> None:
        """Close an idle connection, or one whose caller makes no progress.

        Parameters
        ----------
        now : float
            Time of the event loop in seconds.
        limits : RequestLimits
            Limits that apply now.
        """
        self.memory.charge_unread()
        if self.is_idle and now - self._timer_start > limits.idle_timeout:
            self.close_if_idle()
        transfer = self.transfer(now)
        if transfer is None:
            return
        progress = ProgressLimits(limits.header_timeout, limits.idle_timeout)
        if is_late(transfer, now, progress):
            self._end_transfer(transfer, http.HTTPStatus.REQUEST_TIMEOUT)

    def transfer(self, now: float) -> Transfer | None:
        """Return the answer or request whose progress counts, if any does.

        A request counts when all requests before it have been answered.
        """
        sending = self.memory.sending(now)
        if sending is not None or self.is_idle:
            return sending
        if self._wake is None or not self._parser.is_receiving:
            return None
        return self.memory.receiving(self._timer_start, self._received_at)

    def end_slow(self, now: float) -> None:
        """Give way, since the caller is slow and others need the room."""
        transfer = self.transfer(now)
        if transfer is not None:
            self._end_transfer(transfer, http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _end_transfer(
        self, transfer: Transfer, status: http.HTTPStatus
    ) -> None:
        if transfer.stage is Stage.ANSWER:
            self.abort()
            return
        self._parser.refuse(status)
        self.memory.charge_request()
        self._wake_task()

    def _wake_task(self) -> None:
        """Wake the task if it waits for a request."""
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)
