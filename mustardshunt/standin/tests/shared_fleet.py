"""A fleet of real processes that tests share, and requests to its nodes."""

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from mustardshunt.standin._local_fleet import LocalFleet
from mustardshunt.standin._local_vm import LocalProcess, LocalVm

# Longest wait for a condition. The requirements allow "a few seconds" or 7 s.
# The margin above that keeps the tests from failing on a busy machine.
WAIT_SECONDS: Final = 30.0
_POLL_SECONDS: Final = 0.05
_SHOWN_LOG_LINES: Final = 30

KEY: Final = 'process-test-key-of-the-aquarium-00000'
REVOKED_KEY: Final = 'process-test-key-that-is-revoked-00000'
LOW_RATE_KEY: Final = 'process-test-key-of-the-troupe-000000'
GUILD_KEY: Final = 'process-test-key-of-the-guild-0000000'
MUSEUM_KEY: Final = 'process-test-key-of-the-museum-000000'
ALL_KEYS: Final = (KEY, REVOKED_KEY, LOW_RATE_KEY, GUILD_KEY, MUSEUM_KEY)
GUILD_RATE: Final = 40
GUILD_BURST: Final = 20

SERVICES: Final = ('order', 'stock', 'catalogue')
DATA_CENTRES: Final = ('north', 'south')
SHEET: Final = f"""\
[organisations]
name,rate,burst
aquarium,4000,2000
hotel,1000,500
troupe,5,5
guild,{GUILD_RATE},{GUILD_BURST}
museum,60,30

[keys]
organisation,key
aquarium,{KEY}
hotel,{REVOKED_KEY}
troupe,{LOW_RATE_KEY}
guild,{GUILD_KEY}
museum,{MUSEUM_KEY}

[routes]
name,method,path,service,importance,idempotent,access
catalogue,GET,/catalogue/*,catalogue,normal,yes,keyed
stock,GET,/stock/*,stock,high,yes,internal
order,POST,/orders,order,critical,no,keyed

[data-centres]
name,state
north,in
south,in
"""
_OPTIONS_BY_SERVICE: Final = {
    'order': (
        '--service-time',
        '0.1',
        '--child',
        'GET /stock/glass',
        '--log-runs',
    ),
    'stock': (),
    # Time for which a draining backend server stays up, so that calls which
    # arrive late are counted.
    'catalogue': ('--service-time', '0.02', '--drain-time', '60'),
}


@dataclass(frozen=True, slots=True)
class Reply:
    """Reply to a caller.

    If the request failed without a response, the status is 0 and the reason is
    the name of the exception.
    """

    status: int
    reason: str
    effect: str
    text: str
    closes: bool = False

    @property
    def refusal(self) -> tuple[str, str]:
        """Reason and effect of a refused request."""
        return self.reason, self.effect


async def wait_until(
    condition: Callable[[], Any],
    message: str = 'condition',
) -> Any:
    """Wait until a function or coroutine function returns a true value.

    The value is returned. ``message`` names the condition for the
    ``AssertionError`` that is raised after `WAIT_SECONDS`.
    """
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            while True:
                found = condition()
                if asyncio.iscoroutine(found):
                    found = await found
                if found:
                    return found
                await asyncio.sleep(_POLL_SECONDS)
    except TimeoutError as error:
        raise AssertionError(
            f'{message}: not reached within {WAIT_SECONDS} s'
        ) from error


