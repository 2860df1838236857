"""Runs one soak test: starts callers, injects faults, checks invariants."""

import asyncio
import itertools
import random
import signal
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeAlias

from mustardshunt.standin.soak._callers import Caller
from mustardshunt.standin.soak._fleet import (
    CAP_BURST,
    CAP_RATE,
    CAPPED_ORGANISATION,
    CRASH_MARKER,
    KEY_PREFIX,
    SoakFleet,
    SoakNode,
)
from mustardshunt.standin.soak._invariants import (
    CONFIG_APPLY_SECONDS,
    STABLE_WINDOW_SECONDS,
    Violation,
)
from mustardshunt.standin.soak._proxy import ConnectionFault

CALLERS_PER_NODE: Final = 3
# Longest time that the processes may take to start on a busy machine.
START_TIMEOUT_SECONDS: Final = 30.0
# After the last fault, all nodes must serve again within this time. The rules
# of the platform require this.
RECOVERY_TIMEOUT_SECONDS: Final = 15.0
MAX_FAULT_GAP_SECONDS: Final = 0.8
MAX_FAULT_SECONDS: Final = 3.0
# Request that crashes backend servers after all faults have ended, and for how
# long it is repeated.
LAST_REQUEST: Final = 'last'
LAST_REQUEST_SECONDS: Final = 8.0

_Fault: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """Parameters of one soak test.

    Parameters
    ----------
    seed : int
        Seed of the random faults and requests. The exact timing still differs
        between runs with the same seed.
    nodes : int
        Number of nodes.
    seconds : float
        Seconds during which new faults begin.
    has_announcements : bool
        Whether backend servers also announce limits and their leaving in their
        answers. Without them, a seed draws the same faults as before they were
        added.
    has_incidents : bool
        Whether requests crash backend servers, and the store comes back from
        copies; without them, as for ``has_announcements``.
    """

    seed: int
    nodes: int = 3
    seconds: float = 20.0
    has_announcements: bool = False
    has_incidents: bool = False


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Result of one soak test.

    Parameters
    ----------
    violations : tuple of Violation
        Violations of the invariants.
    faults : tuple of str
        Injected faults in order, each with its time in seconds since the
        first one.
    statuses : dict of int to int
        Number of replies by HTTP status, 0 for failed connections.
    directory : Path
        Directory of the settings and logs of the nodes.
    """

    violations: tuple[Violation, ...]
    faults: tuple[str, ...]
    statuses: dict[int, int]
    directory: Path


class FaultInjector:
    """Injects random faults, which may overlap.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet into which faults are injected.
    source : random.Random
        Source of the random choice of faults.
    plan : SoakPlan
        Kinds of faults.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        source: random.Random,
        plan: SoakPlan,
    ) -> None:
        self._plan = plan
        self._fleet = fleet
        self._random = source
        self._tasks: list[asyncio.Task[None]] = []
        self.fault_log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin faults for some seconds, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() < started_at + seconds:
            name, fault = self._draw_fault()
            self.fault_log.append(f'{loop.time() - started_at:.2f} {name}')
            self._tasks.append(asyncio.create_task(fault(), name=name))
            await asyncio.sleep(MAX_FAULT_GAP_SECONDS * self._random.random())
        await asyncio.gather(*self._tasks)
        for node in self._fleet.nodes:
            node.clear_faults()
        self._fleet.store.is_down = False

    def _draw_fault(self) -> tuple[str, _Fault]:
        node = self._random.choice(self._fleet.nodes)
        duration = 0.2 + MAX_FAULT_SECONDS * self._random.random()
        faults: list[tuple[str, _Fault]] = [
            ('kill', lambda: node.restart(signal.SIGKILL)),
            ('stop', lambda: node.restart(signal.SIGTERM)),
            ('pause', lambda: node.pause(duration)),
            ('reload', lambda: self._reload(node)),
            ('backend server crash', lambda: node.crash_server(duration)),
            (
                'backend server replacement',
                lambda: node.replace_server(duration),
            ),
            ('new policy version', self._publish_policy),
            ('store down', lambda: self._make_store_unavailable(duration)),
            ('feed compaction', self._compact_feed),
            ('trouble', lambda: self._inject_connection_fault(node, duration)),
            ('trouble', lambda: self._inject_connection_fault(node, duration)),
            ('trouble', lambda: self._inject_connection_fault(node, duration)),
        ]
        if self._plan.has_announcements:
            faults += [
                ('limit', lambda: node.limit_server(duration)),
                ('limit', lambda: node.limit_server(duration)),
                ('leaving', lambda: node.announce_leaving(duration)),
            ]
        if self._plan.has_incidents:
            age = MAX_FAULT_SECONDS * self._random.random()
            faults += [
                (
                    'store restored',
                    lambda: self._fleet.return_store_from_copy(age, duration),
                ),
                (
                    'crashing request',
                    lambda: self._fleet.repeat_crashing_request(
                        f'{len(self.fault_log)}', duration
                    ),
                ),
            ]
        name, fault = self._random.choice(faults)
        return f'{name} {node.addresses.name} {duration:.2f}', fault

    async def _inject_connection_fault(
        self, node: SoakNode, duration: float
    ) -> None:
        name = self._random.choice(sorted(node.proxy_by_name))
        connection_fault = self._random.choice(list(ConnectionFault)[1:])
        self.fault_log.append(
            f'  {connection_fault.value} at {name} of {node.addresses.name}'
        )
        proxy = node.proxy_by_name[name]
        proxy.set_fault(connection_fault)
        await asyncio.sleep(duration)
        proxy.set_fault(ConnectionFault.NONE)

    async def _reload(self, node: SoakNode) -> None:
        node.reload()

    async def _publish_policy(self) -> None:
        self._fleet.put_policy()

    async def _compact_feed(self) -> None:
        self._fleet.store.compact_feed()

    async def _make_store_unavailable(self, duration: float) -> None:
        self._fleet.store.is_down = True
        await asyncio.sleep(duration)
        self._fleet.store.is_down = False


