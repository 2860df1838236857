"""Fleet of real processes on loopback addresses, for demo and tests."""

import asyncio
import os
import random
import signal
import socket
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.standin._local_vm import LocalProcess, LocalVm, Ports

READY_TIMEOUT_SECONDS: Final = 20.0
_POLL_SECONDS: Final = 0.05

# Sum of all shares of an organisation's rate: 64 partitions of 1,000,000 ppm.
_ALL_SHARES: Final = 64_000_000
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 31_000

_SETTINGS: Final = """\
[node]
host = {host}
data_centre = {data_centre}
secret_file = {secret_file}
caller_port = {caller_port}
peer_port = {peer_port}
backend_port = {backend_port}
metrics_port = {metrics_port}
log_level = INFO

[platform]
table_url = {platform_url}
object_url = {platform_url}

[data_centre]
network = {network}
"""


class LocalFleet:
    """Starts and stops the processes of a fleet on loopback.

    Each data centre has its own address range ``127.<number>.<n>.0/24``.

    Parameters
    ----------
    directory : Path
        Directory of the settings files and the logs.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._network_number = os.getpid() % 200 + 20
        self._ports = Ports(*choose_ports(5))
        self._number_by_data_centre: dict[str, int] = {}
        self._processes: list[LocalProcess] = []
        self.platform_url = f'http://127.0.0.1:{choose_ports(1)[0]}'
        self.vm_by_name: dict[str, LocalVm] = {}
        self.session = ClientSession(timeout=ClientTimeout(total=30))

    async def start_platform(self) -> LocalProcess:
        """Start the platform stand-in and wait until it responds."""
        port = self.platform_url.rpartition(':')[2]
        process = await self._start(
            'platform',
            ('-m', 'mustardshunt.standin.platform', '--port', port),
        )
        await self._wait_until_available(
            f'{self.platform_url}/control', process
        )
        return process

    async def set_platform_behaviour(self, **behaviour: Any) -> None:
        """Change the behaviour of the platform stand-in, such as its delay.

        Raises
        ------
        aiohttp.ClientResponseError
            The platform stand-in refused a value.
        """
        url = f'{self.platform_url}/control'
        async with self.session.put(url, json=behaviour) as response:
            response.raise_for_status()

    def add_vm(self, data_centre: str) -> LocalVm:
        """Add a VM with a new address, and start no process on the VM."""
        numbers = self._number_by_data_centre
        number = numbers.setdefault(data_centre, len(numbers) + 1)
        vms_of_data_centre = [
            vm
            for vm in self.vm_by_name.values()
            if vm.data_centre == data_centre
        ]
        vm_number = len(vms_of_data_centre) + 1
        vm = LocalVm(
            f'{data_centre}-vm{vm_number}',
            data_centre,
            f'127.{self._network_number}.{number}.{vm_number}',
            self._ports,
        )
        self.vm_by_name[vm.name] = vm
        return vm

    async def start_node(
        self,
        vm: LocalVm,
        platform_url: str | None = None,
    ) -> LocalProcess:
        """Start the node of a VM and wait until its process responds."""
        settings = self._write_settings(vm, platform_url or self.platform_url)
        process = await self._start(
            f'{vm.name}-node',
            ('-m', 'mustardshunt', 'node', 'run', str(settings)),
        )
        await self._wait_until_available(f'{vm.metrics_url}/live', process)
        return process

    async def start_backend_server(
        self,
        vm: LocalVm,
        service: str,
        *options: str,
    ) -> LocalProcess:
        """Start the backend server of a VM and wait until it responds."""
        process = await self._start(
            f'{vm.name}-server',
            (
                '-m',
                'mustardshunt.standin.backend_server',
                '--service',
                service,
                '--host',
                vm.host,
                '--port',
                str(vm.ports.server),
                '--node',
                f'{vm.host}:{vm.ports.backend}',
                *options,
            ),
        )
        await self._wait_until_available(
            f'{vm.server_url}/standin/counters', process
        )
        return process

    async def start_bare_hop(self, port: int, target: str) -> LocalProcess:
        """Start a process that only forwards requests to a base URL."""
        name = f'hop-{port}'
        arguments = ('-m', 'mustardshunt.standin.bare_hop')
        process = await self._start(
            name,
            (*arguments, '127.0.0.1', str(port), target),
        )
        url = f'http://127.0.0.1:{port}/standin/counters'
        await self._wait_until_available(url, process)
        return process

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run an operator command and return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'mustardshunt',
            *arguments,
            env={
                **os.environ,
                'MUSTARDSHUNT_TABLE_URL': self.platform_url,
                'MUSTARDSHUNT_OBJECT_URL': self.platform_url,
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode or 0, output.decode()

    async def read_json(self, url: str) -> Any:
        """Return the decoded JSON response of a URL."""
        async with self.session.get(url) as response:
            return await response.json(content_type=None)

    async def wait_until_ready(self, vm: LocalVm) -> None:
        """Wait until a node accepts calls.

        Raises
        ------
        MustardshuntError
            The node was not ready within 20 s.
        """
        await self._wait_until_available(f'{vm.metrics_url}/ready', None)

    async def wait_for_state(
        self,
        vm: LocalVm,
        expected: Mapping[str, object],
    ) -> None:
        """Wait until the reported state of a node has the expected values.

        Raises
        ------
        MustardshuntError
            A value still differed after 20 s.
        """
        found: Mapping[str, object] = {}
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while True:
                    found = await self.read_json(f'{vm.metrics_url}/state')
                    if expected.items() <= found.items():
                        return
                    await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError as error:
            raise MustardshuntError(
                ErrorCode.INTERNAL,
                f'state of {vm.name}: expected {expected}, found {found}',
            ) from error

    async def wait_for_shares(self) -> None:
        """Wait until the nodes together hold all shares.

        Raises
        ------
        TimeoutError
            Shares were still missing after 20 s.
        """
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while await self._sum_shares() < _ALL_SHARES:
                await asyncio.sleep(_POLL_SECONDS)

    async def _sum_shares(self) -> int:
        total = 0
        for vm in self.vm_by_name.values():
            state = await self.read_json(f'{vm.metrics_url}/state')
            total += state['shares']
        return total

    async def stop(self) -> None:
        """Kill all processes, the newest first, and close the session."""
        for process in reversed(self._processes):
            if process.is_running:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            await process.wait()
        await self.session.close()

    def read_log(self, name: str) -> str:
        """Return the lines that a process has written to its log so far."""
        return (self._directory / f'{name}.log').read_text()

    async def _start(self, name: str, arguments: Sequence[str]) -> LocalProcess:
        with (self._directory / f'{name}.log').open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdout=log,
                stderr=log,
            )
        started = LocalProcess(process, name)
        self._processes.append(started)
        return started

    async def _wait_until_available(
        self, url: str, process: LocalProcess | None
    ) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not await self._is_available(url):
                    if process is not None and not process.is_running:
                        break
                    await asyncio.sleep(_POLL_SECONDS)
                else:
                    return
        except TimeoutError:
            process = None
        name = process.name if process else url
        log = self.read_log(name) if process else ''
        raise MustardshuntError(
            ErrorCode.INTERNAL,
            f'{name} did not respond within {READY_TIMEOUT_SECONDS} s'
            f' or exited before\n{log}',
        )

    async def _is_available(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (ClientError, OSError):
            return False

    def _write_settings(self, vm: LocalVm, platform_url: str) -> Path:
        secret = self._directory / 'secret'
        if not secret.exists():
            secret.write_text('a secret of this local fleet only\n')
        number = self._number_by_data_centre[vm.data_centre]
        path = self._directory / f'{vm.name}.ini'
        path.write_text(
            _SETTINGS.format(
                host=vm.host,
                data_centre=vm.data_centre,
                secret_file=secret,
                caller_port=vm.ports.caller,
                peer_port=vm.ports.peer,
                backend_port=vm.ports.backend,
                metrics_port=vm.ports.metrics,
                platform_url=platform_url,
                network=f'127.{self._network_number}.{number}.0/28',
            ),
        )
        return path


def choose_ports(count: int) -> list[int]:
    """Return ports on which nothing listens.

    The ports lie below the range of ephemeral ports, so that no outgoing
    connection of the fleet occupies a port before its server starts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(_FIRST_PORT, _LAST_PORT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind(('', port))
        except OSError:
            return False
    return True
