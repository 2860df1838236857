"""A chain of services in virtual time, over the real gates.

Requests enter at a first service, whose runs call the next one, down to a
service at which each chain makes several calls one after the other. Entry
nodes refuse by the cutoff; callers that are refused come back once.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from mustardshunt.base import Reason
from mustardshunt.policy import ServicePolicy
from mustardshunt.upstream import (
    AdmissionDecision,
    AdmissionRequest,
    BackendGate,
    DequeuedCalls,
    Heartbeat,
    ServerPhase,
    make_backend_gate,
)

# As of the sidecar: part of the latency target for which a call may wait.
PATIENCE = 0.25
CONTINUATION_PATIENCE = 0.6
REVIEW_SECONDS = 0.1
TICK_SECONDS = 0.02
HOP_SECONDS = 0.002
RANKS = 3
# Backend servers near their number of slots are slower by this factor.
KNEE_SLOWNESS = 1.3
KNEE = 0.95
CALLER_RETURNS = 0.4
# Part of the calls turned away that are sent to another server.
SENT_AGAIN = 0.15


@dataclass(frozen=True)
class Step:
    """Calls that a run makes one after the other."""

    kind: str
    times: int = 1


@dataclass(frozen=True)
class Kind:
    """A kind of request or call."""

    service: str
    position: int
    work: float
    objective: float
    deadline: float
    timeout: float
    per_second: float = 0.0
    calls: tuple[Step, ...] = ()
    # Whether the calls are made while the run's own work goes on.
    is_parallel: bool = False


@dataclass
class Server:
    service: str
    slots: int
    speed: float
    gate: BackendGate
    is_open: bool = True
    cutoff: float = float(RANKS)
    done_by_key: dict[int, Callable[[bool], None]] = field(default_factory=dict)
    work_by_key: dict[int, Callable[[], None]] = field(default_factory=dict)


@dataclass
class RequestCounts:
    asked: int = 0
    in_time: int = 0


class ChainSimulation:
    """Plays one deployment; everything follows from the seed."""

    def __init__(
        self,
        kinds: dict[str, Kind],
        slots_by_service: dict[str, tuple[int, tuple[float, ...]]],
        seed: int,
    ) -> None:
        self.now = 0.0
        self.kinds = kinds
        self.random = random.Random(seed)
        self.servers: dict[str, list[Server]] = {}
        self.tallies: dict[tuple[str, int], RequestCounts] = {}
        self.rate_factor = 1.0
        self._has_cutoffs = True
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._keys = itertools.count()
        for service, (slots, speeds) in slots_by_service.items():
            self.servers[service] = [
                self._make_server(service, slots, speed) for speed in speeds
            ]
        self._called = self._services_called()

    def disable_cutoffs(self) -> None:
        """Let entry nodes accept all ranks, whatever the gates tell."""
        self._has_cutoffs = False

    def _make_server(self, service: str, slots: int, speed: float) -> Server:
        gate = make_backend_gate(1000.0)
        gate.set_service(ServicePolicy(service, '/', 10000, 0.0, 0.0))
        gate.cutoff.set_rank_count(RANKS)
        report = Heartbeat('i', 1, 1, ServerPhase.READY, slots, 0.0)
        gate.record_heartbeat(report, 0.0)
        return Server(service, slots, speed, gate)

    def _services_called(self) -> dict[str, set[str]]:
        called: dict[str, set[str]] = {name: set() for name in self.servers}
        for kind in self.kinds.values():
            for step in kind.calls:
                called[kind.service].add(self.kinds[step.kind].service)
        return called

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(self, until: float) -> None:
        for name, kind in self.kinds.items():
            if kind.per_second:
                self.at(self.now, functools.partial(self._arrive, name))
        self.at(self.now, self._tick)
        self.at(self.now, self._review)
        while self._events and self._events[0][0] < until:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def in_time_ratio(self, name: str, start: float, end: float) -> float:
        """Return the part of the requests of a kind answered in time."""
        found = [
            tally
            for (kind, second), tally in self.tallies.items()
            if kind == name and start <= second < end
        ]
        asked = sum(tally.asked for tally in found)
        return sum(tally.in_time for tally in found) / max(1, asked)

    def set_open(self, service: str, count: int) -> None:
        """Let only the first servers of a service take calls."""
        for index, server in enumerate(self.servers[service]):
            server.is_open = index < count

    def _arrive(self, name: str) -> None:
        kind = self.kinds[name]
        rate = kind.per_second * self.rate_factor
        gap = self.random.expovariate(rate)
        self.at(self.now + gap, lambda: self._arrive(name))
        tally = self.tallies.setdefault((name, int(self.now)), RequestCounts())
        tally.asked += 1
        self._ask(name, self.now, tally, tries=2)

    def _ask(
        self, name: str, began: float, tally: RequestCounts, tries: int
    ) -> None:
        kind = self.kinds[name]

        until = min(began + kind.deadline, self.now + kind.timeout)

        def done(is_served: bool) -> None:
            passed = self.now - began
            if is_served and passed <= kind.objective:
                tally.in_time += 1
            was_refused = not is_served and self.now < until
            if not was_refused or tries <= 1:
                return
            pause = kind.objective * CALLER_RETURNS
            pause *= 0.75 + self.random.random() / 2
            self.at(
                self.now + pause,
                lambda: self._ask(name, began, tally, tries - 1),
            )

        server = self._choose(kind.service)
        if server is None:
            done(False)
            return
        if kind.position + self.random.random() >= server.cutoff:
            done(False)
            return
        self._call(server, kind, False, until, done)

    def _choose(self, service: str) -> Server | None:
        servers = [one for one in self.servers[service] if one.is_open]
        if not servers:
            return None

        def cost(server: Server) -> float:
            load = server.gate.running_calls + server.gate.queued_calls
            return load / server.slots + 0.06 * self.random.random()

        return min(servers, key=cost)

    def _call(
        self,
        server: Server,
        kind: Kind,
        is_continuation: bool,
        until: float,
        done: Callable[[bool], None],
        tries: int = 2,
    ) -> None:
        until = min(until, self.now + kind.timeout)
        part = CONTINUATION_PATIENCE if is_continuation else PATIENCE
        patience = self.now + part * kind.objective
        ticket = AdmissionRequest(
            next(self._keys), kind.position, is_continuation, 'o', patience
        )

        def finished(is_served: bool) -> None:
            self.at(self.now + HOP_SECONDS, lambda: done(is_served))

        def refused() -> None:
            if tries <= 1 or self.random.random() > SENT_AGAIN:
                finished(False)
                return
            other = self._choose(server.service)
            if other is None:
                finished(False)
                return
            self._call(other, kind, is_continuation, until, done, tries - 1)

        server.done_by_key[ticket.key] = lambda ran: (
            finished(True) if ran else refused()
        )
        server.work_by_key[ticket.key] = lambda: self._work(
            server, ticket, kind, until, finished
        )
        verdict = server.gate.admit(ticket, self.now)
        if isinstance(verdict, Reason):
            server.done_by_key.pop(ticket.key)
            refused()
        elif verdict is AdmissionDecision.STARTED:
            server.work_by_key.pop(ticket.key)()

    def _work(
        self,
        server: Server,
        ticket: AdmissionRequest,
        kind: Kind,
        until: float,
        finished: Callable[[bool], None],
    ) -> None:
        work = kind.work / server.speed * self.random.uniform(0.5, 1.5)
        if server.gate.running_calls >= KNEE * server.slots:
            work *= KNEE_SLOWNESS
        steps = [step.kind for step in kind.calls for _ in range(step.times)]
        started = self.now

        def end(is_served: bool) -> None:
            # A run stops at its deadline, and its answer comes too late.
            is_served = is_served and self.now <= until
            change = server.gate.release(ticket.key, self.now)
            finished(is_served)
            self._apply(server, change)

        def advance(is_served: bool) -> None:
            if not is_served or self.now > until:
                end(False)
                return
            if not steps:
                rest = started + work - self.now if kind.is_parallel else 0
                self.at(self.now + max(0.0, rest), lambda: end(True))
                return
            called = self.kinds[steps.pop()]
            target = self._choose(called.service)
            if target is None:
                end(False)
                return
            self._call(target, called, True, until, advance)

        if steps and kind.is_parallel:
            advance(True)
        else:
            self.at(self.now + work, lambda: advance(True))

    def _apply(self, server: Server, change: DequeuedCalls) -> None:
        for turned in change.refused:
            server.work_by_key.pop(turned.request.key, None)
            server.done_by_key.pop(turned.request.key)(False)
        for ticket in change.started:
            server.work_by_key.pop(ticket.key)()

    def _tick(self) -> None:
        for servers in self.servers.values():
            for server in servers:
                self._apply(server, server.gate.tick(self.now))
        self.at(self.now + TICK_SECONDS, self._tick)

    def _review(self) -> None:
        # Each node learns what its callees told before the last review.
        told = {
            service: [one.cutoff for one in servers if one.is_open]
            for service, servers in self.servers.items()
        }
        for service, servers in self.servers.items():
            below = [
                sum(told[called]) / len(told[called])
                for called in self._called[service]
                if told[called]
            ]
            for server in servers:
                server.gate.adjust_cutoff(self.now)
                lowest = min([server.gate.cutoff.value, *below])
                if self._has_cutoffs:
                    server.cutoff = lowest
        self.at(self.now + REVIEW_SECONDS, self._review)


def make_stock_simulation(seed: int) -> ChainSimulation:
    """A catalogue, a booking and a stock service, as deep as letters ask."""
    kinds = {
        # The route's timeout leaves little room for waiting along the chain.
        'browse': Kind(
            'catalogue', 2, 0.16, 1.5, 6.0, 1.0, 75.0, (Step('ledger'),), True
        ),
        'booking': Kind(
            'stage', 0, 0.21, 2.0, 6.0, 1.0, 33.0, (Step('fees'),), True
        ),
        'payment': Kind('desk', 0, 0.11, 0.3, 1.2, 1.2, 22.0),
        'check': Kind('stock', 1, 0.064, 0.2, 0.8, 0.8, 28.0),
        'ledger': Kind('stage', 0, 0.015, 1.2, 3.0, 3.0, 0, (Step('fees'),)),
        'fees': Kind('desk', 0, 0.015, 1.2, 2.5, 2.5, 0, (Step('lookup', 5),)),
        'lookup': Kind('stock', 0, 0.04, 0.3, 0.7, 0.7),
    }
    slots = {
        'catalogue': (44, (0.7, 0.7, 1.6, 0.7)),
        'stage': (44, (0.5, 1.0, 1.0, 1.5)),
        'desk': (44, (0.5, 1.0, 1.0, 1.5)),
        'stock': (13, (1.0, 0.6, 1.4, 1.0)),
    }
    return ChainSimulation(kinds, slots, seed)


def weighted_goodput(world: ChainSimulation, start: float, end: float) -> float:
    """Return the part of what is owed that was earned, by importance."""
    weights = {'browse': 1.0, 'booking': 3.0, 'payment': 3.0, 'check': 2.0}
    owed = 0.0
    earned = 0.0
    for name, weight in weights.items():
        per_second = world.kinds[name].per_second * weight
        owed += per_second
        earned += per_second * world.in_time_ratio(name, start, end)
    return earned / owed
