"""Metrics of one simulated run."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from operator import itemgetter
from typing import Final, TypeAlias

from mustardshunt.base import Importance
from mustardshunt.measure._call import Request
from mustardshunt.measure._model import Scenario
from mustardshunt.measure._simulation import (
    RECOVERY_WINDOW_SECONDS,
    WARM_UP_SECONDS,
    Simulation,
)

_BIN_SECONDS: Final = 0.5
# A time bin counts as recovered from this goodput on. The recovery ends with
# this number of recovered bins in a row.
_RECOVERED_GOODPUT: Final = 0.9
_RECOVERED_BINS: Final = 4

_Counts: TypeAlias = dict[str, Counter[int]]


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """Metrics of one simulated run, or means over several runs.

    Parameters
    ----------
    deployment, scenario, control : str
        Names of the deployment, the scenario and the control variant.
    goodput : float
        Requests answered in time, as a fraction of the smaller of the
        capacity and the requests offered within the rate limits. The requests
        are counted during the trigger. If the scenario sends failed requests
        again, they are counted for the same duration after the trigger.
    goodput_important : float
        Goodput of the critical requests alone.
    recovery_s : float
        Seconds from the end of the trigger until the beginning of the first 2 s
        in which goodput is at least 0.9 throughout.
    worst_share : float
        Answers of the worst-served organisation, as a fraction of its fair
        share. The fair shares divide the capacity by importance first, then
        equally between organisations.
    worst_share_flat : float
        Like ``worst_share``, but the fair shares divide the capacity equally
        regardless of importance.
    refused_within_rate : float
        Fraction of the requests within the rate limits that were refused
        and never answered.
    wasted_work : float
        Fraction of the backend servers' processing time that went to
        attempts not answered in time.
    critical_refused_while_lower_served : float
        Number of critical calls that a gate refused while a call of lower
        importance ran or was queued at this gate.
    """

    deployment: str
    scenario: str
    control: str
    goodput: float
    goodput_important: float
    recovery_s: float
    worst_share: float
    worst_share_flat: float
    refused_within_rate: float
    wasted_work: float
    critical_refused_while_lower_served: float


def compute_metrics(run: Simulation) -> RunMetrics:
    """Compute the metrics of a run that has ended."""
    begin = run.trigger_end if run.scenario.resends_failed else WARM_UP_SECONDS
    end = begin + run.scenario.trigger_seconds
    window = [
        item for item in run.callers.requests if begin <= item.arrival < end
    ]
    critical = [
        item for item in window if item.importance is Importance.CRITICAL
    ]
    busy = sum(node.server.busy_seconds for node in run.nodes())
    return RunMetrics(
        run.deployment.name,
        run.scenario.name,
        run.control.name,
        goodput=_compute_goodput(run, window),
        goodput_important=_compute_goodput(run, critical),
        recovery_s=_compute_recovery(run, run.callers.requests),
        worst_share=_compute_worst_share(run, window, by_importance=True),
        worst_share_flat=_compute_worst_share(
            run,
            window,
            by_importance=False,
        ),
        refused_within_rate=_compute_refused(window),
        wasted_work=1 - run.callers.useful_seconds / busy,
        critical_refused_while_lower_served=sum(
            node.critical_inversions for node in run.nodes()
        ),
    )


def _get_capacity(run: Simulation, service: str, time: float) -> float:
    """Return the calls per second that a service can answer at that time."""
    spec = run.deployment.service_by_name[service]
    scenario: Scenario = run.scenario
    if not run.is_trigger_active(time):
        return spec.capacity
    servers = spec.servers
    factor = 1.0
    if scenario.data_centre_leaves:
        servers -= len(range(0, servers, run.deployment.data_centres))
    if service == run.deployment.deepest_service:
        servers -= scenario.cold_servers
        factor = scenario.slowdown
    return spec.capacity * servers / spec.servers / factor


def _count_by_bin(
    run: Simulation,
    requests: Iterable[Request],
) -> tuple[_Counts, _Counts]:
    """Count the offered and the answered requests of each time bin.

    The counts are kept apart by the bottleneck service of the requests.
    """
    offered: _Counts = {}
    answered: _Counts = {}
    for name, items in _split_by_bottleneck(run, requests).items():
        offered[name] = Counter()
        answered[name] = Counter()
        for item in items:
            number = int((item.arrival - WARM_UP_SECONDS) // _BIN_SECONDS)
            offered[name][number] += item.within_rate
            answered[name][number] += item.answered
    return offered, answered


def _count_allowed(run: Simulation, offered: _Counts, number: int) -> float:
    time = WARM_UP_SECONDS + number * _BIN_SECONDS
    return sum(
        min(counts[number], _get_capacity(run, name, time) * _BIN_SECONDS)
        for name, counts in offered.items()
    )


def _compute_goodput(run: Simulation, requests: list[Request]) -> float:
    offered, answered = _count_by_bin(run, requests)
    bins = {number for counts in offered.values() for number in counts}
    allowed = sum(
        _count_allowed(run, offered, number) for number in sorted(bins)
    )
    total = sum(counts.total() for counts in answered.values())
    return min(1.0, total / allowed)


def _compute_recovery(run: Simulation, requests: list[Request]) -> float:
    offered, answered = _count_by_bin(run, requests)
    first = int(run.scenario.trigger_seconds / _BIN_SECONDS)
    # Requests that were sent within the last caller time-out may not have ended
    # yet.
    last = first + int(
        (RECOVERY_WINDOW_SECONDS - run.deployment.caller_timeout) / _BIN_SECONDS
    )
    in_a_row = 0
    for number in range(first, last):
        answered_count = sum(counts[number] for counts in answered.values())
        is_recovered = answered_count >= _RECOVERED_GOODPUT * _count_allowed(
            run, offered, number
        )
        in_a_row = in_a_row + 1 if is_recovered else 0
        if in_a_row == _RECOVERED_BINS:
            return (number + 1 - _RECOVERED_BINS - first) * _BIN_SECONDS
    return RECOVERY_WINDOW_SECONDS


def _compute_worst_share(
    run: Simulation,
    window: list[Request],
    by_importance: bool,
) -> float:
    fair_shares: Counter[int] = Counter()
    for name, requests in _split_by_bottleneck(run, window).items():
        remaining_capacity = (
            _get_capacity(run, name, window[0].arrival)
            * run.scenario.trigger_seconds
        )
        classes = reversed(Importance) if by_importance else [None]
        for importance in classes:
            sent = Counter(
                item.organisation
                for item in requests
                if item.within_rate and importance in {None, item.importance}
            )
            shares = _divide_equally(remaining_capacity, sent)
            fair_shares.update(shares)
            remaining_capacity -= sum(shares.values())
    served = Counter(item.organisation for item in window if item.answered)
    return min(
        served[organisation] / max(1, count)
        for organisation, count in fair_shares.items()
    )


def _compute_refused(window: list[Request]) -> float:
    within = Counter(item.organisation for item in window if item.within_rate)
    answered = Counter(item.organisation for item in window if item.answered)
    refused = Counter(
        item.organisation
        for item in window
        if item.was_refused and not item.answered
    )
    # An organisation that sends more than its rate has to be refused in part.
    # Its refusals count only as far as its answers fall short of the requests
    # within its rate.
    lost = (
        max(0, min(refused[organisation], count - answered[organisation]))
        for organisation, count in within.items()
    )
    return sum(lost) / within.total()


def _split_by_bottleneck(
    run: Simulation,
    requests: Iterable[Request],
) -> dict[str, list[Request]]:
    requests_by_name: dict[str, list[Request]] = {}
    for request in requests:
        kind = run.deployment.kinds[request.kind]
        name = run.deployment.bottleneck(kind)
        requests_by_name.setdefault(name, []).append(request)
    return requests_by_name


def _divide_equally(capacity: float, sent: Mapping[int, int]) -> dict[int, int]:
    """Divide capacity equally among organisations.

    No organisation gets more than the number of requests that it sent.

    Examples
    --------
    >>> _divide_equally(10, {1: 2, 2: 9, 3: 5})
    {1: 2, 3: 4, 2: 4}
    """
    share_by_organisation: dict[int, int] = {}
    for organisation, count in sorted(sent.items(), key=itemgetter(1)):
        equal_part = capacity / (len(sent) - len(share_by_organisation))
        share_by_organisation[organisation] = min(count, int(equal_part))
        capacity -= share_by_organisation[organisation]
    return share_by_organisation
