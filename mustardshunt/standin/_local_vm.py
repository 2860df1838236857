"""Addresses and processes of a VM in a local fleet."""

import asyncio
import signal
from dataclasses import dataclass
from typing import Final

_STOP_TIMEOUT_SECONDS: Final = 40.0


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports of a VM.

    All VMs of a local fleet use the same ports, on different addresses.

    Parameters
    ----------
    caller, peer, backend, metrics, server : int
        Ports of the node for callers, peers, its backend server and
        metrics, and the port of the backend server.
    """

    caller: int
    peer: int
    backend: int
    metrics: int
    server: int


@dataclass(frozen=True, slots=True)
class LocalVm:
    """Name and addresses of one VM of a local fleet.

    Parameters
    ----------
    name : str
        Name of the VM, used in the names of its files.
    data_centre : str
        Name of the data centre of the VM.
    host : str
        Loopback address of the VM.
    ports : Ports
        Ports on the address of the VM.
    """

    name: str
    data_centre: str
    host: str
    ports: Ports

    @property
    def caller_url(self) -> str:
        """Base URL for callers of the node."""
        return f'http://{self.host}:{self.ports.caller}'

    @property
    def metrics_url(self) -> str:
        """Base URL of the metrics and the reported state of the node."""
        return f'http://{self.host}:{self.ports.metrics}'

    @property
    def server_url(self) -> str:
        """Base URL of the backend server."""
        return f'http://{self.host}:{self.ports.server}'


class LocalProcess:
    """One process of a local fleet.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        The running process.
    name : str
        Name of the process in error messages and of its log.
    """

    def __init__(self, process: asyncio.subprocess.Process, name: str) -> None:
        self._process = process
        self.name = name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process still runs."""
        return self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the exit of the process and return its exit status.

        Raises
        ------
        TimeoutError
            The process still ran after 40 s.
        """
        async with asyncio.timeout(_STOP_TIMEOUT_SECONDS):
            return await self._process.wait()

    async def stop(self) -> int:
        """Resume the process, send SIGTERM and return the exit status."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit of the process."""
        self.send_signal(signal.SIGKILL)
        await self.wait()
