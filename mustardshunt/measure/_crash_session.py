"""Simulated sessions in which requests crash backend servers."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from mustardshunt.measure._crash_rules import CrashRule
from mustardshunt.quarantine import Fingerprint, QuarantineDecision

SERVER_COUNT: Final = 4
_DURATION_SECONDS: Final = 8.0
_POISON_START_SECONDS: Final = 2.0
_RESTART_SECONDS: Final = 1.0
_RETRY_PAUSE_SECONDS: Final = 0.1
_RECHECK_INTERVAL_SECONDS: Final = 0.02
# Most attempts of one request, the first one included. The poison request is
# sent again without limit.
_MAX_ATTEMPTS: Final = 5


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """Crashes of a session in addition to the usual load.

    Parameters
    ----------
    name : str
        Name in the table.
    crash_rate : float, default=0.0
        Probability that a run of the poison request crashes its backend
        server; 0 for no poison request.
    is_common : bool, default=False
        Whether one of the common reads becomes the poison request; earlier
        runs of that read ended without a crash.
    kills : tuple of float, default=()
        Times in seconds at which a backend server crashes for another
        reason than a request.
    """

    name: str
    crash_rate: float = 0.0
    is_common: bool = False
    kills: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind, with random arrivals.

    Parameters
    ----------
    name : str
        Fingerprint of the requests, or its prefix.
    rate : float
        Requests per second.
    service_time : float
        Mean duration of a run in seconds.
    is_unique : bool
        Whether each request has its own fingerprint.
    """

    name: str
    rate: float
    service_time: float
    is_unique: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One attempt of a request, with the attempts made so far."""

    fingerprint: Fingerprint
    service_time: float
    arrived: float
    attempts: int = 1


class _Step(NamedTuple):
    time: float
    # Orders steps with the same time: they run in the order of scheduling.
    number: int
    callback: Callable[..., None]
    argument: Any


@dataclass(slots=True)
class SessionCounts:
    """Counts of one session.

    Parameters
    ----------
    offered, answered, lost : int
        Requests sent by the streams, runs that were answered, and requests
        given up after the last attempt.
    crashes : int
        Crashes of backend servers.
    wrongly_refused : int
        Requests other than the poison request that were quarantined.
    waited : int
        Requests that waited before their first run.
    wait : float
        Seconds that these requests waited in total.
    poison_quarantined : bool
        Whether the poison request was quarantined.
    """

    offered: int = 0
    crashes: int = 0
    answered: int = 0
    lost: int = 0
    wrongly_refused: int = 0
    waited: int = 0
    wait: float = 0.0
    poison_quarantined: bool = False


# The slow report has 20 calls in flight, spread over the backend servers. At
# each crash some of these calls run on the backend server that crashes, so the
# report becomes a suspect as well.
STREAMS: Final = (
    *(Stream(f'read-{index}', 70.0, 0.02) for index in range(10)),
    Stream('report', 100.0, 0.2),
    Stream('unique', 300.0, 0.02, is_unique=True),
)
SCENARIOS: Final = (
    CrashScenario('always crashes', 1.0),
    CrashScenario('crashes half the time', 0.5),
    CrashScenario('common read becomes poison', 1.0, is_common=True),
    CrashScenario('no poison, 4 crashes in 1 s', kills=(2.0, 2.3, 2.6, 2.9)),
)
POISON: Final = Fingerprint('poison')


class CrashSession:
    """Simulated session of one scenario with one quarantine rule.

    Parameters
    ----------
    scenario : CrashScenario
        Poison request and other crashes.
    rule : CrashRule
        Rule that decides which requests are quarantined.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, scenario: CrashScenario, rule: CrashRule, seed: int
    ) -> None:
        self.counts = SessionCounts()
        self._scenario = scenario
        self._rule = rule
        self._random = random.Random(seed)
        self._poison = Fingerprint('read-0') if scenario.is_common else POISON
        self._now = 0.0
        self._steps = 0
        self._queue: list[_Step] = []
        self._up_at = [0.0 for _ in range(SERVER_COUNT)]
        self._running: list[dict[int, Call]] = [{} for _ in range(SERVER_COUNT)]

    def run(self) -> SessionCounts:
        """Run the session and return its counts."""
        for stream in STREAMS:
            self._schedule(0.0, self._generate_request, stream)
        for kill in self._scenario.kills:
            self._schedule(kill, self._crash_random_server, None)
        if self._scenario.crash_rate and not self._scenario.is_common:
            call = Call(POISON, 0.02, _POISON_START_SECONDS)
            self._schedule(_POISON_START_SECONDS, self._choose_server, call)
        while self._queue:
            step = heapq.heappop(self._queue)
            if step.time > _DURATION_SECONDS:
                break
            self._now = step.time
            step.callback(step.argument)
        return self.counts

    def _schedule(
        self,
        delay: float,
        callback: Callable[..., None],
        argument: Any,
    ) -> None:
        self._steps += 1
        time = self._now + delay
        heapq.heappush(
            self._queue, _Step(time, self._steps, callback, argument)
        )

    def _generate_request(self, stream: Stream) -> None:
        self.counts.offered += 1
        self._schedule(
            self._random.expovariate(stream.rate),
            self._generate_request,
            stream,
        )
        suffix = f'-{self._steps}' if stream.is_unique else ''
        name = Fingerprint(f'{stream.name}{suffix}')
        self._choose_server(Call(name, stream.service_time, self._now))

    def _choose_server(self, call: Call) -> None:
        ready = [
            server
            for server, up_at in enumerate(self._up_at)
            if up_at <= self._now
        ]
        if ready:
            self._try_start((self._random.choice(ready), call))
        else:
            self._schedule(_RETRY_PAUSE_SECONDS, self._choose_server, call)

    def _try_start(self, server_and_call: tuple[int, Call]) -> None:
        server, call = server_and_call
        if self._up_at[server] > self._now:
            return self._choose_server(call)
        running = self._running[server]
        running_fingerprints = [other.fingerprint for other in running.values()]
        name = call.fingerprint
        decision = self._rule.check(
            server, name, running_fingerprints, self._now
        )
        if decision is QuarantineDecision.QUARANTINED:
            return self._refuse(call)
        if decision is QuarantineDecision.WAIT:
            return self._schedule(
                _RECHECK_INTERVAL_SECONDS, self._try_start, server_and_call
            )
        waited = self._now - call.arrived
        if waited > 0 and call.attempts == 1 and name != POISON:
            self.counts.waited += 1
            self.counts.wait += waited
        self._steps += 1
        running[self._steps] = call
        service_time = self._random.expovariate(1 / call.service_time)
        argument = (server, self._steps)
        return self._schedule(service_time, self._end_run, argument)

    def _refuse(self, call: Call) -> None:
        if call.fingerprint == self._poison and self._scenario.crash_rate:
            self.counts.poison_quarantined = True
        else:
            self.counts.wrongly_refused += 1

    def _end_run(self, server_and_number: tuple[int, int]) -> None:
        server, number = server_and_number
        call = self._running[server].get(number)
        # The backend server has crashed since the call started. The crash ended
        # the call.
        if call is None:
            return
        if self._is_crashing(call):
            self._crash(server)
        else:
            self._running[server].pop(number)
            self._finish(server, call)

    def _is_crashing(self, call: Call) -> bool:
        if (
            call.fingerprint != self._poison
            or self._now < _POISON_START_SECONDS
        ):
            return False
        return self._random.random() < self._scenario.crash_rate

    def _finish(self, server: int, call: Call) -> None:
        self._rule.record_finish(server, call.fingerprint, self._now)
        self.counts.answered += 1
        if call.fingerprint == POISON:
            self._retry(call)

    def _crash_random_server(self, _: None) -> None:
        self._crash(self._random.randrange(0, SERVER_COUNT))

    def _crash(self, server: int) -> None:
        calls = list(self._running[server].values())
        self._running[server] = {}
        self._up_at[server] = self._now + _RESTART_SECONDS
        self.counts.crashes += 1
        names = [call.fingerprint for call in calls]
        self._rule.record_crash(server, names, self._now)
        for call in calls:
            self._retry(call)

    def _retry(self, call: Call) -> None:
        is_poison = call.fingerprint == POISON
        if call.attempts >= _MAX_ATTEMPTS and not is_poison:
            self.counts.lost += 1
            return
        retried = Call(
            call.fingerprint,
            call.service_time,
            self._now + _RETRY_PAUSE_SECONDS,
            call.attempts + 1,
        )
        self._schedule(_RETRY_PAUSE_SECONDS, self._choose_server, retried)
