"""Log lines of the decisions that touch a request at its entry node."""

from typing import Final

from mustardshunt.base import Clock
from mustardshunt.caps import ShareView
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
from mustardshunt.relay import AnswerLost
from mustardshunt.sidecar._refusals import RefusedError, status_of
from mustardshunt.sidecar._request_context import Progress, RequestContext

MS_PER_SECOND: Final = 1000.0


class RequestLog:
    """Writes what decided a request, with the version of the policy.

    Parameters
    ----------
    log : EventLog
        Takes the lines.
    registry : PolicyRegistry
        Policy in force.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        log: EventLog,
        registry: PolicyRegistry,
        clock: Clock,
    ) -> None:
        self._log = log
        self._registry = registry
        self._clock = clock

    def log_late(self, attempt: RequestContext, progress: Progress) -> None:
        """Note an answer that comes after its latency objective."""
        now = self._clock.now()
        held = now - attempt.started_at
        if held <= attempt.route.latency_objective:
            return
        self._log.record(
            'answered-late',
            now,
            request=attempt.metadata.request_id,
            route=attempt.route.name,
            held_ms=round(held * MS_PER_SECOND, 1),
            objective_ms=round(
                attempt.route.latency_objective * MS_PER_SECOND,
            ),
            member=progress.member,
            slowness=round(progress.slowness, 2),
            runs=progress.runs,
            refusals=progress.refusals,
        )

    def log_cap_reached(
        self, attempt: RequestContext, share: ShareView
    ) -> None:
        """Note a request for which its organisation has no token here."""
        self._log.record(
            'cap-reached',
            self._clock.now(),
            request=attempt.metadata.request_id,
            organisation=attempt.organisation,
            tokens=round(share.level, 2),
            depth=round(share.capacity, 2),
            rate=round(share.rate, 2),
            nodes=share.nodes,
            policy=self._registry.version,
        )

    def log_lost(
        self,
        attempt: RequestContext,
        progress: Progress,
        result: AnswerLost,
    ) -> None:
        """Note an attempt without an answer."""
        self._log.record(
            'attempt-lost',
            self._clock.now(),
            request=attempt.metadata.request_id,
            route=attempt.route.name,
            member=progress.member,
            how=result.reason,
            is_idempotent=attempt.route.is_idempotent,
        )

    def log_retry(
        self,
        attempt: RequestContext,
        progress: Progress,
        why: str,
    ) -> None:
        """Note that another attempt follows."""
        self._log.record(
            'sent-again',
            self._clock.now(),
            request=attempt.metadata.request_id,
            route=attempt.route.name,
            why=why,
            runs=progress.runs,
        )

    def log_refused(
        self,
        refusal: RefusedError,
        request_id: str,
        route: str,
        organisation: str,
        held: float,
    ) -> None:
        """Note a final reply of the node itself.

        Parameters
        ----------
        refusal : RefusedError
            Why.
        request_id : str
            Identity of the request.
        route, organisation : str
            Empty when they are not known.
        held : float
            Seconds since the request came.
        """
        self._log.record(
            'request-refused',
            self._clock.now(),
            request=request_id,
            route=route,
            organisation=organisation,
            reason=refusal.reason.value,
            status=status_of(refusal.reason),
            held_ms=round(held * MS_PER_SECOND, 1),
            policy=self._registry.version,
        )
