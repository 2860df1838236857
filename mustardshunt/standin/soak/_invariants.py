"""Invariants of a soak test.

They are checked on the requests and replies of the callers, and on the
executions at the backend servers.
"""

import bisect
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from mustardshunt.standin.sidecar_backend_server import ReceivedRequest

# A reply with one of these statuses states that the request has not run and
# will not run later.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Tolerances of usage caps, equal to the tolerances in the settings of the
# nodes. The requests in a window may exceed the cap by this fraction of the
# cap, and by this number of requests in addition.
CAP_OVERAGE: Final = 0.1
CAP_SLACK: Final = 20
CAP_WINDOW_SECONDS: Final = 5.0
# After a node has confirmed that a backend server drains, requests may still
# arrive there for this time.
DRAIN_SECONDS: Final = 2.0
# Requests a second that a backend server in need names, and the bound of the
# rule: in no window more than this ratio of the limit, and some requests. It
# holds for the nodes that have passed on an answer with the limit for a time.
REQUEST_LIMIT: Final = 15
LIMIT_WINDOW_SECONDS: Final = 4.0
LIMIT_EXCESS_RATIO: Final = 1.5
LIMIT_EXCESS_REQUESTS: Final = 5
LIMIT_TOLD_SECONDS: Final = 0.5
# A request that has crashed three backend servers may reach at most three more,
# later than this time after the third crash.
STABLE_WINDOW_SECONDS: Final = 3.0
# A confirmed policy must be in force everywhere within this time, at nodes that
# have been undisturbed for the stable window.
CONFIG_APPLY_SECONDS: Final = 2.0
MAX_LATE_CRASHES: Final = 3
# The platform counts an end of a process by itself unless it comes within this
# time of a disruption; a start is one. An exit in that time is a failed start.
EXCUSED_END_SECONDS: Final = 1.0
_COUNTED_CRASHES: Final = 3
_QUARANTINED: Final = b'quarantined'
_OK_STATUS: Final = 200


