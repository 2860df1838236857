"""Compares how many links a node keeps, and how it chooses a member.

Nodes call one service in virtual time. The members differ in speed, and the
callers know the load of a member only from its results.
"""

import heapq
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from mustardshunt.base import VmAddress
from mustardshunt.load_balancing import (
    LinkPlan,
    LoadBalancer,
    Member,
    MemberLoad,
)
from mustardshunt.upstream import BackendServerStatus, ServerPhase

DATA_CENTRES: Final = ('a', 'b', 'c', 'd', 'e')
SPEEDS: Final = (0.5, 1.0, 1.0, 1.5)
SLOTS: Final = 16
SERVICE: Final = 'called'
SERVICE_SECONDS: Final = 0.1
UTILISATION: Final = 0.8
CALLED_FRACTION: Final = 0.44
SECONDS: Final = 4.0
SIZES: Final = (30, 195, 940)
# With more members, the loads that all callers keep do not fit into memory.
MAX_NODES_LINKED_TO_ALL: Final = 195

_Choice = Callable[['_Caller', float], MemberLoad | None]


@dataclass(frozen=True, slots=True)
class SubsetVariant:
    """Way to choose the members to which a node keeps links, and one of them.

    Parameters
    ----------
    name : str
        Name in the table.
    size : int or None
        Members to which a node keeps links, None for all of them.
    choose : callable
        Chooses the member for a call.
    """

    name: str
    size: int | None
    choose: _Choice


@dataclass(slots=True)
class _Server:
    """Backend server of a member, with a queue in order of arrival."""

    speed: float
    running: int = 0
    busy_seconds: float = 0.0
    queue: deque['_Call'] = field(default_factory=deque)


@dataclass(slots=True)
class _Call:
    caller: '_Caller'
    load: MemberLoad
    started_at: float


class _Caller:
    """Node that calls the service, with its own balancer and plan."""

    def __init__(
        self, member: Member, members: dict[str, Member], size: int | None
    ) -> None:
        self.random = random.Random(member.name)
        self.balancer = LoadBalancer(
            member.name, member.data_centre, self.random
        )
        known = members
        if size is not None:
            plan = LinkPlan(member.name, member.data_centre, size)
            plan.set_members(members)
            plan.use_service(SERVICE, 0.0)
            known = {name: members[name] for name in plan.names}
        self.balancer.set_members(known.values())
        self.names = [name for name in known if known[name].service == SERVICE]
        for name in self.names:
            self.balancer.update_status(
                name,
                BackendServerStatus(ServerPhase.READY, False, 0, SLOTS, 9.0),
            )


def choose_least_cost(caller: _Caller, now: float) -> MemberLoad | None:
    """Choose the member with the lowest cost of all to which links exist."""
    return caller.balancer.choose(SERVICE, (), now)


def choose_of_two(caller: _Caller, now: float) -> MemberLoad | None:
    """Choose the cheaper one of two random members."""
    excluded = set(caller.names)
    excluded.difference_update(
        caller.random.sample(caller.names, min(2, len(caller.names)))
    )
    return caller.balancer.choose(SERVICE, excluded, now)


VARIANTS: Final = (
    SubsetVariant('4, least cost', 4, choose_least_cost),
    SubsetVariant('8, least cost', 8, choose_least_cost),
    SubsetVariant('8, two random', 8, choose_of_two),
    SubsetVariant('12, least cost', 12, choose_least_cost),
    SubsetVariant('all, least cost', None, choose_least_cost),
    SubsetVariant('all, two random', None, choose_of_two),
)


@dataclass(frozen=True, slots=True)
class SubsetResult:
    """Figures of one simulated run.

    Parameters
    ----------
    links : float
        Mean number of links of a node to the service.
    peak_ratio : float
        Utilisation of the busiest member over the mean of all members.
    p99_ratio : float
        99th percentile of the latency over the mean service time.
    choice_us : float
        Microseconds of processor time for a choice.
    """

    links: float
    peak_ratio: float
    p99_ratio: float
    choice_us: float


