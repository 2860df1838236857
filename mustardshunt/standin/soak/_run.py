"""One soak: callers, a series of faults, and the promises at its end."""

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
    KEY_PREFIX,
    SoakFleet,
    SoakNode,
)
from mustardshunt.standin.soak._invariants import Violation
from mustardshunt.standin.soak._proxy import ConnectionFault

CALLERS_PER_NODE: Final = 3
# Time for the processes to start on a busy machine.
START_TIMEOUT_SECONDS: Final = 30.0
# Service has to come back within this time after the last fault, as the
# platform's rules state it.
RECOVERY_TIMEOUT_SECONDS: Final = 15.0
MAX_FAULT_GAP_SECONDS: Final = 0.8
MAX_FAULT_SECONDS: Final = 3.0

_Fault: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What is played.

    Parameters
    ----------
    seed : int
        Determines the faults and requests, though not their timing.
    nodes : int
        Number of nodes.
    seconds : float
        How long faults are begun.
    """

    seed: int
    nodes: int = 3
    seconds: float = 20.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What came of it.

    Parameters
    ----------
    violations : tuple of Violation
        Promises that were broken.
    faults : tuple of str
        Faults in their order, with their time.
    statuses : dict of int to int
        Replies by status, 0 for failed connections.
    directory : Path
        Settings and logs of the nodes.
    """

    violations: tuple[Violation, ...]
    faults: tuple[str, ...]
    statuses: dict[int, int]
    directory: Path


class FaultInjector:
    """Draws faults and lets them overlap.

    Parameters
    ----------
    world : SoakFleet
        Where they strike.
    source : random.Random
        Draws them.
    """

    def __init__(self, world: SoakFleet, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._tasks: list[asyncio.Task[None]] = []
        self.fault_log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin faults for a time, then let all of them end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + seconds:
            name, fault = self._draw()
            self.fault_log.append(f'{loop.time() - began:.2f} {name}')
            self._tasks.append(asyncio.create_task(fault(), name=name))
            await asyncio.sleep(MAX_FAULT_GAP_SECONDS * self._random.random())
        await asyncio.gather(*self._tasks)
        for node in self._world.nodes:
            node.clear_faults()
        self._world.store.is_down = False

    def _draw(self) -> tuple[str, _Fault]:
        node = self._random.choice(self._world.nodes)
        lasts = 0.2 + MAX_FAULT_SECONDS * self._random.random()
        faults: list[tuple[str, _Fault]] = [
            ('kill', lambda: node.restart(signal.SIGKILL)),
            ('stop', lambda: node.restart(signal.SIGTERM)),
            ('pause', lambda: node.pause(lasts)),
            ('reload', lambda: self._reload(node)),
            ('crash of the server', lambda: node.crash_server(lasts)),
            ('leave of the server', lambda: node.replace_server(lasts)),
            ('new version', self._change),
            ('store down', lambda: self._lose_store(lasts)),
            ('lost history', self._forget),
            ('trouble', lambda: self._spoil(node, lasts)),
            ('trouble', lambda: self._spoil(node, lasts)),
            ('trouble', lambda: self._spoil(node, lasts)),
        ]
        name, fault = self._random.choice(faults)
        return f'{name} {node.addresses.name} {lasts:.2f}', fault

    async def _spoil(self, node: SoakNode, lasts: float) -> None:
        name = self._random.choice(sorted(node.proxy_by_name))
        trouble = self._random.choice(list(ConnectionFault)[1:])
        self.fault_log.append(
            f'  {trouble.value} at {name} of {node.addresses.name}'
        )
        proxy = node.proxy_by_name[name]
        proxy.set_fault(trouble)
        await asyncio.sleep(lasts)
        proxy.set_fault(ConnectionFault.NONE)

    async def _reload(self, node: SoakNode) -> None:
        node.reload()

    async def _change(self) -> None:
        self._world.put_policy()

    async def _forget(self) -> None:
        self._world.store.compact_feed()

    async def _lose_store(self, lasts: float) -> None:
        self._world.store.is_down = True
        await asyncio.sleep(lasts)
        self._world.store.is_down = False


async def run_soak(plan: SoakPlan) -> SoakResult:
    """Play one soak and return what it broke.

    Parameters
    ----------
    plan : SoakPlan
        What is played.
    """
    source = random.Random(plan.seed)
    world = SoakFleet(plan.nodes)
    numbers = itertools.count(1)
    callers = [
        Caller(node, world.history, random.Random(source.random()), numbers)
        for node in world.nodes
        for _ in range(CALLERS_PER_NODE)
    ]
    series = FaultInjector(world, source)
    tasks: list[asyncio.Task[None]] = []
    breaches: list[Violation] = []
    try:
        await world.start()
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        if not await _all_served(callers, START_TIMEOUT_SECONDS):
            breaches.append(Violation('start', '', 'a node serves nothing'))
        await series.run(plan.seconds)
        if not await _all_served(callers, RECOVERY_TIMEOUT_SECONDS):
            breaches.append(Violation('recovery', '', 'a node serves nothing'))
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
    breaches.extend(
        world.history.find_violations(
            KEY_PREFIX, CAP_RATE, CAP_BURST, CAPPED_ORGANISATION
        ),
    )
    replies = world.history.reply_by_id.values()
    statuses = Counter(reply.status for reply in replies)
    return SoakResult(
        tuple(breaches),
        tuple(series.fault_log),
        dict(statuses),
        world.directory,
    )


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
