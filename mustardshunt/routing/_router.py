"""Choice of the member that answers a call."""

from mustardshunt.base import (
    Effect,
    Incarnation,
    MemberRecord,
    MemberState,
    RandomSource,
    Reason,
    Refusal,
)
from mustardshunt.routing._candidate import PROBE_INTERVAL, Candidate
from mustardshunt.routing._model import (
    CallEnded,
    CallStarted,
    EvacuatedDataCentresChanged,
    FailedAttempt,
    MemberReachable,
    MemberUnreachable,
    MemberUpdated,
    RetryDecision,
    RetryRule,
    RoutingEvent,
    RoutingRequest,
    Target,
)

_OVERLOADED = Refusal(
    Reason.OVERLOADED,
    Effect.NOT_RUN,
    'no backend server of the service accepts calls of this importance',
)
_NO_BACKEND_SERVER = Refusal(Reason.NO_BACKEND_SERVER, Effect.NOT_RUN)
# Failures that another member may not repeat. The others lie in the request
# or in its deadline, which are the same everywhere.
_RETRIABLE = frozenset((
    Reason.OVERLOADED,
    Reason.NOT_READY,
    Reason.BACKEND_SERVER_LOST,
    Reason.LINK_LOST,
))


class Router:
    """Candidates of each service and the choice among them.

    Parameters
    ----------
    own : Incarnation
        This node, whose own backend server is preferred.
    data_centre : str
        Data centre of this node, which is preferred next.
    """

    def __init__(self, own: Incarnation, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._out: frozenset[str] = frozenset()
        self._candidate_by_id: dict[Incarnation, Candidate] = {}
        self._candidates_by_service: dict[str, list[Candidate]] = {}

    def handle(self, event: RoutingEvent, now: float) -> None:
        """Take one event.

        Parameters
        ----------
        event : RoutingEvent
            What has happened.
        now : float
            Time, in seconds.
        """
        match event:
            case CallStarted(incarnation):
                candidate = self._candidate_by_id.get(incarnation)
                if candidate is not None:
                    candidate.in_flight += 1
            case CallEnded():
                self._handle_ended(event, now)
            case MemberUpdated(record):
                self._handle_updated(record, now)
            case EvacuatedDataCentresChanged(names):
                self._out = names
                for candidate in self._candidate_by_id.values():
                    self._update_availability(candidate, now)
            case MemberUnreachable(incarnation):
                self._record_silence(incarnation, now, silent=True)
            case MemberReachable(incarnation):
                self._record_silence(incarnation, now, silent=False)

    def choose(
        self,
        call: RoutingRequest,
        now: float,
        random: RandomSource,
    ) -> Target | Refusal:
        """Choose the member for a call.

        Parameters
        ----------
        call : RoutingRequest
            What is called, and the members to avoid.
        now : float
            Time, in seconds.
        random : RandomSource
            Source of random choices.

        Returns
        -------
        Target or Refusal
            A refusal means that the call did not run. Report the choice with
            ``CallStarted`` before the next one.
        """
        offered = self._offered(call)
        if not offered:
            return _OVERLOADED if call.excluded else _NO_BACKEND_SERVER
        accepting = [
            candidate for candidate in offered if candidate.accepts(call, now)
        ]
        if not accepting:
            return self._probe(offered, call.route, now)
        willing = [
            candidate
            for candidate in accepting
            if candidate.backoff_until <= now
        ]
        return self._choose_among(willing or accepting, call, now, random)

    def is_refused_by_all(self, call: RoutingRequest, now: float) -> bool:
        """Tell whether all members refuse a call, and no probe is due.

        Parameters
        ----------
        call : RoutingRequest
            What is called.
        now : float
            Time, in seconds.
        """
        offered = self._offered(call)
        if not offered or any(item.accepts(call, now) for item in offered):
            return False
        return now - _last_probe(offered) < PROBE_INTERVAL

    def find_shedding_threshold(
        self, service: str, route: str, now: float
    ) -> int | None:
        """Return the lowest importance that some member of a service accepts.

        Parameters
        ----------
        service : str
            Service.
        route : str
            Route of it.
        now : float
            Time, in seconds.

        Returns
        -------
        int or None
            None when no member offers the service.
        """
        levels = [
            candidate.find_shedding_threshold(route, now)
            for candidate in self._candidates_by_service.get(service, ())
            if candidate.available_since is not None
        ]
        return min(levels, default=None)

    def decide_retry(self, attempt: FailedAttempt, now: float) -> RetryDecision:
        """Tell whether a failed attempt may be followed by another.

        Parameters
        ----------
        attempt : FailedAttempt
            What failed, and what remains of budget and ratio.
        now : float
            Time, in seconds.

        Returns
        -------
        RetryDecision
            The rule that decided.
        """
        rule = _find_objection(attempt, now)
        if rule is None and not self._has_other(attempt.call, now):
            rule = RetryRule.NO_OTHER_MEMBER
        if rule is None and attempt.reason is Reason.DRAINING:
            rule = RetryRule.REROUTE
        return RetryDecision(rule or RetryRule.RETRY)

    def snapshot(self) -> dict[Incarnation, int]:
        """Return the calls in flight by member."""
        return {
            incarnation: candidate.in_flight
            for incarnation, candidate in self._candidate_by_id.items()
        }

    def _handle_ended(self, event: CallEnded, now: float) -> None:
        candidate = self._candidate_by_id.get(event.incarnation)
        if candidate is None:
            return
        candidate.in_flight = max(candidate.in_flight - 1, 0)
        if event.shedding_threshold is not None:
            candidate.threshold_by_route[event.route] = (
                event.shedding_threshold,
                now,
            )
        if event.refusal is not None:
            candidate.record_refusal(event.refusal, now)

    def _handle_updated(self, record: MemberRecord, now: float) -> None:
        known = self._candidate_by_id.get(record.incarnation)
        if known is None:
            if record.state is MemberState.GONE:
                return
            known = Candidate(record, None)
            self._candidate_by_id[record.incarnation] = known
        elif record.sequence < known.record.sequence:
            # Records of the same sequence differ in state: a member that
            # falls silent does not raise its sequence itself.
            return
        self._unlist(known)
        if record.state is MemberState.GONE:
            self._candidate_by_id.pop(record.incarnation)
            return
        known.record = record
        known.distance = self._measure_distance(record)
        if record.service:
            peers = self._candidates_by_service.setdefault(record.service, [])
            peers.append(known)
        self._update_availability(known, now)

    def _unlist(self, candidate: Candidate) -> None:
        peers = self._candidates_by_service.get(candidate.record.service, [])
        if candidate in peers:
            peers.remove(candidate)

    def _update_availability(self, candidate: Candidate, now: float) -> None:
        is_out = candidate.record.data_centre in self._out
        candidate.update_availability(is_evacuated=is_out, now=now)

    def _record_silence(
        self,
        incarnation: Incarnation,
        now: float,
        *,
        silent: bool,
    ) -> None:
        candidate = self._candidate_by_id.get(incarnation)
        if candidate is None:
            return
        candidate.unreachable_since = now if silent else None
        self._update_availability(candidate, now)

    def _offered(self, call: RoutingRequest) -> list[Candidate]:
        return [
            candidate
            for candidate in self._candidates_by_service.get(call.service, ())
            if candidate.available_since is not None
            and candidate.record.incarnation not in call.excluded
        ]

    def _has_other(self, call: RoutingRequest, now: float) -> bool:
        return any(
            candidate.accepts(call, now) and candidate.backoff_until <= now
            for candidate in self._offered(call)
        )

    def _probe(
        self,
        offered: list[Candidate],
        route: str,
        now: float,
    ) -> Target | Refusal:
        """Let one call through now and then, so that a level is renewed."""
        if now - _last_probe(offered) < PROBE_INTERVAL:
            return _OVERLOADED
        lowest = min(
            offered, key=lambda item: item.find_shedding_threshold(route, now)
        )
        lowest.probed_at = now
        return self._make_target(lowest, is_probe=True)

    def _choose_among(
        self,
        candidates: list[Candidate],
        call: RoutingRequest,
        now: float,
        random: RandomSource,
    ) -> Target:
        admitted = [
            candidate
            for candidate in candidates
            if candidate.full_share_from <= now
            or random.random() < candidate.traffic_share(now)
        ]
        pool = admitted or candidates
        nearest = _choose_nearest(pool, 1 if call.is_own_full else 0)
        return self._make_target(_choose_less_loaded(nearest, random))

    def _measure_distance(self, record: MemberRecord) -> int:
        if record.state is MemberState.SUSPECT:
            return 3
        if record.incarnation == self._own:
            return 0
        return 1 if record.data_centre == self._data_centre else 2

    def _make_target(
        self,
        candidate: Candidate,
        *,
        is_probe: bool = False,
    ) -> Target:
        record = candidate.record
        is_own = record.incarnation == self._own
        return Target(record.incarnation, record.address, is_own, is_probe)


def make_router(own: Incarnation, data_centre: str) -> Router:
    """Return a router without candidates.

    Parameters
    ----------
    own : Incarnation
        This node.
    data_centre : str
        Data centre of this node.
    """
    return Router(own, data_centre)


def _last_probe(candidates: list[Candidate]) -> float:
    return max(candidate.probed_at for candidate in candidates)


def _choose_nearest(
    candidates: list[Candidate],
    least: int,
) -> list[Candidate]:
    """Return the candidates at the least distance; below ``least`` is equal."""
    best = max(least, min(candidate.distance for candidate in candidates))
    return [item for item in candidates if item.distance <= best]


def _choose_less_loaded(
    candidates: list[Candidate],
    random: RandomSource,
) -> Candidate:
    """Return the less loaded of two different random candidates."""
    count = len(candidates)
    place = random.randrange(0, count)
    first = candidates[place]
    if count == 1:
        return first
    second = candidates[(place + random.randrange(1, count)) % count]
    return second if second.in_flight < first.in_flight else first


def _find_objection(attempt: FailedAttempt, now: float) -> RetryRule | None:
    """Return the first rule that forbids a retry."""
    not_run = attempt.effect is Effect.NOT_RUN
    draining = attempt.reason is Reason.DRAINING and not_run
    if not draining and attempt.reason not in _RETRIABLE:
        return RetryRule.NOT_RETRIABLE
    if attempt.failed_deeper:
        return RetryRule.FAILED_DEEPER
    if not not_run and not attempt.idempotent:
        return RetryRule.MAY_HAVE_RUN
    if now >= attempt.deadline:
        return RetryRule.TOO_LATE
    if draining:
        return None
    if attempt.retries_left <= 0:
        return RetryRule.NO_BUDGET
    return None if attempt.is_within_retry_ratio else RetryRule.NO_RATIO