class SubsetSimulation:
    """Calls from all nodes of a deployment to one service.

    Parameters
    ----------
    count : int
        Nodes of the deployment.
    variant : SubsetVariant
        Links and choice.
    seed : int
        Seed of arrivals and service times.
    """

    def __init__(self, count: int, variant: SubsetVariant, seed: int) -> None:
        self._random = random.Random(seed)
        self._variant = variant
        members = _make_members(count)
        self._server_by_name = {
            name: _Server(SPEEDS[number % len(SPEEDS)])
            for number, name in enumerate(members)
            if members[name].service == SERVICE
        }
        self._callers = [
            _Caller(member, members, variant.size)
            for member in members.values()
        ]
        self._latencies: list[float] = []
        self._choice_seconds = 0.0
        self._ends: list[tuple[float, int, _Call]] = []
        self._sequence = 0

    def run(self) -> SubsetResult:
        """Simulate all arrivals and return the figures."""
        for now in self._arrivals():
            while self._ends and self._ends[0][0] <= now:
                self._finish()
            caller = self._random.choice(self._callers)
            before = time.process_time()
            load = self._variant.choose(caller, now)
            self._choice_seconds += time.process_time() - before
            if load is None:
                continue
            caller.balancer.record_start(load)
            self._start(_Call(caller, load, now), now)
        return self._result()

    def _arrivals(self) -> Iterator[float]:
        servers = self._server_by_name.values()
        capacity = sum(server.speed for server in servers) * SLOTS
        rate = UTILISATION * capacity / SERVICE_SECONDS
        now = 0.0
        while now < SECONDS:
            now += self._random.expovariate(rate)
            yield now

    def _start(self, call: _Call, now: float) -> None:
        server = self._server_by_name[call.load.member.name]
        if server.running >= SLOTS:
            server.queue.append(call)
            return
        server.running += 1
        seconds = self._random.expovariate(server.speed / SERVICE_SECONDS)
        server.busy_seconds += seconds
        self._sequence += 1
        heapq.heappush(self._ends, (now + seconds, self._sequence, call))

    def _finish(self) -> None:
        now, _, call = heapq.heappop(self._ends)
        server = self._server_by_name[call.load.member.name]
        server.running -= 1
        if server.queue:
            self._start(server.queue.popleft(), now)
        latency = now - call.started_at
        self._latencies.append(latency)
        balancer = call.caller.balancer
        balancer.record_end(call.load, 'route', latency, False, now)
        in_flight = server.running + len(server.queue)
        balancer.update_load(call.load, in_flight, 9.0)

    def _result(self) -> SubsetResult:
        busy = [server.busy_seconds for server in self._server_by_name.values()]
        self._latencies.sort()
        p99 = self._latencies[int(len(self._latencies) * 0.99)]
        links = [len(caller.names) for caller in self._callers]
        return SubsetResult(
            sum(links) / len(links),
            max(busy) * len(busy) / sum(busy),
            p99 / SERVICE_SECONDS,
            self._choice_seconds * 1e6 / max(1, len(self._latencies)),
        )


def _make_members(count: int) -> dict[str, Member]:
    called = round(count * CALLED_FRACTION)
    members = {}
    for number in range(count):
        name = f'n{number}'
        members[name] = Member(
            name,
            f'{name}-1',
            SERVICE if number < called else 'other',
            DATA_CENTRES[number // 7 % len(DATA_CENTRES)],
            VmAddress(f'10.0.{number // 250}.{number % 250}', 1),
        )
    return members


def main() -> None:
    """Print a table line for each size and variant."""
    sys.stdout.write(
        '| Nodes | Links, choice | Links a node | Busiest/mean | p99/mean '
        'service time | Choice, us |\n'
    )
    for count in SIZES:
        for variant in VARIANTS:
            if variant.size is None and count > MAX_NODES_LINKED_TO_ALL:
                continue
            result = SubsetSimulation(count, variant, seed=1).run()
            sys.stdout.write(
                f'| {count} | {variant.name} | {result.links:.1f} '
                f'| {result.peak_ratio:.2f} | {result.p99_ratio:.1f} '
                f'| {result.choice_us:.0f} |\n'
            )


if __name__ == '__main__':
    main()
