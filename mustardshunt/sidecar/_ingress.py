"""The node at which a request enters: checks, routes, retries, replies."""

import asyncio
import random
from typing import Final, Protocol

from mustardshunt.base import Clock, Reason
from mustardshunt.load_balancing import (
    LoadBalancer,
    MemberLoad,
    RetryKind,
    RetryThrottle,
    WeightedRoundRobin,
)
from mustardshunt.observability import EventLog
from mustardshunt.policy import PolicyRegistry
from mustardshunt.relay import (
    HOP_BY_HOP_HEADERS,
    Answered,
    AnswerLost,
    Call,
    HttpRequest,
    HttpResponse,
    NotRun,
    render_headers,
)
from mustardshunt.sidecar._dependencies import Dependencies
from mustardshunt.sidecar._dependent_route_cache import DependentRouteCache
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._peer_link import CallResult
from mustardshunt.sidecar._ports import HeaderCodec, RequestMetadata
from mustardshunt.sidecar._rate_limiter import RateLimiter
from mustardshunt.sidecar._refusals import (
    MIN_RETRY_AFTER_SECONDS,
    RefusedError,
    refusal_response,
    unavailable,
)
from mustardshunt.sidecar._request_context import (
    Progress,
    RequestContext,
    find_organisation,
    priority_rank_of,
)
from mustardshunt.sidecar._request_log import MS_PER_SECOND, RequestLog

# Part of the target latency for which a call may wait for a slot; a refusal
# that comes later has cost the caller the time for another attempt.
QUEUE_WAIT_FRACTION: Final = 0.25
# Calls that a running request needs wait longer: turning one away wastes
# what the request has used already.
CHILD_CALL_QUEUE_WAIT_FRACTION: Final = 0.6
# Members that may refuse a call before the entry node gives up; what a node
# refuses has not reached its backend server.
MAX_REROUTES: Final = 3
# Shorter times left are no use to any backend server.
MIN_REMAINING_SECONDS: Final = 0.002

_PERCENT: Final = 100
_SERVER_ERROR: Final = 500
_GATEWAY_TIMEOUT: Final = 504


class Sender(Protocol):
    """Sends calls to members, this node's own backend server included."""

    def send(self, name: str, call: Call) -> asyncio.Future[CallResult]:
        """Send a call to a member."""
        ...

    def cancel(self, name: str, number: int) -> None:
        """Stop waiting for a call."""
        ...


