"""Figures of one run."""

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

_BIN: Final = 0.5
# A recovered bin, and how many of them in a row end the recovery.
_RECOVERED: Final = 0.9
_BINS_IN_A_ROW: Final = 4

_Counts: TypeAlias = dict[str, Counter[int]]


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """What one run showed.

    Parameters
    ----------
    deployment, scenario, control : str
        Names.
    goodput : float
        Requests answered in time over those that capacity allows, or those
        offered within the rate if fewer, during the trigger (for as long
        after it, when all callers retry at once).
    goodput_important : float
        The same for critical requests.
    recovery_s : float
        Seconds after the trigger until goodput stays above 0.9.
    worst_share : float
        Answers of the worst-served organisation over its due; capacity is
        shared out by importance first, then equally.
    worst_share_flat : float
        The same with capacity shared out equally whatever the importance.
    refused_within_rate : float
        Requests within the rate that were refused and not answered, over
        requests within the rate.
    wasted_work : float
        Backend time for attempts that were not answered in time, over all.
    critical_refused_while_lower_served : float
        Critical calls that a gate refused while a lower one was running or
        queued there.
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
    """Compute the figures of a run that has ended."""
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


def _capacity(run: Simulation, service: str, time: float) -> float:
    """Return the calls per second that a service can answer at a time."""
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
    """Count requests offered and answered by bottleneck and bin."""
    offered: _Counts = {}
    answered: _Counts = {}
    for name, items in _split_by_bottleneck(run, requests).items():
        offered[name] = Counter()
        answered[name] = Counter()
        for item in items:
            number = int((item.arrival - WARM_UP_SECONDS) // _BIN)
            offered[name][number] += item.within_rate
            answered[name][number] += item.answered
    return offered, answered


def _allowed(run: Simulation, offered: _Counts, number: int) -> float:
    time = WARM_UP_SECONDS + number * _BIN
    return sum(
        min(counts[number], _capacity(run, name, time) * _BIN)
        for name, counts in offered.items()
    )


def _compute_goodput(run: Simulation, requests: list[Request]) -> float:
    offered, answered = _count_by_bin(run, requests)
    bins = {number for counts in offered.values() for number in counts}
    allowed = sum(_allowed(run, offered, number) for number in sorted(bins))
    total = sum(counts.total() for counts in answered.values())
    return min(1.0, total / allowed)


def _compute_recovery(run: Simulation, requests: list[Request]) -> float:
    offered, answered = _count_by_bin(run, requests)
    first = int(run.scenario.trigger_seconds / _BIN)
    # requests of the last two seconds may not have ended
    last = first + int(
        (RECOVERY_WINDOW_SECONDS - run.deployment.caller_timeout) / _BIN
    )
    in_a_row = 0
    for number in range(first, last):
        good = sum(counts[number] for counts in answered.values())
        is_good = good >= _RECOVERED * _allowed(run, offered, number)
        in_a_row = in_a_row + 1 if is_good else 0
        if in_a_row == _BINS_IN_A_ROW:
            return (number + 1 - _BINS_IN_A_ROW - first) * _BIN
    return RECOVERY_WINDOW_SECONDS


def _compute_worst_share(
    run: Simulation,
    window: list[Request],
    by_importance: bool,
) -> float:
    due: Counter[int] = Counter()
    for name, requests in _split_by_bottleneck(run, window).items():
        left = (
            _capacity(run, name, window[0].arrival)
            * run.scenario.trigger_seconds
        )
        classes = reversed(Importance) if by_importance else [None]
        for importance in classes:
            sent = Counter(
                item.organisation
                for item in requests
                if item.within_rate and importance in {None, item.importance}
            )
            shared = _share_out(left, sent)
            due.update(shared)
            left -= sum(shared.values())
    served = Counter(item.organisation for item in window if item.answered)
    return min(
        served[organisation] / max(1, count)
        for organisation, count in due.items()
    )


def _compute_refused(window: list[Request]) -> float:
    within = Counter(item.organisation for item in window if item.within_rate)
    answered = Counter(item.organisation for item in window if item.answered)
    refused = Counter(
        item.organisation
        for item in window
        if item.was_refused and not item.answered
    )
    # an organisation beyond its rate loses only what is short of the rate
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


def _share_out(capacity: float, sent: Mapping[int, int]) -> dict[int, int]:
    """Share capacity out equally, none getting more than it sent.

    Examples
    --------
    >>> _share_out(10, {1: 2, 2: 9, 3: 5})
    {1: 2, 3: 4, 2: 4}
    """
    due: dict[int, int] = {}
    for name, count in sorted(sent.items(), key=itemgetter(1)):
        part = capacity / (len(sent) - len(due))
        due[name] = min(count, int(part))
        capacity -= due[name]
    return due
