"""Asks the backend server for its state when the node starts."""

import asyncio
from typing import Final

from mustardshunt.base import Clock
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
from mustardshunt.relay import (
    AnswerHead,
    BackendAnswer,
    BackendConnectionPool,
    BackendOutcome,
)
from mustardshunt.sidecar._backend_server_reports import BackendServerReports
from mustardshunt.sidecar._ports import HeaderCodec, ServerHealth
from mustardshunt.upstream import Heartbeat, LivenessTracker, ServerPhase

# Calls that may run at a backend server whose slots are not known yet: fewer
# than any known service has, so that none is rejected or left without answer.
START_SLOTS: Final = 8
# Sequence number below that of any heartbeat, so that each one counts as newer.
_SEQUENCE: Final = -1
# Checks and pauses between them. The next heartbeat usually arrives before the
# last check, and a check takes a slot of the backend server.
MAX_CHECKS: Final = 5
PAUSE_SECONDS: Final = 0.2
TIMEOUT_SECONDS: Final = 0.5


class _Check:
    """Health check that is sent like a call."""

    expects_body = True

    def __init__(self, path: str, host: str) -> None:
        self._path = path
        self._host = host
        loop = asyncio.get_running_loop()
        self.outcome: asyncio.Future[BackendOutcome] = loop.create_future()

    def render(self) -> bytes:
        """Return the bytes of the HTTP request."""
        return (
            f'GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\n\r\n'.encode()
        )

    def matches(self, head: AnswerHead) -> bool:
        """Accept any answer: the connection has carried no other request."""
        return True

    def finish(self, outcome: BackendOutcome) -> None:
        """Store the outcome of the check."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class StartCheck:
    """Opens the gate of a restarted node before the next heartbeat.

    A backend server that goes on running sends its next heartbeat up to one
    interval after the start of its node. Until then, the node would refuse all
    calls. The check replaces the first heartbeat only: it names the process and
    its cold start, and the gate admits ``START_SLOTS`` calls until a heartbeat
    tells the slots.

    Parameters
    ----------
    service : str
        Service of the backend server.
    liveness : LivenessTracker
        Knows whether a heartbeat has arrived.
    registry : PolicyRegistry
        Registry of the active policy, which has the path of the check.
    pool : BackendConnectionPool
        Connections to the backend server.
    codec : HeaderCodec
        Reads the answer.
    reports : BackendServerReports
        Applies what the check tells.
    log : EventLog
        Log of the outcome.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        service: str,
        liveness: LivenessTracker,
        registry: PolicyRegistry,
        pool: BackendConnectionPool,
        codec: HeaderCodec,
        reports: BackendServerReports,
        log: EventLog,
        clock: Clock,
    ) -> None:
        self._service = service
        self._liveness = liveness
        self._registry = registry
        self._pool = pool
        self._codec = codec
        self._reports = reports
        self._log = log
        self._clock = clock
        self._has_policy = asyncio.Event()

    def begin(self) -> None:
        """Start to check: a policy is known now."""
        self._has_policy.set()

    async def run(self) -> None:
        """Check until the state is known, then wait to be cancelled."""
        await self._has_policy.wait()
        for _ in range(MAX_CHECKS):
            if self._liveness.current is not None:
                break
            health = await self._ask()
            if health is not None and self._liveness.current is None:
                self._apply(health)
                break
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.get_running_loop().create_future()

    async def _ask(self) -> ServerHealth | None:
        active_policy = self._registry.active
        if active_policy is None:
            return None
        service = active_policy.policy.service_by_name.get(self._service)
        if service is None:
            return None
        check = _Check(service.health_path, str(self._pool.address))
        connection = self._pool.submit(check)
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                outcome = await check.outcome
        except TimeoutError:
            return None
        finally:
            connection.cancel(check)
        if not isinstance(outcome, BackendAnswer):
            return None
        return self._codec.read_health(outcome.status, outcome.raw_headers)

    def _apply(self, health: ServerHealth) -> None:
        self._log.record(
            'start-check',
            self._clock.now(),
            instance=health.instance,
            cold_for=health.cold_for,
        )
        self._reports.handle_heartbeat(
            Heartbeat(
                health.instance,
                None,
                _SEQUENCE,
                ServerPhase.READY,
                START_SLOTS,
                health.cold_for,
            )
        )
