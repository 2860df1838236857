"""Callers with open-loop arrivals, and the outcomes of their requests."""

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
# Last byte of a complete response body. Stand-in backend servers respond with a
# JSON object, so a body without this last byte was truncated.
_COMPLETE_BODY_END: Final = b'}'


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Requests that the callers of one organisation send.

    Parameters
    ----------
    organisation : str
        Name of the organisation in the report.
    key : str or None
        API key that the requests carry; None for no key.
    rate : float
        Mean number of requests per second.
    method, target : str
        Method and target of each request.
    body : bytes, default=b''
        Body of each request.
    timeout_ms : int, default=2000
        Timeout in milliseconds that each request states.
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
    """Outcome of one request.

    Parameters
    ----------
    organisation : str
        Organisation that sent it.
    outcome : str
        ``answered``, the reason of a refusal, or ``error`` and its kind.
    effect : str
        Value of the effect header of a refusal, for example ``not-run``;
        empty for other responses.
    status : int
        HTTP status; 0 if no response came.
    seconds : float
        Seconds from sending the request to its outcome.
    """

    organisation: str
    outcome: str
    effect: str
    status: int
    seconds: float


@dataclass(slots=True)
class LoadReport:
    """Results of all requests of a load run."""

    results: list[RequestResult] = field(default_factory=list)

    def count_outcomes(self) -> dict[str, Counter[str]]:
        """Return how often each outcome occurred, by organisation."""
        outcomes_by_organisation: dict[str, Counter[str]] = {}
        for result in self.results:
            counter = outcomes_by_organisation.setdefault(
                result.organisation,
                Counter(),
            )
            counter[result.outcome] += 1
        return outcomes_by_organisation

    def format_table(self) -> str:
        """Return a table with a line for each organisation and outcome."""
        lines = [f'{"organisation":<22}{"outcome":<24}{"requests":>9}']
        for organisation, counter in sorted(self.count_outcomes().items()):
            for outcome, requests in sorted(counter.items()):
                lines.append(f'{organisation:<22}{outcome:<24}{requests:>9}')
        return '\n'.join(lines)


class LoadGenerator:
    """Sends requests at drawn times without waiting for earlier requests.

    Parameters
    ----------
    session : ClientSession
        Open HTTP session.
    urls : sequence of str
        Base URLs of the nodes; each request goes to one drawn at random.
    seed : int
        Seed of the arrival times and of the choice of nodes.
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
        """Send the requests of all plans at the same time.

        Parameters
        ----------
        plans : iterable of LoadPlan
            Requests to send.
        seconds : float
            Seconds during which requests are sent.

        Returns
        -------
        LoadReport
            Result of each request.
        """
        report = LoadReport()
        async with asyncio.TaskGroup() as group:
            for plan in plans:
                group.create_task(self._run_plan(plan, seconds, report))
        return report

    async def send(self, plan: LoadPlan, url: str) -> RequestResult:
        """Send one request to a base URL and return its result."""
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
        if outcome == ANSWERED and not content.endswith(_COMPLETE_BODY_END):
            outcome = 'error truncated body'
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
                group.create_task(self._send_and_record(plan, url, report))

    async def _send_and_record(
        self,
        plan: LoadPlan,
        url: str,
        report: LoadReport,
    ) -> None:
        report.results.append(await self.send(plan, url))