async def run_soak(plan: SoakPlan) -> SoakResult:
    """Run one soak test and return its violations, faults and replies.

    Parameters
    ----------
    plan : SoakPlan
        Seed, size and length of the soak test.
    """
    source = random.Random(plan.seed)
    fleet = SoakFleet(plan.nodes)
    numbers = itertools.count(1)
    callers = [
        Caller(node, fleet.history, random.Random(source.random()), numbers)
        for node in fleet.nodes
        for _ in range(CALLERS_PER_NODE)
    ]
    injector = FaultInjector(fleet, source, plan)
    tasks: list[asyncio.Task[None]] = []
    violations: list[Violation] = []
    try:
        await fleet.start()
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        if not await _all_served(callers, START_TIMEOUT_SECONDS):
            violations.append(
                Violation(
                    'start',
                    '',
                    'a caller got no response with status 200 within '
                    f'{START_TIMEOUT_SECONDS:.0f} s',
                )
            )
        await injector.run(plan.seconds)
        violations.extend(await _check_end(plan, fleet, callers))
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()
    violations.extend(
        fleet.history.find_violations(
            KEY_PREFIX, CAP_RATE, CAP_BURST, CAPPED_ORGANISATION
        ),
    )
    replies = fleet.history.reply_by_id.values()
    statuses = Counter(reply.status for reply in replies)
    return SoakResult(
        tuple(violations),
        tuple(injector.fault_log),
        dict(statuses),
        fleet.directory,
    )


async def _check_end(
    plan: SoakPlan, fleet: SoakFleet, callers: list[Caller]
) -> list[Violation]:
    violations = []
    if not await _all_served(callers, RECOVERY_TIMEOUT_SECONDS):
        violations.append(
            Violation(
                'recovery',
                '',
                'a caller got no response with status 200 within '
                f'{RECOVERY_TIMEOUT_SECONDS:.0f} s of the last fault',
            )
        )
    if plan.has_incidents:
        violations.extend(await _check_incidents(fleet))
    return violations


async def _check_incidents(fleet: SoakFleet) -> list[Violation]:
    """Check the newest policy and a new crashing request after all faults."""
    await asyncio.sleep(STABLE_WINDOW_SECONDS + CONFIG_APPLY_SECONDS)
    outdated = await fleet.find_outdated_nodes()
    violations = [
        Violation('policy', '', f'{name} does not use version {fleet.version}')
        for name in outdated
    ]
    await fleet.repeat_crashing_request(LAST_REQUEST, LAST_REQUEST_SECONDS)
    path = f'/read/{CRASH_MARKER}-{LAST_REQUEST}'
    violations.extend(fleet.history.find_late_crashes(path))
    violations.extend(fleet.history.find_refused_harmless())
    return violations


async def _all_served(callers: list[Caller], seconds: float) -> bool:
    before = [caller.served for caller in callers]
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await asyncio.sleep(0.1)
        pairs = zip(callers, before, strict=True)
        if all(caller.served > served for caller, served in pairs):
            return True
    return False