class Ingress:
    """Serves the requests of the callers beside this node.

    Parameters
    ----------
    service : str
        Service of the backend server beside this node.
    registry : PolicyRegistry
        Policy in force.
    balancer : LoadBalancer
        Chooses members.
    split : WeightedRoundRobin
        Divides a route among services.
    retries : RetryThrottle
        Bounds repeats.
    tokens : RateLimiter
        Bounds the rates of organisations.
    sender : Sender
        Sends calls.
    header_codec : HeaderCodec
        Headers of the platform.
    log : EventLog
        Takes decisions worth explaining.
    metrics : SidecarMetrics
        Counts outcomes.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        service: str,
        registry: PolicyRegistry,
        balancer: LoadBalancer,
        split: WeightedRoundRobin,
        retries: RetryThrottle,
        tokens: RateLimiter,
        sender: Sender,
        header_codec: HeaderCodec,
        log: EventLog,
        metrics: SidecarMetrics,
        clock: Clock,
    ) -> None:
        self._service = service
        self._registry = registry
        self._balancer = balancer
        self._split = split
        self._retries = retries
        self._tokens = tokens
        self._sender = sender
        self._dialect = header_codec
        self._lines = RequestLog(log, registry, clock)
        self._metrics = metrics
        self._clock = clock
        self._dropped = HOP_BY_HOP_HEADERS | header_codec.reserved_headers
        self._next_number = 0
        self.is_stopped = False
        self.dependencies = Dependencies()
        self._dependents = DependentRouteCache()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the reply to a request."""
        started_at = self._clock.now()
        facts = self._dialect.read_request(request)
        try:
            attempt = self._admit(request, facts, started_at)
        except RefusedError as error:
            return self._refuse(error, facts, '', '', started_at)
        outcome = 'cancelled'
        try:
            async with asyncio.timeout_at(attempt.deadline):
                reply = await self._serve(attempt)
            outcome = str(reply.status)
        except TimeoutError:
            outcome = Reason.DEADLINE_EXCEEDED.value
            refusal = RefusedError(Reason.DEADLINE_EXCEEDED)
        except RefusedError as error:
            outcome = error.reason.value
            refusal = error
        else:
            return reply
        finally:
            self._count(attempt, outcome)
        return self._refuse(
            refusal,
            facts,
            attempt.route.name,
            attempt.organisation,
            started_at,
        )

    def _admit(
        self,
        request: HttpRequest,
        facts: RequestMetadata,
        now: float,
    ) -> RequestContext:
        in_force = self._registry.active
        if in_force is None or self.is_stopped:
            raise RefusedError(Reason.NOT_READY, MIN_RETRY_AFTER_SECONDS * 4)
        host = request.headers.get('Host', '')
        route = in_force.routes.find(host, request.target)
        if route is None:
            raise RefusedError(Reason.UNKNOWN_ROUTE)
        organisation = find_organisation(route, facts, in_force)
        if not facts.request_id:
            raise RefusedError(Reason.BAD_REQUEST)
        left = route.timeout
        if facts.seconds_left is not None:
            left = min(left, facts.seconds_left)
        is_continuation = route.is_public and facts.key is None
        service = self._split.choose(route)
        if is_continuation:
            self.dependencies.record_call(service, now)
        return RequestContext(
            request,
            facts,
            route,
            service,
            organisation,
            priority_rank_of(route, organisation, in_force),
            is_continuation and bool(in_force.policy.organisation_by_name),
            render_headers(request.raw_headers, self._dropped),
            now,
            now + left,
        )

    async def _serve(self, attempt: RequestContext) -> HttpResponse:
        progress = Progress(tried=set())
        await self._take_token(attempt)
        self._retries.deposit(
            attempt.service,
            RetryKind.CHILD_CALL
            if attempt.is_child_call
            else RetryKind.REQUEST,
            attempt.started_at,
        )
        try:
            answer = await self._try_members(attempt, progress)
        except RefusedError:
            if progress.last_answer is not None:
                answer = progress.last_answer
            elif progress.runs:
                # An earlier attempt may have run, so "not run" is not true.
                raise RefusedError(Reason.BACKEND_SERVER_LOST) from None
            else:
                self._tokens.refund(attempt.organisation)
                raise
        self._lines.log_late(attempt, progress)
        return HttpResponse(answer.status, answer.head, answer.body)

    async def _take_token(self, attempt: RequestContext) -> None:
        organisation = attempt.organisation
        if not organisation:
            return
        patience = attempt.route.latency_objective
        if await self._tokens.acquire(organisation, patience):
            return
        share = self._tokens.snapshot(organisation)
        self._lines.log_cap_reached(attempt, share)
        raise RefusedError(
            Reason.RATE_EXCEEDED,
            max(MIN_RETRY_AFTER_SECONDS, share.seconds_until_token()),
        )

    async def _try_members(
        self,
        attempt: RequestContext,
        progress: Progress,
    ) -> Answered:
        while True:
            load = self._choose(attempt, progress)
            result = await self._send(attempt, load)
            if isinstance(result, Answered):
                if not self._may_improve(attempt, progress, result):
                    return result
            elif isinstance(result, NotRun):
                self._record_not_run(attempt, progress, result)
            else:
                self._record_lost(attempt, progress, result)

    def _choose(
        self, attempt: RequestContext, progress: Progress
    ) -> MemberLoad:
        now = self._clock.now()
        patience = attempt.route.latency_objective
        load = self._balancer.choose(attempt.service, progress.tried, now)
        if load is None:
            raise unavailable(progress.last_reason, patience)
        is_new = not progress.tried and not attempt.is_child_call
        if is_new:
            cutoff = self._dependents.cutoff(attempt.route.name, load, now)
            if attempt.priority_rank + random.random() >= cutoff:
                raise unavailable(Reason.OVERLOADED, patience)
        progress.tried.add(load.member.name)
        progress.member = load.member.name
        progress.slowness = load.latency_ratio
        return load

    async def _send(
        self, attempt: RequestContext, load: MemberLoad
    ) -> CallResult:
        now = self._clock.now()
        left = attempt.deadline - now
        if left < MIN_REMAINING_SECONDS:
            raise RefusedError(Reason.DEADLINE_EXCEEDED)
        name = load.member.name
        call = self._make_call(attempt, left)
        self._balancer.record_start(load)
        result: CallResult | None = None
        try:
            result = await self._sender.send(name, call)
        finally:
            if result is None:
                self._sender.cancel(name, call.number)
            self._observe(attempt, load, result, now)
        return result

    def _make_call(self, attempt: RequestContext, left: float) -> Call:
        patience = QUEUE_WAIT_FRACTION
        if attempt.is_child_call:
            patience = CHILD_CALL_QUEUE_WAIT_FRACTION
        self._next_number += 1
        request = attempt.request
        return Call(
            number=self._next_number,
            service=attempt.service,
            route=attempt.route.name,
            request_id=attempt.metadata.request_id,
            remaining_ms=int(left * MS_PER_SECOND),
            max_queue_wait_ms=int(
                attempt.route.latency_objective * patience * MS_PER_SECOND
            ),
            priority_rank=attempt.priority_rank,
            is_child_call=attempt.is_child_call,
            organisation=attempt.organisation,
            caller_service=self._service,
            method=request.method,
            target=request.target,
            head=attempt.head,
            body=request.body,
        )

    def _observe(
        self,
        attempt: RequestContext,
        load: MemberLoad,
        result: CallResult | None,
        sent_at: float,
    ) -> None:
        now = self._clock.now()
        latency = now - sent_at if isinstance(result, Answered) else None
        has_failed = isinstance(result, AnswerLost)
        outcome = 'cancelled'
        if isinstance(result, Answered):
            has_failed = result.status >= _SERVER_ERROR
            has_failed = has_failed and result.status != _GATEWAY_TIMEOUT
            outcome = 'answered'
            self._dependents.note(
                attempt.route.name,
                result.is_dependent,
                now,
            )
        elif isinstance(result, NotRun):
            has_failed = result.reason == Reason.REJECTED.value
            outcome = result.reason
        elif isinstance(result, AnswerLost):
            outcome = 'lost'
        self._metrics.count_send(attempt.service, outcome)
        if isinstance(result, Answered | NotRun) and result.in_flight >= 0:
            cutoff = result.cutoff_percent / _PERCENT
            self._balancer.update_load(load, result.in_flight, cutoff)
        self._balancer.record_end(
            load,
            attempt.route.name,
            latency,
            has_failed,
            now,
        )

    def _may_improve(
        self,
        attempt: RequestContext,
        progress: Progress,
        answer: Answered,
    ) -> bool:
        if answer.status < _SERVER_ERROR or answer.status == _GATEWAY_TIMEOUT:
            return False
        if attempt.is_child_call:
            # The failure may come from further down the chain, where it was
            # retried already.
            return False
        progress.runs += 1
        progress.last_answer = answer
        return self._may_repeat(attempt, progress, 'failed')

    def _record_not_run(
        self,
        attempt: RequestContext,
        progress: Progress,
        result: NotRun,
    ) -> None:
        reason = Reason(result.reason)
        progress.last_reason = reason
        progress.refusals += 1
        if progress.refusals > MAX_REROUTES:
            raise unavailable(reason, attempt.route.latency_objective)
        if reason is not Reason.REJECTED:
            return
        # The backend server itself turned it away, so another send counts
        # as a repeat at the service.
        now = self._clock.now()
        if not self._take_retry(attempt, now):
            raise unavailable(reason, attempt.route.latency_objective)

    def _record_lost(
        self,
        attempt: RequestContext,
        progress: Progress,
        result: AnswerLost,
    ) -> None:
        progress.runs += 1
        self._lines.log_lost(attempt, progress, result)
        if self._may_repeat(attempt, progress, result.reason):
            return
        raise RefusedError(Reason.BACKEND_SERVER_LOST)

    def _may_repeat(
        self,
        attempt: RequestContext,
        progress: Progress,
        why: str,
    ) -> bool:
        route = attempt.route
        now = self._clock.now()
        if not route.is_idempotent or progress.runs >= route.max_attempts:
            return False
        others = self._balancer.choose(attempt.service, progress.tried, now)
        if others is None or not self._take_retry(attempt, now):
            return False
        self._lines.log_retry(attempt, progress, why)
        return True

    def _take_retry(self, attempt: RequestContext, now: float) -> bool:
        kind = RetryKind.REQUEST
        if attempt.is_child_call:
            kind = RetryKind.CHILD_CALL
        return self._retries.spend(attempt.service, kind, now)

    def _refuse(
        self,
        refusal: RefusedError,
        facts: RequestMetadata,
        route: str,
        organisation: str,
        started_at: float,
    ) -> HttpResponse:
        held = self._clock.now() - started_at
        self._lines.log_refused(
            refusal,
            facts.request_id,
            route,
            organisation,
            held,
        )
        if not route:
            reason = refusal.reason.value
            self._metrics.count_request('', '', reason, held)
        return refusal_response(refusal)

    def _count(self, attempt: RequestContext, outcome: str) -> None:
        route = attempt.route.name
        passed = self._clock.now() - attempt.started_at
        self._metrics.count_request(
            route,
            attempt.organisation,
            outcome,
            passed,
        )
