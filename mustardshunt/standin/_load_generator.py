"""Callers with open-loop arrivals, and what became of their requests."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from aiohttp import ClientError, ClientSession

ANSWERED: Final = 'answered'
_REASON_HEADER: Final = 'Mustardshunt-Reason'
_EFFECT_HEADER: Final = 'Mustardshunt-Effect'
# A body of this kind is what every stand-in backend server answers.
_WHOLE_END: Final = b'}'


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What one organisation's callers send.

    Parameters
    ----------
    organisation : str
        Name in the report.
    key : str or None
        Key that the requests carry.
    rate : float
        Requests per second.
    method, target : str
        What is requested.
    body : bytes, default=b''
        Body of each request.
    timeout_ms : int, default=2000
        Time that a caller waits.
    """

    organisation: str
    key: str | None
    rate: float
    method: str
    target: str
    body: bytes = b''
    timeout_ms: int = 2000


@dataclass(frozen=True, slots=True)
class RequestResult:
    """What became of one request.

    Parameters
    ----------
    organisation : str
        Organisation that sent it.
    outcome : str
        ``answered``, a refusal's reason, or ``error`` with its kind.
    effect : str
        What the refusal says about the effect, empty for an answer.
    status : int
        HTTP status, 0 when there was none.
    seconds : float
        Time from sending to the end.
    """

    organisation: str
    outcome: str
    effect: str
    status: int
    seconds: float


@dataclass(slots=True)
class LoadReport:
    """Results of all requests, counted by organisation and outcome."""

    results: list[RequestResult] = field(default_factory=list)

    def count_outcomes(self) -> dict[str, Counter[str]]:
        """Return the outcomes by organisation."""
        outcomes_by_organisation: dict[str, Counter[str]] = {}
        for found in self.results:
            counter = outcomes_by_organisation.setdefault(
                found.organisation,
                Counter(),
            )
            counter[found.outcome] += 1
        return outcomes_by_organisation

    def format_table(self) -> str:
        """Return a table: a line for each organisation and outcome."""
        lines = [f'{"organisation":<22}{"outcome":<24}{"requests":>9}']
        for organisation, counter in sorted(self.count_outcomes().items()):
            for outcome, requests in sorted(counter.items()):
                lines.append(f'{organisation:<22}{outcome:<24}{requests:>9}')
        return '\n'.join(lines)


class LoadGenerator:
    """Sends requests at planned times, whether or not earlier ones ended.

    Parameters
    ----------
    session : ClientSession
        Open session.
    urls : sequence of str
        Nodes to which the callers connect.
    seed : int
        Seed of the arrival times.
    """

    def __init__(
        self,
        session: ClientSession,
        urls: Sequence[str],
        seed: int,
    ) -> None:
        self._session = session
        self._urls = urls
        self._random = random.Random(seed)

    async def run(
        self,
        plans: Iterable[LoadPlan],
        seconds: float,
    ) -> LoadReport:
        """Send the requests of all plans for a time.

        Parameters
        ----------
        plans : iterable of LoadPlan
            What is sent.
        seconds : float
            Length of the run.

        Returns
        -------
        LoadReport
            What became of each request.
        """
        report = LoadReport()
        async with asyncio.TaskGroup() as group:
            for plan in plans:
                group.create_task(self._run_plan(plan, seconds, report))
        return report

    async def send(self, plan: LoadPlan, url: str) -> RequestResult:
        """Send one request and return what became of it."""
        headers = {'Mustardshunt-Timeout-Ms': str(plan.timeout_ms)}
        if plan.key is not None:
            headers['Authorization'] = f'Bearer {plan.key}'
        started = time.monotonic()
        try:
            async with self._session.request(
                plan.method,
                url + plan.target,
                data=plan.body or None,
                headers=headers,
            ) as response:
                content = await response.read()
        except (ClientError, OSError, TimeoutError) as error:
            outcome = f'error {type(error).__name__}'
            seconds = time.monotonic() - started
            return RequestResult(plan.organisation, outcome, '', 0, seconds)
        outcome = response.headers.get(_REASON_HEADER, ANSWERED)
        if outcome == ANSWERED and not content.endswith(_WHOLE_END):
            outcome = 'error cut answer'
        return RequestResult(
            plan.organisation,
            outcome,
            response.headers.get(_EFFECT_HEADER, ''),
            response.status,
            time.monotonic() - started,
        )

    async def _run_plan(
        self,
        plan: LoadPlan,
        seconds: float,
        report: LoadReport,
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        due = loop.time()
        async with asyncio.TaskGroup() as group:
            while True:
                due += self._random.expovariate(plan.rate)
                if due >= end:
                    return
                await asyncio.sleep(max(0, due - loop.time()))
                url = self._random.choice(self._urls)
                group.create_task(self._send_and_add(plan, url, report))

    async def _send_and_add(
        self,
        plan: LoadPlan,
        url: str,
        report: LoadReport,
    ) -> None:
        report.results.append(await self.send(plan, url))
