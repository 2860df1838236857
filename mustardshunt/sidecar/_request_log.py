"""Log lines about decisions on a request at its entry node."""

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
    """Logs why requests are refused, retried, lost or late.

    Parameters
    ----------
    log : EventLog
        Log to which the lines are written.
    registry : PolicyRegistry
        Registry of the active policy.
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

    def log_late(self, context: RequestContext, progress: Progress) -> None:
        """Log an answer that took longer than the latency objective."""
        now = self._clock.now()
        elapsed = now - context.started_at
        if elapsed <= context.route.latency_objective:
            return
        self._log.record(
            'answered-late',
            now,
            request=context.metadata.request_id,
            route=context.route.name,
            held_ms=round(elapsed * MS_PER_SECOND, 1),
            objective_ms=round(
                context.route.latency_objective * MS_PER_SECOND,
            ),
            member=progress.member,
            slowness=round(progress.slowness, 2),
            runs=progress.runs,
            refusals=progress.refusals,
        )

    def log_cap_reached(
        self, context: RequestContext, share: ShareView
    ) -> None:
        """Log a request that is refused for lack of a token.

        This node has no token of the organisation's rate.
        """
        self._log.record(
            'cap-reached',
            self._clock.now(),
            request=context.metadata.request_id,
            organisation=context.organisation,
            tokens=round(share.level, 2),
            depth=round(share.capacity, 2),
            rate=round(share.rate, 2),
            holders=share.holders,
            policy=self._registry.version,
        )

    def log_lost(
        self,
        context: RequestContext,
        progress: Progress,
        result: AnswerLost,
    ) -> None:
        """Log an attempt whose answer was lost."""
        self._log.record(
            'attempt-lost',
            self._clock.now(),
            request=context.metadata.request_id,
            route=context.route.name,
            member=progress.member,
            how=result.reason,
            is_idempotent=context.route.is_idempotent,
        )

    def log_retry(
        self,
        context: RequestContext,
        progress: Progress,
        cause: str,
    ) -> None:
        """Log that the request is sent to another member."""
        self._log.record(
            'sent-again',
            self._clock.now(),
            request=context.metadata.request_id,
            route=context.route.name,
            why=cause,
            runs=progress.runs,
        )

    def log_refused(
        self,
        refusal: RefusedError,
        request_id: str,
        route: str,
        organisation: str,
        elapsed: float,
    ) -> None:
        """Log a request that the node refuses.

        Parameters
        ----------
        refusal : RefusedError
            Refusal, with its reason.
        request_id : str
            Identifier of the request.
        route, organisation : str
            Names of the route and the organisation, empty when not known.
        elapsed : float
            Seconds since the request arrived.
        """
        self._log.record(
            'request-refused',
            self._clock.now(),
            request=request_id,
            route=route,
            organisation=organisation,
            reason=refusal.reason.value,
            status=status_of(refusal.reason),
            held_ms=round(elapsed * MS_PER_SECOND, 1),
            policy=self._registry.version,
        )
