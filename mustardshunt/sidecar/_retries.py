"""Decides after each attempt whether a request is sent to another member."""

from typing import Final

from mustardshunt.base import Clock, Reason
from mustardshunt.load_balancing import LoadBalancer, RetryKind
from mustardshunt.relay import Answered, AnswerLost, NotRun
from mustardshunt.sidecar._refusals import RefusedError, unavailable
from mustardshunt.sidecar._request_context import Progress, RequestContext
from mustardshunt.sidecar._request_log import RequestLog
from mustardshunt.sidecar._retry_budget import RetryBudget

# A request that was refused at most this many times is sent to another member;
# after one more refusal, no other member is tried. A call refused by a node has
# not reached the backend server of that node, so sending the call to another
# member is not a retry.
MAX_REROUTES: Final = 3

# With chain admission, a call that backend servers reject is sent at most this
# many times more, also to members that have rejected it before. With 4 attempts
# in all, of which 55 in 100 are rejected, 46 in 100 chains of eight calls
# succeed however many retries are allowed; with 10 attempts, 98.
MAX_CHAIN_REJECTIONS: Final = 9

# Time after which a caller may retry a request that another node has refused as
# quarantined. By then this node knows how long the quarantine lasts.
QUARANTINED_RETRY_AFTER_SECONDS: Final = 10.0

_SERVER_ERROR: Final = 500
_GATEWAY_TIMEOUT: Final = 504


class Retries:
    """Retries of one node.

    A call that has not run is sent to another member. A call that may have run
    is sent again only if its route is idempotent, and only while the retry
    budget allows it.

    Parameters
    ----------
    balancer : LoadBalancer
        Knows the members that are left for another attempt.
    budget : RetryBudget
        Bounds the retries to each service.
    log : RequestLog
        Log of lost answers and of retries.
    clock : Clock
        Source of the time.
    has_chain_admission : bool, default=False
        Whether rejected calls are retried as long as the budget allows it.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        budget: RetryBudget,
        log: RequestLog,
        clock: Clock,
        has_chain_admission: bool = False,
    ) -> None:
        self._has_chain_admission = has_chain_admission
        self._balancer = balancer
        self._budget = budget
        self._log = log
        self._clock = clock

    async def may_retry_answer(
        self,
        context: RequestContext,
        progress: Progress,
        answer: Answered,
    ) -> bool:
        """Tell whether a request is sent again although it was answered.

        Only requests of callers are retried after an error of a backend server.

        Parameters
        ----------
        context : RequestContext
            The request.
        progress : Progress
            Attempts so far; the answer is recorded in it.
        answer : Answered
            Answer of the last attempt.
        """
        if answer.status < _SERVER_ERROR or answer.status == _GATEWAY_TIMEOUT:
            return False
        if context.is_child_call:
            # The error may come from a service further down the call chain. The
            # call to that service has been retried already.
            return False
        progress.runs += 1
        progress.last_answer = answer
        return await self._may_retry(context, progress, 'failed')

    async def record_not_run(
        self,
        context: RequestContext,
        progress: Progress,
        result: NotRun,
    ) -> None:
        """Record that the last attempt has not run.

        Raises
        ------
        RefusedError
            The request is not sent to another member.
        """
        reason = Reason(result.reason)
        progress.last_reason = reason
        progress.refusals += 1
        progress.rejections += reason is Reason.REJECTED
        if reason is Reason.QUARANTINED:
            raise RefusedError(reason, QUARANTINED_RETRY_AFTER_SECONDS)
        if self._has_too_many_refusals(progress):
            raise unavailable(reason, context.route.latency_objective)
        if reason is not Reason.REJECTED:
            return
        if self._has_chain_admission:
            self._allow_tried_members(context, progress)
        # The backend server itself rejected the call, so another attempt
        # counts as a retry against the service's retry throttle.
        if not await self._spend_retry(context):
            raise unavailable(reason, context.route.latency_objective)

    async def record_lost(
        self,
        context: RequestContext,
        progress: Progress,
        result: AnswerLost,
    ) -> None:
        """Record that the last attempt may have run, without an answer.

        Raises
        ------
        RefusedError
            The request is not sent to another member.
        """
        progress.runs += 1
        self._log.log_lost(context, progress, result)
        if await self._may_retry(context, progress, result.reason):
            return
        raise RefusedError(Reason.BACKEND_SERVER_LOST)

    async def _may_retry(
        self,
        context: RequestContext,
        progress: Progress,
        cause: str,
    ) -> bool:
        route = context.route
        now = self._clock.now()
        if not route.is_idempotent or progress.runs >= route.max_attempts:
            return False
        other_member = self._balancer.choose(
            context.service, progress.tried, now
        )
        if other_member is None or not await self._spend_retry(
            context, route.name
        ):
            return False
        self._log.log_retry(context, progress, cause)
        return True

    def _has_too_many_refusals(self, progress: Progress) -> bool:
        if not self._has_chain_admission:
            return progress.refusals > MAX_REROUTES
        if progress.rejections > MAX_CHAIN_REJECTIONS:
            return True
        return progress.refusals - progress.rejections > MAX_REROUTES

    def _allow_tried_members(
        self, context: RequestContext, progress: Progress
    ) -> None:
        """Let a rejected call go to a member again if no other is left."""
        if progress.runs or len(progress.tried) < 2:
            return
        other_member = self._balancer.choose(
            context.service, progress.tried, self._clock.now()
        )
        if other_member is None:
            progress.tried = {progress.member}

    async def _spend_retry(
        self, context: RequestContext, failed_route: str = ''
    ) -> bool:
        return await self._budget.acquire(
            context.service,
            retry_kind_of(context),
            context.route.latency_objective,
            failed_route,
        )


def retry_kind_of(context: RequestContext) -> RetryKind:
    """Return the kind of call as which retries of a request are counted."""
    if context.is_child_call:
        return RetryKind.CHILD_CALL
    return RetryKind.REQUEST