@dataclass(frozen=True, slots=True)
class Violation:
    """Violation of an invariant.

    Parameters
    ----------
    invariant : str
        Name of the invariant.
    request_id : str
        Id of the request that violates the invariant; empty if the
        violation does not concern a single request.
    detail : str
        Observed values.
    """

    invariant: str
    request_id: str
    detail: str


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Request as its caller sent it.

    Parameters
    ----------
    request_id : str
        Id of the request, a new one for each request sent.
    organisation : str
        Organisation of the key sent with the request.
    is_idempotent : bool
        Whether the request may run more than once.
    body : bytes
        Complete request body.
    node : str, default=''
        Name of the node to which the request was sent.
    sent_at : float, default=0.0
        Time of the event loop in seconds.
    """

    request_id: str
    organisation: str
    is_idempotent: bool
    body: bytes
    node: str = ''
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ReceivedReply:
    """Reply as its caller received it.

    Parameters
    ----------
    status : int
        HTTP status; 0 if the connection failed.
    echoed_id : str
        Request id in the headers of the reply.
    is_stamped : bool
        Whether the reply has the response stamp, a header that only
        backend servers set.
    body : bytes
        Complete response body.
    """

    status: int
    echoed_id: str
    is_stamped: bool
    body: bytes


@dataclass(frozen=True, slots=True)
class Execution:
    """Execution of a request at a backend server.

    Parameters
    ----------
    at : float
        Time of the event loop in seconds.
    instance : str
        Instance id of the backend server.
    request : ReceivedRequest
        Request as the backend server received it.
    """

    at: float
    instance: str
    request: ReceivedRequest


@dataclass(frozen=True, slots=True)
class ProcessEnd:
    """End of a process that nobody had asked for.

    Parameters
    ----------
    node : str
        Name of the node.
    returncode : int
        Exit code, or the negative number of the signal.
    seconds : float
        Time since the process was started, in seconds.
    """

    node: str
    returncode: int
    seconds: float


@dataclass(slots=True)
class History:
    """Stores the requests, replies and executions of a soak test.

    `find_violations` checks them against the invariants.

    Parameters
    ----------
    complete_body : bytes
        Body of every response of the backend servers.
    """

    complete_body: bytes
    request_by_id: dict[str, SentRequest] = field(default_factory=dict)
    reply_by_id: dict[str, ReceivedReply] = field(default_factory=dict)
    executions: list[Execution] = field(default_factory=list)
    drain_confirmed_at_by_instance: dict[str, float] = field(
        default_factory=dict
    )
    # When a node first passed on an answer with the announcement of a backend
    # server, by instance and node, and when the limit of an instance ended.
    leaving_told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    limit_told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    limit_ended_at_by_instance: dict[str, float] = field(default_factory=dict)
    # When a request that crashes backend servers has crashed one, by its path.
    crashes_at_by_path: dict[str, list[float]] = field(default_factory=dict)
    # A restart or a pause of a node excuses it from what it was told before.
    disrupted_at_by_node: dict[str, float] = field(default_factory=dict)
    process_ends: list[ProcessEnd] = field(default_factory=list)

    def is_bound(
        self,
        told_at_by_key: Mapping[tuple[str, str], float],
        execution: Execution,
        seconds: float,
    ) -> bool:
        """Tell whether the node of a request was bound by an announcement.

        Parameters
        ----------
        told_at_by_key : mapping of (str, str) to float
            When nodes passed on the announcement, by instance and node.
        execution : Execution
            Execution of the request.
        seconds : float
            Time between the announcement and the request from which on the node
            is bound.
        """
        sent = self.request_by_id.get(execution.request.request_id)
        if sent is None:
            return False
        told_at = told_at_by_key.get((execution.instance, sent.node))
        if told_at is None or sent.sent_at <= told_at + seconds:
            return False
        return self.disrupted_at_by_node.get(sent.node, 0.0) < told_at

    def find_late_crashes(self, path: str) -> list[Violation]:
        """Return a violation if a request has crashed too many servers.

        Parameters
        ----------
        path : str
            Path of a request that was repeated while there were no faults.
        """
        crashes = self.crashes_at_by_path.get(path, [])
        late = [
            crash
            for crash in crashes[_COUNTED_CRASHES:]
            if crash > crashes[_COUNTED_CRASHES - 1] + STABLE_WINDOW_SECONDS
        ]
        if len(late) <= MAX_LATE_CRASHES:
            return []
        return [Violation('crashes', path, f'{len(late)} late of {crashes}')]

    def find_refused_harmless(self) -> list[Violation]:
        """Return the harmless requests that were refused as quarantined."""
        return [
            Violation('harmless', request_id, 'refused as quarantined')
            for request_id, reply in self.reply_by_id.items()
            if reply.body == _QUARANTINED
        ]

    def find_violations(
        self,
        key: str,
        rate: float,
        burst: float,
        capped: str,
    ) -> list[Violation]:
        """Return all violations of the invariants.

        Parameters
        ----------
        key : str
            Text contained in every API key.
        rate, burst : float
            Usage cap of the capped organisation: requests per second, and
            requests at once.
        capped : str
            Name of the capped organisation.
        """
        executions_by_id: dict[str, list[Execution]] = {}
        for execution in self.executions:
            executions_by_id.setdefault(
                execution.request.request_id, []
            ).append(execution)
        return [
            *self._find_invalid_replies(),
            *self._find_invalid_executions(key),
            *self._find_non_idempotent_violations(executions_by_id),
            *self._find_cap_violations(rate, burst, capped),
            *self._find_leaving_violations(),
            *self._find_limit_violations(),
            *self._find_ended_processes(),
        ]

    def _find_ended_processes(self) -> Iterator[Violation]:
        for end in self.process_ends:
            is_signal = end.returncode < 0
            if is_signal and end.seconds <= EXCUSED_END_SECONDS:
                continue
            detail = (
                f'{end.node} ended with {end.returncode}, '
                f'{end.seconds:.2f} s after its start'
            )
            yield Violation('process ends', '', detail)

    def _find_invalid_replies(self) -> Iterator[Violation]:
        for request_id, reply in self.reply_by_id.items():
            if reply.status != _OK_STATUS:
                continue
            if reply.echoed_id != request_id:
                yield Violation(
                    'response belongs to request', request_id, reply.echoed_id
                )
            if not reply.is_stamped or reply.body != self.complete_body:
                detail = (
                    f'{len(reply.body)} of {len(self.complete_body)} bytes, '
                    f'stamped: {reply.is_stamped}'
                )
                yield Violation('response complete', request_id, detail)

    def _find_invalid_executions(self, key: str) -> Iterator[Violation]:
        for execution in self.executions:
            for invariant, detail in self._check_execution(execution, key):
                yield Violation(invariant, execution.request.request_id, detail)

    def _check_execution(
        self, execution: Execution, key: str
    ) -> Iterator[tuple[str, str]]:
        sent = self.request_by_id.get(execution.request.request_id)
        if sent is None:
            yield 'request was sent', execution.instance
            return
        if execution.request.body != sent.body:
            yield 'body unchanged', execution.instance
        headers = execution.request.headers
        if headers.get('Mustardshunt-Tenant') != sent.organisation:
            yield 'organisation of the key', execution.instance
        if any(key in text for text in headers.values()):
            yield 'key not forwarded', execution.instance
        confirmed_at = self.drain_confirmed_at_by_instance.get(
            execution.instance, float('inf')
        )
        if execution.at > confirmed_at + DRAIN_SECONDS:
            yield (
                'drain',
                (
                    f'{execution.at - confirmed_at:.2f} s after the drain was '
                    f'confirmed, {DRAIN_SECONDS:.2f} s allowed'
                ),
            )

    def _find_non_idempotent_violations(
        self,
        executions_by_id: dict[str, list[Execution]],
    ) -> Iterator[Violation]:
        for request_id, executions in executions_by_id.items():
            sent = self.request_by_id.get(request_id)
            if sent is None or sent.is_idempotent:
                continue
            places = ', '.join(
                f'{execution.instance} {execution.at:.3f}'
                for execution in executions
            )
            if len(executions) > 1:
                yield Violation('at most once', request_id, places)
            reply = self.reply_by_id.get(request_id)
            if reply is not None and reply.status in NOT_RUN_STATUSES:
                detail = f'status {reply.status}, but ran at {places}'
                yield Violation('not run', request_id, detail)

    def _find_leaving_violations(self) -> Iterator[Violation]:
        for execution in self.executions:
            if self.is_bound(self.leaving_told_at, execution, DRAIN_SECONDS):
                yield Violation(
                    'leaving',
                    execution.request.request_id,
                    f'ran at {execution.instance}, {execution.at:.3f}',
                )

    def _find_limit_violations(self) -> Iterator[Violation]:
        starts_by_instance: dict[str, list[float]] = {}
        for execution in self.executions:
            ended_at = self.limit_ended_at_by_instance.get(
                execution.instance, float('inf')
            )
            if execution.at < ended_at and self.is_bound(
                self.limit_told_at, execution, LIMIT_TOLD_SECONDS
            ):
                starts_by_instance.setdefault(execution.instance, []).append(
                    execution.at
                )
        bound = REQUEST_LIMIT * LIMIT_WINDOW_SECONDS * LIMIT_EXCESS_RATIO
        bound += LIMIT_EXCESS_REQUESTS
        for instance, starts in starts_by_instance.items():
            most = _most_in_window(starts, LIMIT_WINDOW_SECONDS)
            if most > bound:
                detail = (
                    f'{most} executions at {instance} in '
                    f'{LIMIT_WINDOW_SECONDS:.0f} s, {bound:.0f} allowed'
                )
                yield Violation('limit', '', detail)

    def _find_cap_violations(
        self,
        rate: float,
        burst: float,
        capped: str,
    ) -> Iterator[Violation]:
        starts = sorted(
            execution.at
            for execution in self.executions
            if execution.request.headers.get('Mustardshunt-Tenant') == capped
        )
        cap = rate * CAP_WINDOW_SECONDS + burst
        bound = cap * (1 + CAP_OVERAGE) + CAP_SLACK
        most = _most_in_window(starts, CAP_WINDOW_SECONDS)
        if most > bound:
            detail = (
                f'{most} executions in {CAP_WINDOW_SECONDS:.0f} s, '
                f'{bound:.0f} allowed'
            )
            yield Violation('cap', '', detail)


def _most_in_window(starts: Sequence[float], seconds: float) -> int:
    """Return the largest number of sorted times within any window."""
    most = 0
    for index, start in enumerate(starts):
        end = bisect.bisect_left(starts, start + seconds)
        most = max(most, end - index)
    return most
