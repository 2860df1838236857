"""A VM of a local fleet, and a process on it."""

import asyncio
import signal
from dataclasses import dataclass
from typing import Final

_STOP_SECONDS: Final = 40.0


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports that all nodes of a local fleet use on their own addresses.

    Parameters
    ----------
    caller, peer, backend, metrics, server : int
        Ports of the node, and of the backend server beside it.
    """

    caller: int
    peer: int
    backend: int
    metrics: int
    server: int


@dataclass(frozen=True, slots=True)
class LocalVm:
    """Where one VM of a local fleet is.

    Parameters
    ----------
    name : str
        Name, used for its files.
    data_centre : str
        Its data centre.
    host : str
        Loopback address.
    ports : Ports
        Ports on that address.
    """

    name: str
    data_centre: str
    host: str
    ports: Ports

    @property
    def caller_url(self) -> str:
        """Where callers connect."""
        return f'http://{self.host}:{self.ports.caller}'

    @property
    def metrics_url(self) -> str:
        """Where metrics and state are shown."""
        return f'http://{self.host}:{self.ports.metrics}'

    @property
    def server_url(self) -> str:
        """Where its backend server listens."""
        return f'http://{self.host}:{self.ports.server}'


class LocalProcess:
    """One process of a local fleet.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The running process.
    name : str
        Name for messages.
    """

    def __init__(self, process: asyncio.subprocess.Process, name: str) -> None:
        self._process = process
        self.name = name

    @property
    def pid(self) -> int:
        """Identity of the process."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Return the exit status once the process has ended."""
        async with asyncio.timeout(_STOP_SECONDS):
            return await self._process.wait()

    async def stop(self) -> int:
        """Ask the process to stop and return its exit status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        await self.wait()
