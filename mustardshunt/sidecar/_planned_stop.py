"""Steps of a planned stop, and the time that each of them takes."""

import asyncio
import math
from typing import Final

from mustardshunt.base import Clock
from mustardshunt.observability import EventLog
from mustardshunt.relay import HttpServer
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._ingress import Ingress
from mustardshunt.sidecar._lifecycle import SidecarLifecycle
from mustardshunt.sidecar._peer_server import PeerServer

# Time for which a stopping node still serves new requests. Callers notice the
# stop within two readiness checks, which are a second apart.
DRAIN_SECONDS: Final = 2.6
# Largest part of the grace time for which new requests are served. The rest is
# left for requests that are being served then.
DRAIN_GRACE_FRACTION: Final = 0.5
# Time reserved for the exit of the process, at the end of the grace time. The
# process is killed when the grace time is over.
EXIT_RESERVE_SECONDS: Final = 0.3
# Longest wait for other nodes to read the last results. A peer that has ended
# or can't be reached never reads them.
END_LINKS_SECONDS: Final = 1.0
# Identifiers in the log line of requests that a stop cuts.
MAX_LOGGED_REQUESTS: Final = 100
_STOP_CHECK_SECONDS: Final = 0.05


class PlannedStop:
    """Serves, then refuses new requests, and waits for those in progress.

    The platform kills the process when the grace time after its signal is over.

    Parameters
    ----------
    grace : float
        Seconds from a signal to stop until the process is killed.
    lifecycle : SidecarLifecycle
        State of the node, which callers see in its readiness.
    callers : HttpServer
        Connections of callers.
    ingress : Ingress
        Serves or refuses the requests of callers.
    callee : Callee
        Runs calls of other nodes at the backend server.
    peers : PeerServer
        Links on which the results of these calls are sent.
    log : EventLog
        Log of the stop.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        grace: float,
        lifecycle: SidecarLifecycle,
        callers: HttpServer,
        ingress: Ingress,
        callee: Callee,
        peers: PeerServer,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self._grace = grace
        self._lifecycle = lifecycle
        self._callers = callers
        self._ingress = ingress
        self._callee = callee
        self._peers = peers
        self._log = log
        self._clock = clock
        self._asked_at = math.inf
        # Time by which the process must have ended, infinite while unknown.
        self.exit_deadline = math.inf

    def expect_kill(self) -> None:
        """Note that the process is killed when the grace time is over."""
        self._asked_at = min(self._asked_at, self._clock.now())
        self._limit_deadline()

    def set_grace(self, grace: float) -> None:
        """Use another grace time; a stop that has begun never gets more time.

        Parameters
        ----------
        grace : float
            Seconds from a signal to stop until the process is killed.
        """
        self._grace = grace
        self._limit_deadline()

    async def run(self) -> None:
        """Stop serving; return when the process may end."""
        self._lifecycle.drain()
        self._log.record(
            'stop', self._clock.now(), in_flight=self._callee.in_flight()
        )
        self._callers.is_closing = True
        self._callee.is_leaving = True
        self._callee.publish_status()
        await asyncio.sleep(
            min(DRAIN_SECONDS, self._grace * DRAIN_GRACE_FRACTION)
        )
        # New requests get 503 from here on. The listening socket stays open:
        # closing it would reset the connections that wait to be accepted.
        self._lifecycle.leave()
        self._ingress.is_stopped = True
        self._callers.close_idle()
        while self._clock.now() < self.exit_deadline and self._is_busy():
            await asyncio.sleep(_STOP_CHECK_SECONDS)
            self._callers.close_idle()
        if self._is_busy():
            self._log_cut()
        await self._peers.end_links(
            min(END_LINKS_SECONDS, self.exit_deadline - self._clock.now())
        )

    def _log_cut(self) -> None:
        """Log what ends without a complete answer."""
        request_ids = self._ingress.unanswered_ids()
        self._log.record(
            'stop-cut',
            self._clock.now(),
            requests=request_ids[:MAX_LOGGED_REQUESTS],
            unanswered=len(request_ids),
            connections=self._callers.active_requests(),
            calls=self._callee.in_flight(),
            has_unsent_results=self._peers.has_unsent(),
        )

    def _limit_deadline(self) -> None:
        kill_at = self._asked_at + self._grace
        self.exit_deadline = min(
            self.exit_deadline, kill_at - EXIT_RESERVE_SECONDS
        )

    def _is_busy(self) -> bool:
        return bool(
            self._callers.active_requests()
            or self._callee.in_flight()
            or self._peers.has_unsent()
            or self._peers.has_arriving()
        )
