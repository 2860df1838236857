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
from mustardshunt.standin.soak._promises import Breach
from mustardshunt.standin.soak._proxy import Trouble
from mustardshunt.standin.soak._world import (
    CAP_BURST,
    CAP_RATE,
    CAPPED,
    KEY,
    SoakNode,
    SoakWorld,
)

CALLERS_FOR_NODE: Final = 3
# Time for the processes to start on a busy machine.
START_SECONDS: Final = 30.0
# Service has to come back within this time after the last fault, as the
# platform's rules state it.
RECOVER_SECONDS: Final = 15.0
LONGEST_GAP: Final = 0.8
LONGEST_FAULT: Final = 3.0

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
    breaches : tuple of Breach
        Promises that were broken.
    faults : tuple of str
        Faults in their order, with their time.
    statuses : dict of int to int
        Replies by status, 0 for failed connections.
    folder : Path
        Settings and logs of the nodes.
    """

    breaches: tuple[Breach, ...]
    faults: tuple[str, ...]
    statuses: dict[int, int]
    folder: Path


class FaultSeries:
    """Draws faults and lets them overlap.

    Parameters
    ----------
    world : SoakWorld
        Where they strike.
    source : random.Random
        Draws them.
    """

    def __init__(self, world: SoakWorld, source: random.Random) -> None:
        self._world = world
        self._random = source
        self._tasks: list[asyncio.Task[None]] = []
        self.told: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begin faults for a time, then let all of them end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + seconds:
            name, fault = self._draw()
            self.told.append(f'{loop.time() - began:.2f} {name}')
            self._tasks.append(asyncio.create_task(fault(), name=name))
            await asyncio.sleep(LONGEST_GAP * self._random.random())
        await asyncio.gather(*self._tasks)
        for node in self._world.nodes:
            node.heal()
        self._world.store.is_down = False

    def _draw(self) -> tuple[str, _Fault]:
        node = self._random.choice(self._world.nodes)
        lasts = 0.2 + LONGEST_FAULT * self._random.random()
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
        return f'{name} {node.place.name} {lasts:.2f}', fault

    async def _spoil(self, node: SoakNode, lasts: float) -> None:
        name = self._random.choice(sorted(node.proxy_by_name))
        trouble = self._random.choice(list(Trouble)[1:])
        self.told.append(f'  {trouble.value} at {name} of {node.place.name}')
        proxy = node.proxy_by_name[name]
        proxy.set_trouble(trouble)
        await asyncio.sleep(lasts)
        proxy.set_trouble(Trouble.NONE)

    async def _reload(self, node: SoakNode) -> None:
        node.reload()

    async def _change(self) -> None:
        self._world.put_policy()

    async def _forget(self) -> None:
        self._world.store.forget_history()

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
    world = SoakWorld(plan.nodes)
    numbers = itertools.count(1)
    callers = [
        Caller(node, world.ledger, random.Random(source.random()), numbers)
        for node in world.nodes
        for _ in range(CALLERS_FOR_NODE)
    ]
    series = FaultSeries(world, source)
    tasks: list[asyncio.Task[None]] = []
    breaches: list[Breach] = []
    try:
        await world.start()
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        if not await _all_served(callers, START_SECONDS):
            breaches.append(Breach('start', '', 'a node serves nothing'))
        await series.run(plan.seconds)
        if not await _all_served(callers, RECOVER_SECONDS):
            breaches.append(Breach('recovery', '', 'a node serves nothing'))
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await world.stop()
    breaches.extend(
        world.ledger.breaches(KEY, CAP_RATE, CAP_BURST, CAPPED),
    )
    replies = world.ledger.replied_by_id.values()
    statuses = Counter(reply.status for reply in replies)
    return SoakResult(
        tuple(breaches),
        tuple(series.told),
        dict(statuses),
        world.folder,
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
