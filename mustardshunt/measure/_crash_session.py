"""Virtual-time sessions in which requests crash backend servers."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from mustardshunt.measure._crash_rules import CrashRule
from mustardshunt.quarantine import Fingerprint, QuarantineDecision

SERVER_COUNT: Final = 4
_DURATION: Final = 8.0
_TRIGGER: Final = 2.0
_RESTART: Final = 1.0
_RESEND: Final = 0.1
_RECHECK: Final = 0.02
# Times that a caller sends a harmless request in all.
_MAX_ATTEMPTS: Final = 5


@dataclass(frozen=True, slots=True)
class CrashScenario:
    """What happens besides the usual load.

    Parameters
    ----------
    name : str
        Name in the table.
    crash_rate : float, default=0.0
        Share of the poison's runs that crash; 0 for no poison.
    is_common : bool, default=False
        Whether the poison is one of the common reads, with their history.
    kills : tuple of float, default=()
        Times at which a backend server ends for another reason.
    """

    name: str
    crash_rate: float = 0.0
    is_common: bool = False
    kills: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one kind.

    Parameters
    ----------
    name : str
        Fingerprint, or the start of it.
    rate : float
        Requests per second.
    service_time : float
        Mean seconds of a run.
    is_unique : bool
        Whether each request has its own fingerprint.
    """

    name: str
    rate: float
    service_time: float
    is_unique: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One request."""

    fingerprint: Fingerprint
    service_time: float
    arrived: float
    attempts: int = 1


class _Step(NamedTuple):
    at: float
    # Orders steps at the same time as they were planned.
    number: int
    action: Callable[..., None]
    subject: Any


@dataclass(slots=True)
class SessionCounts:
    """What a session came to."""

    offered: int = 0
    crashes: int = 0
    answered: int = 0
    lost: int = 0
    wrongly_refused: int = 0
    waited: int = 0
    wait: float = 0.0
    poison_quarantined: bool = False


# The slow report has 20 calls in flight, so one is at every backend server
# whenever it crashes.
STREAMS: Final = (
    *(Stream(f'read-{index}', 70.0, 0.02) for index in range(10)),
    Stream('report', 100.0, 0.2),
    Stream('unique', 300.0, 0.02, is_unique=True),
)
SCENARIOS: Final = (
    CrashScenario('always crashes', 1.0),
    CrashScenario('crashes half the time', 0.5),
    CrashScenario('common read turns', 1.0, is_common=True),
    CrashScenario('no culprit, 4 ends in 1 s', kills=(2.0, 2.3, 2.6, 2.9)),
)
POISON: Final = Fingerprint('poison')


class CrashSession:
    """One session of one scenario with one rule.

    Parameters
    ----------
    scenario : CrashScenario
        What happens.
    rule : CrashRule
        Rule under test.
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
            self._after(0.0, self._emit, stream)
        for kill in self._scenario.kills:
            self._after(kill, self._kill, None)
        if self._scenario.crash_rate and not self._scenario.is_common:
            call = Call(POISON, 0.02, _TRIGGER)
            self._after(_TRIGGER, self._arrive, call)
        while self._queue:
            step = heapq.heappop(self._queue)
            if step.at > _DURATION:
                break
            self._now = step.at
            step.action(step.subject)
        return self.counts

    def _after(
        self,
        delay: float,
        action: Callable[..., None],
        subject: Any,
    ) -> None:
        self._steps += 1
        at = self._now + delay
        heapq.heappush(self._queue, _Step(at, self._steps, action, subject))

    def _emit(self, stream: Stream) -> None:
        self.counts.offered += 1
        self._after(self._random.expovariate(stream.rate), self._emit, stream)
        suffix = f'-{self._steps}' if stream.is_unique else ''
        name = Fingerprint(f'{stream.name}{suffix}')
        self._arrive(Call(name, stream.service_time, self._now))

    def _arrive(self, call: Call) -> None:
        ready = [
            upstream
            for upstream, up_at in enumerate(self._up_at)
            if up_at <= self._now
        ]
        if ready:
            self._offer((self._random.choice(ready), call))
        else:
            self._after(_RESEND, self._arrive, call)

    def _offer(self, offer: tuple[int, Call]) -> None:
        upstream, call = offer
        if self._up_at[upstream] > self._now:
            return self._arrive(call)
        running = self._running[upstream]
        beside = [other.fingerprint for other in running.values()]
        name = call.fingerprint
        verdict = self._rule.check(upstream, name, beside, self._now)
        if verdict is QuarantineDecision.QUARANTINED:
            return self._refuse(call)
        if verdict is QuarantineDecision.WAIT:
            return self._after(_RECHECK, self._offer, offer)
        waited = self._now - call.arrived
        if waited > 0 and call.attempts == 1 and name != POISON:
            self.counts.waited += 1
            self.counts.wait += waited
        self._steps += 1
        running[self._steps] = call
        service_time = self._random.expovariate(1 / call.service_time)
        subject = (upstream, self._steps)
        return self._after(service_time, self._end, subject)

    def _refuse(self, call: Call) -> None:
        if call.fingerprint == self._poison and self._scenario.crash_rate:
            self.counts.poison_quarantined = True
        else:
            self.counts.wrongly_refused += 1

    def _end(self, subject: tuple[int, int]) -> None:
        upstream, number = subject
        call = self._running[upstream].get(number)
        # A crash has ended the call already.
        if call is None:
            return
        if self._crashes_now(call):
            self._crash(upstream)
        else:
            self._running[upstream].pop(number)
            self._finish(upstream, call)

    def _crashes_now(self, call: Call) -> bool:
        if call.fingerprint != self._poison or self._now < _TRIGGER:
            return False
        return self._random.random() < self._scenario.crash_rate

    def _finish(self, upstream: int, call: Call) -> None:
        self._rule.record_finish(upstream, call.fingerprint, self._now)
        self.counts.answered += 1
        if call.fingerprint == POISON:
            self._resend(call)

    def _kill(self, _: None) -> None:
        self._crash(self._random.randrange(0, SERVER_COUNT))

    def _crash(self, upstream: int) -> None:
        calls = list(self._running[upstream].values())
        self._running[upstream] = {}
        self._up_at[upstream] = self._now + _RESTART
        self.counts.crashes += 1
        names = [call.fingerprint for call in calls]
        self._rule.record_crash(upstream, names, self._now)
        for call in calls:
            self._resend(call)

    def _resend(self, call: Call) -> None:
        is_poison = call.fingerprint == POISON
        if call.attempts >= _MAX_ATTEMPTS and not is_poison:
            self.counts.lost += 1
            return
        again = Call(
            call.fingerprint,
            call.service_time,
            self._now + _RESEND,
            call.attempts + 1,
        )
        self._after(_RESEND, self._arrive, again)