class SharedFleet:
    """Two data centres, each with one VM per service.

    If a test has ended nodes or backend servers, `restore` starts them again.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.session = fleet.session
        self.vm_by_data_centre_and_service: dict[tuple[str, str], LocalVm] = {}
        self.node_by_name: dict[str, LocalProcess] = {}
        self.server_by_name: dict[str, LocalProcess] = {}
        self._incarnation_by_name: dict[str, str] = {}

    @property
    def vms(self) -> list[LocalVm]:
        return list(self.vm_by_data_centre_and_service.values())

    def vm(self, data_centre: str, service: str) -> LocalVm:
        """Return the VM of the data centre that runs the service."""
        return self.vm_by_data_centre_and_service[data_centre, service]

    async def start(self) -> None:
        """Start all processes and accept the sheet of the tests."""
        for data_centre in DATA_CENTRES:
            for service in SERVICES:
                vm = self.fleet.add_vm(data_centre)
                self.vm_by_data_centre_and_service[data_centre, service] = vm
        await self.fleet.start_platform()
        await self._start_missing()
        status, text = await self.accept_sheet(SHEET)
        assert status == 0, text
        await self.fleet.wait_for_shares()

    async def accept_sheet(self, text: str) -> tuple[int, str]:
        """Make a sheet active; return the command's exit status and output."""
        return await self.fleet.run_command(
            'sheet',
            'accept',
            self.write_file('sheet.csv', text),
        )

    def write_file(self, name: str, text: str) -> str:
        path = self.fleet._directory / name
        path.write_text(text)
        return str(path)

    async def restore(self) -> None:
        """Start ended processes again and wait until all nodes answer.

        The platform is set back to normal operation first.
        """
        await self.fleet.set_platform_behaviour(
            mode='up',
            delay=0,
            lose_answers=0,
        )
        ended_incarnations = await self._start_missing()
        version = await self.head_version()
        expected = {
            'state': 'serving',
            'serving': len(self.vms),
            'members': len(self.vms),
            'version': version,
        }
        for vm in self.vms:
            await wait_until(partial(self._has_state, vm, expected), vm.name)
            await wait_until(
                partial(self._has_removed, vm, ended_incarnations),
                vm.name,
            )
            await wait_until(partial(self._answers_read, vm), vm.name)
            state = await self.state(vm)
            self._incarnation_by_name[vm.name] = state['incarnation']

    async def state(self, vm: LocalVm) -> Mapping[str, Any]:
        """Return the decoded state document of a node."""
        return await self.fleet.read_json(f'{vm.metrics_url}/state')

    async def head_version(self) -> int:
        """Return the number of the active sheet version on the platform."""
        url = f'{self.fleet.platform_url}/v1/row?key=config/head'
        row = await self.fleet.read_json(url)
        return row['version']

    async def describe_node(self, vm: LocalVm) -> str:
        """Return event counters and last log lines of a node as a message."""
        async with self.session.get(f'{vm.metrics_url}/metrics') as response:
            metrics = await response.text()
        events = [line for line in metrics.splitlines() if 'events_' in line]
        log = self.fleet.read_log(f'{vm.name}-node').splitlines()
        return '\n'.join([vm.name, *events, *log[-_SHOWN_LOG_LINES:]])

    async def run_count(self, vm: LocalVm) -> int:
        """Return how many calls the backend server of a VM has run."""
        url = f'{vm.server_url}/standin/counters'
        return (await self.fleet.read_json(url))['runs']

    async def has_new_runs(self, vm: LocalVm, before: int) -> bool:
        """Tell whether a backend server has run more than ``before`` calls."""
        return await self.run_count(vm) > before

    async def active_count(self, vm: LocalVm) -> int:
        """Return how many calls a backend server runs or holds in its queue."""
        url = f'{vm.server_url}/standin/counters'
        return (await self.fleet.read_json(url))['active']

    async def has_serving_members(self, vm: LocalVm, count: int) -> bool:
        """Tell whether a node knows ``count`` members with a backend server."""
        return await self._has_state(vm, {'serving': count})

    def order_run_counts(self) -> Counter[str]:
        """Return how often each order ran, by the digest of its body.

        Runs at backend servers whose process has ended are included.
        """
        counter: Counter[str] = Counter()
        for data_centre in DATA_CENTRES:
            name = self.vm(data_centre, 'order').name
            for line in self.fleet.read_log(f'{name}-server').splitlines():
                if line.startswith('ran '):
                    counter[line.removeprefix('ran ')] += 1
        return counter

    async def start_server(self, vm: LocalVm, service: str) -> None:
        options = _OPTIONS_BY_SERVICE[service]
        self.server_by_name[vm.name] = await self.fleet.start_backend_server(
            vm,
            service,
            *options,
        )

    async def start_node(self, vm: LocalVm) -> None:
        self.node_by_name[vm.name] = await self.fleet.start_node(vm)

    async def send(
        self,
        vm: LocalVm,
        method: str,
        target: str,
        key: str | None = KEY,
        body: bytes = b'',
        **headers: str,
    ) -> Reply:
        """Send one request; underscores in header names become hyphens."""
        return await send(
            self.session,
            vm.caller_url,
            method,
            target,
            key,
            body,
            {name.replace('_', '-'): text for name, text in headers.items()},
        )

    def _has_removed(
        self, vm: LocalVm, ended_incarnations: Collection[str]
    ) -> bool:
        """Tell whether a node has stopped using the given incarnations.

        The node has stopped using an incarnation if the log of the node does
        not mention it, or if the last mention says that it is silent or gone.
        """
        log = self.fleet.read_log(f'{vm.name}-node')
        for incarnation in ended_incarnations:
            lines = [
                line
                for line in log.splitlines()
                if f'node {incarnation} at' in line
            ]
            if lines and not lines[-1].endswith(('silent', 'gone')):
                return False
        return True

    async def _start_missing(self) -> Collection[str]:
        """Start processes that do not run.

        Returns the former incarnations of the nodes that were started again,
        and ``none`` for nodes that have no former incarnation.
        """
        ended_incarnations = set()
        async with asyncio.TaskGroup() as group:
            for (_, service), vm in self.vm_by_data_centre_and_service.items():
                node = self.node_by_name.get(vm.name)
                if node is None or not node.is_running:
                    group.create_task(self.start_node(vm))
                    ended_incarnations.add(
                        self._incarnation_by_name.get(vm.name, 'none')
                    )
                server = self.server_by_name.get(vm.name)
                if server is None or not server.is_running:
                    group.create_task(self.start_server(vm, service))
        return ended_incarnations

    async def _answers_read(self, vm: LocalVm) -> bool:
        reply = await self.send(vm, 'GET', '/catalogue/panels')
        return reply.status == 200

    async def _has_state(
        self, vm: LocalVm, expected: Mapping[str, Any]
    ) -> bool:
        return expected.items() <= (await self.state(vm)).items()


async def send(
    session: ClientSession,
    url: str,
    method: str,
    target: str,
    key: str | None,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
) -> Reply:
    """Send one request; a failed connection returns a reply of status 0."""
    outgoing = dict(headers or {})
    if key is not None:
        outgoing['Authorization'] = f'Bearer {key}'
    try:
        async with session.request(
            method,
            url + target,
            data=body or None,
            headers=outgoing,
            timeout=ClientTimeout(total=WAIT_SECONDS),
        ) as response:
            return Reply(
                response.status,
                response.headers.get('Mustardshunt-Reason', ''),
                response.headers.get('Mustardshunt-Effect', ''),
                await response.text(),
                response.headers.get('Connection', '').lower() == 'close',
            )
    except (ClientError, OSError, TimeoutError) as error:
        return Reply(0, type(error).__name__, '', '')


def digest(body: bytes) -> str:
    """Return the digest of a request body, as a backend server logs it."""
    return hashlib.sha256(body).hexdigest()


def parse_echo(reply: Reply) -> Mapping[str, Any]:
    """Return the backend server's echo of the request from its reply."""
    assert reply.status == 200, reply
    return json.loads(reply.text)
