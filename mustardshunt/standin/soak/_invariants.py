"""What callers and backend servers must never see."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from mustardshunt.standin.sidecar_backend_server import ReceivedRequest

# Replies that say that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# As the settings of the nodes state them.
CAP_OVERAGE: Final = 0.1
CAP_SLACK: Final = 20
CAP_WINDOW_SECONDS: Final = 5.0
# Confirmed leaving binds after this time.
DRAIN_SECONDS: Final = 2.0
_SUCCESS: Final = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    Parameters
    ----------
    invariant : str
        Which one.
    request_id : str
        Request that shows it, empty if no single one does.
    detail : str
        What was seen.
    """

    invariant: str
    request_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request as its caller sent it.

    Parameters
    ----------
    request_id : str
        Identity, another for each attempt.
    organisation : str
        Holder of the key that came with it.
    is_idempotent : bool
        Whether it may run more than once.
    body : bytes
        Whole body.
    """

    request_id: str
    organisation: str
    is_idempotent: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class ReceivedReply:
    """A reply as its caller got it.

    Parameters
    ----------
    status : int
        HTTP status, 0 when the connection failed.
    echoed_id : str
        Identity that the reply bears.
    is_stamped : bool
        Whether it bears the receipt of a backend server.
    body : bytes
        Whole body.
    """

    status: int
    echoed_id: str
    is_stamped: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class Execution:
    """A run at a backend server.

    Parameters
    ----------
    at : float
        Time in seconds.
    instance : str
        Run of the backend server.
    request : ReceivedRequest
        What it has seen.
    """

    at: float
    instance: str
    request: ReceivedRequest


@dataclass(slots=True)
class History:
    """All that was asked, replied and run; names the broken promises.

    Parameters
    ----------
    whole_body : bytes
        Body of each answer of a backend server.
    """

    whole_body: bytes
    request_by_id: dict[str, SentRequest] = field(default_factory=dict)
    reply_by_id: dict[str, ReceivedReply] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    left_at_by_instance: dict[str, float] = field(default_factory=dict)

    def find_violations(
        self,
        key: str,
        rate: float,
        burst: float,
        capped: str,
    ) -> list[Violation]:
        """Return all broken promises.

        Parameters
        ----------
        key : str
            Text that every key contains.
        rate, burst : float
            Cap of the organisation that has one.
        capped : str
            Its name.
        """
        runs_by_id: dict[str, list[Execution]] = {}
        for ran in self.executions:
            runs_by_id.setdefault(ran.request.request_id, []).append(ran)
        return [
            *self._false_answers(),
            *self._false_runs(key),
            *self._doubled(runs_by_id),
            *self._over_cap(rate, burst, capped),
        ]

    def _false_answers(self) -> Iterator[Violation]:
        for request_id, reply in self.reply_by_id.items():
            if reply.status != _SUCCESS:
                continue
            if reply.echoed_id != request_id:
                yield Violation('own answer', request_id, reply.echoed_id)
            if not reply.is_stamped or reply.body != self.whole_body:
                detail = f'{len(reply.body)} bytes'
                yield Violation('whole answer', request_id, detail)

    def _false_runs(self, key: str) -> Iterator[Violation]:
        for ran in self.executions:
            for promise, detail in self._look_at(ran, key):
                yield Violation(promise, ran.request.request_id, detail)

    def _look_at(self, ran: Execution, key: str) -> Iterator[tuple[str, str]]:
        asked = self.request_by_id.get(ran.request.request_id)
        if asked is None:
            yield 'asked for', ran.instance
            return
        if ran.request.body != asked.body:
            yield 'body unchanged', ran.instance
        headers = ran.request.headers
        if headers.get('Mustardshunt-Tenant') != asked.organisation:
            yield 'owner of the key', ran.instance
        if any(key in text for text in headers.values()):
            yield 'key kept back', ran.instance
        left_at = self.left_at_by_instance.get(ran.instance, float('inf'))
        if ran.at > left_at + DRAIN_SECONDS:
            yield 'drain', f'{ran.at - left_at:.2f} s after it was confirmed'

    def _doubled(
        self,
        runs_by_id: dict[str, list[Execution]],
    ) -> Iterator[Violation]:
        for request_id, runs in runs_by_id.items():
            asked = self.request_by_id.get(request_id)
            if asked is None or asked.is_idempotent:
                continue
            where = ', '.join(f'{ran.instance} {ran.at:.3f}' for ran in runs)
            if len(runs) > 1:
                yield Violation('at most once', request_id, where)
            reply = self.reply_by_id.get(request_id)
            if reply is not None and reply.status in NOT_RUN_STATUSES:
                detail = f'{reply.status}, ran at {where}'
                yield Violation('not run', request_id, detail)

    def _over_cap(
        self,
        rate: float,
        burst: float,
        capped: str,
    ) -> Iterator[Violation]:
        starts = sorted(
            ran.at
            for ran in self.executions
            if ran.request.headers.get('Mustardshunt-Tenant') == capped
        )
        whole = rate * CAP_WINDOW_SECONDS + burst
        bound = whole * (1 + CAP_OVERAGE) + CAP_SLACK
        for index, start in enumerate(starts):
            end = bisect.bisect_left(starts, start + CAP_WINDOW_SECONDS)
            if end - index > bound:
                detail = f'{end - index} in a window, {bound:.0f} allowed'
                yield Violation('cap', '', detail)
                return
