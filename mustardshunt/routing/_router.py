"""Choice of the member that gets a call, and decisions on retries."""

from mustardshunt.base import (
    Effect,
    Incarnation,
    MemberRecord,
    MemberState,
    RandomSource,
    Reason,
    Refusal,
)
from mustardshunt.routing._candidate import PROBE_INTERVAL_SECONDS, Candidate
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
# Reasons of failures after which another member may succeed. The other reasons
# concern the request or its deadline, which are the same at every member.
_RETRIABLE = frozenset((
    Reason.OVERLOADED,
    Reason.NOT_READY,
    Reason.BACKEND_SERVER_LOST,
    Reason.LINK_LOST,
))


class Router:
    """Keeps the members of each service and chooses a member for each call.

    Parameters
    ----------
    own : Incarnation
        Incarnation of this node, whose backend server is preferred.
    data_centre : str
        Data centre of this node, whose members are preferred next.
    """

    def __init__(self, own: Incarnation, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._evacuated_data_centres: frozenset[str] = frozenset()
        self._candidate_by_id: dict[Incarnation, Candidate] = {}
        self._candidates_by_service: dict[str, list[Candidate]] = {}

    def handle(self, event: RoutingEvent, now: float) -> None:
        """Update the state of the members after an event.

        Parameters
        ----------
        event : RoutingEvent
            The event.
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
                self._evacuated_data_centres = names
                for candidate in self._candidate_by_id.values():
                    self._update_availability(candidate, now)
            case MemberUnreachable(incarnation):
                self._record_reachability(incarnation, now, is_unreachable=True)
            case MemberReachable(incarnation):
                self._record_reachability(
                    incarnation, now, is_unreachable=False
                )

    def choose(
        self,
        call: RoutingRequest,
        now: float,
        random: RandomSource,
    ) -> Target | Refusal:
        """Choose the member for a call, and record when a probe was chosen.

        Parameters
        ----------
        call : RoutingRequest
            The call, with the members to which it has been sent already.
        now : float
            Time, in seconds.
        random : RandomSource
            Source of random numbers.

        Returns
        -------
        Target or Refusal
            Member to which the call is to be sent, or a refusal when the call
            must not be sent. The caller must report a target with
            ``CallStarted`` before the next choice, because the next choice
            compares the calls in flight at the members.
        """
        available = self._find_available(call)
        if not available:
            return _OVERLOADED if call.excluded else _NO_BACKEND_SERVER
        accepting = [
            candidate for candidate in available if candidate.accepts(call, now)
        ]
        if not accepting:
            return self._probe(available, call.route, now)
        not_backing_off = [
            candidate
            for candidate in accepting
            if candidate.backoff_until <= now
        ]
        return self._choose_among(
            not_backing_off or accepting, call, now, random
        )

    def is_refused_by_all(self, call: RoutingRequest, now: float) -> bool:
        """Tell whether all members refuse a call and no probe is due.

        A probe is a call that is sent although its importance is below the last
        known shedding threshold of every member.

        Parameters
        ----------
        call : RoutingRequest
            The call.
        now : float
            Time, in seconds.
        """
        available = self._find_available(call)
        if not available or any(item.accepts(call, now) for item in available):
            return False
        return now - _find_last_probe_time(available) < PROBE_INTERVAL_SECONDS

    def find_shedding_threshold(
        self, service: str, route: str, now: float
    ) -> int | None:
        """Return the lowest importance that any member of a service accepts.

        Parameters
        ----------
        service : str
            Name of the service.
        route : str
            Route of the service.
        now : float
            Time, in seconds.

        Returns
        -------
        int or None
            Lowest of the known shedding thresholds; None when no member of the
            service is available.
        """
        thresholds = [
            candidate.find_shedding_threshold(route, now)
            for candidate in self._candidates_by_service.get(service, ())
            if candidate.available_since is not None
        ]
        return min(thresholds, default=None)

    def decide_retry(self, attempt: FailedAttempt, now: float) -> RetryDecision:
        """Decide whether a failed attempt may be followed by another.

        Parameters
        ----------
        attempt : FailedAttempt
            The failed attempt, with the retries that remain.
        now : float
            Time, in seconds.

        Returns
        -------
        RetryDecision
            Decision with the first rule that applied.
        """
        rule = _find_forbidding_rule(attempt, now)
        if rule is None and not self._has_alternative(attempt.call, now):
            rule = RetryRule.NO_OTHER_MEMBER
        if rule is None and attempt.reason is Reason.DRAINING:
            rule = RetryRule.REROUTE
        return RetryDecision(rule or RetryRule.RETRY)

    def snapshot(self) -> dict[Incarnation, int]:
        """Return how many calls this node has in flight at each member."""
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
        candidate = self._candidate_by_id.get(record.incarnation)
        if candidate is None:
            if record.state is MemberState.GONE:
                return
            candidate = Candidate(record, None)
            self._candidate_by_id[record.incarnation] = candidate
        elif record.sequence < candidate.record.sequence:
            # A record with an equal sequence number is not outdated. Only the
            # member itself raises the sequence number; when other nodes change
            # the state of a silent member, they keep the sequence number.
            return
        self._remove_from_service(candidate)
        if record.state is MemberState.GONE:
            self._candidate_by_id.pop(record.incarnation)
            return
        candidate.record = record
        candidate.distance = self._measure_distance(record)
        if record.service:
            candidates = self._candidates_by_service.setdefault(
                record.service, []
            )
            candidates.append(candidate)
        self._update_availability(candidate, now)

    def _remove_from_service(self, candidate: Candidate) -> None:
        candidates = self._candidates_by_service.get(
            candidate.record.service, []
        )
        if candidate in candidates:
            candidates.remove(candidate)

    def _update_availability(self, candidate: Candidate, now: float) -> None:
        is_evacuated = (
            candidate.record.data_centre in self._evacuated_data_centres
        )
        candidate.update_availability(is_evacuated=is_evacuated, now=now)

    def _record_reachability(
        self,
        incarnation: Incarnation,
        now: float,
        *,
        is_unreachable: bool,
    ) -> None:
        candidate = self._candidate_by_id.get(incarnation)
        if candidate is None:
            return
        candidate.unreachable_since = now if is_unreachable else None
        self._update_availability(candidate, now)

    def _find_available(self, call: RoutingRequest) -> list[Candidate]:
        return [
            candidate
            for candidate in self._candidates_by_service.get(call.service, ())
            if candidate.available_since is not None
            and candidate.record.incarnation not in call.excluded
        ]

    def _has_alternative(self, call: RoutingRequest, now: float) -> bool:
        return any(
            candidate.accepts(call, now) and candidate.backoff_until <= now
            for candidate in self._find_available(call)
        )

    def _probe(
        self,
        available: list[Candidate],
        route: str,
        now: float,
    ) -> Target | Refusal:
        """Choose a member for a probe, unless the last probe was too recent."""
        if now - _find_last_probe_time(available) < PROBE_INTERVAL_SECONDS:
            return _OVERLOADED
        probed = min(
            available, key=lambda item: item.find_shedding_threshold(route, now)
        )
        probed.probed_at = now
        return self._make_target(probed, is_probe=True)

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
    """Return a router without members.

    Parameters
    ----------
    own : Incarnation
        Incarnation of this node.
    data_centre : str
        Data centre of this node.
    """
    return Router(own, data_centre)


def _find_last_probe_time(candidates: list[Candidate]) -> float:
    return max(candidate.probed_at for candidate in candidates)


def _choose_nearest(
    candidates: list[Candidate],
    min_distance: int,
) -> list[Candidate]:
    """Return the candidates with the smallest distance.

    All distances up to ``min_distance`` count as equally near.
    """
    max_distance = max(
        min_distance, min(candidate.distance for candidate in candidates)
    )
    return [item for item in candidates if item.distance <= max_distance]


def _choose_less_loaded(
    candidates: list[Candidate],
    random: RandomSource,
) -> Candidate:
    """Return the less loaded of two candidates chosen at random."""
    count = len(candidates)
    index = random.randrange(0, count)
    first = candidates[index]
    if count == 1:
        return first
    second = candidates[(index + random.randrange(1, count)) % count]
    return second if second.in_flight < first.in_flight else first


def _find_forbidding_rule(
    attempt: FailedAttempt, now: float
) -> RetryRule | None:
    """Return the first rule that forbids a retry; None if all allow it."""
    has_not_run = attempt.effect is Effect.NOT_RUN
    is_draining = attempt.reason is Reason.DRAINING and has_not_run
    if not is_draining and attempt.reason not in _RETRIABLE:
        return RetryRule.NOT_RETRIABLE
    if attempt.failed_deeper:
        return RetryRule.FAILED_DEEPER
    if not has_not_run and not attempt.idempotent:
        return RetryRule.MAY_HAVE_RUN
    if now >= attempt.deadline:
        return RetryRule.TOO_LATE
    if is_draining:
        return None
    if attempt.retries_left <= 0:
        return RetryRule.NO_BUDGET
    return None if attempt.is_within_retry_ratio else RetryRule.NO_RATIO
