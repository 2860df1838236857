"""Ingress of a node: checks, routes, retries and answers requests."""

import asyncio
import random
from typing import Final, Protocol

from mustardshunt.base import Clock, Reason
from mustardshunt.load_balancing import (
    LoadBalancer,
    MemberLoad,
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
    LargeBody,
    NotRun,
    render_headers,
)
from mustardshunt.sidecar._crash_monitor import CrashMonitor
from mustardshunt.sidecar._dependencies import Dependencies
from mustardshunt.sidecar._dependent_route_cache import DependentRouteCache
from mustardshunt.sidecar._metrics import SidecarMetrics
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
from mustardshunt.sidecar._retries import Retries, retry_kind_of
from mustardshunt.sidecar._retry_budget import RetryBudget
from mustardshunt.sidecar._retry_times import RetryTimes
from mustardshunt.sidecar._rollout_ports import VersionChoice
from mustardshunt.sidecar._waiting_calls import CallResult

# Longest wait of a call in an admission queue, as a fraction of the latency
# objective. A refusal after a longer wait would leave no time for another
# attempt.
QUEUE_WAIT_FRACTION: Final = 0.25
# The same fraction, for child calls. This fraction is larger because refusing a
# child call wastes the work that the running request has already done.
CHILD_CALL_QUEUE_WAIT_FRACTION: Final = 0.6
# A call is sent only if at least this time is left before its deadline. With
# less time, the answer could not arrive before the deadline.
MIN_REMAINING_SECONDS: Final = 0.002

_PERCENT: Final = 100
_SERVER_ERROR: Final = 500
_GATEWAY_TIMEOUT: Final = 504


class Sender(Protocol):
    """Sends calls to members, this node included."""

    def send(
        self, name: str, call: Call, large_body: LargeBody | None = None
    ) -> asyncio.Future[CallResult]:
        """Send a call to a member and return a future for its result."""
        ...

    def cancel(self, name: str, number: int) -> None:
        """Cancel a call that was sent to a member."""
        ...


class ServiceLinks(Protocol):
    """Opens links to the members of the services that are called."""

    async def prepare(self, service: str, now: float) -> None:
        """Record a call to a service; wait for its first link to open."""
        ...


class Ingress:
    """Serves the requests of callers on the VM of this node.

    The callers are clients and the backend server on the same VM. Calls of the
    backend server are child calls.

    Parameters
    ----------
    service : str
        Service of the backend server beside this node.
    registry : PolicyRegistry
        Registry of the active policy.
    balancer : LoadBalancer
        Chooses the member for each attempt.
    split : WeightedRoundRobin
        Chooses the service of a route by the weights of the policy.
    retry_budget : RetryBudget
        Bounds the retries to each service.
    rate_limiter : RateLimiter
        Bounds the request rates of organisations.
    sender : Sender
        Sends calls to members.
    links : ServiceLinks
        Opens links to the members of a service.
    crashes : CrashMonitor
        Knows the requests that crash backend servers.
    header_codec : HeaderCodec
        Reads and writes the HTTP headers of the platform.
    log : EventLog
        Log of refused, retried, lost and late requests.
    metrics : SidecarMetrics
        Counts requests and calls by outcome.
    clock : Clock
        Source of the time.
    retry_times : RetryTimes
        Chooses the times after which refused callers may retry.
    has_chain_admission : bool, default=False
        Whether cutoffs follow the retries that whole call chains need.
    """

    def __init__(
        self,
        service: str,
        registry: PolicyRegistry,
        balancer: LoadBalancer,
        split: WeightedRoundRobin,
        retry_budget: RetryBudget,
        rate_limiter: RateLimiter,
        sender: Sender,
        links: ServiceLinks,
        crashes: CrashMonitor,
        header_codec: HeaderCodec,
        log: EventLog,
        metrics: SidecarMetrics,
        clock: Clock,
        retry_times: RetryTimes,
        has_chain_admission: bool = False,
    ) -> None:
        self._retry_times = retry_times
        self._service = service
        self._registry = registry
        self._balancer = balancer
        self._split = split
        self._retry_budget = retry_budget
        self._rate_limiter = rate_limiter
        self._sender = sender
        self._links = links
        self._crashes = crashes
        self._header_codec = header_codec
        self._request_log = RequestLog(log, registry, clock)
        self._retries = Retries(
            balancer,
            retry_budget,
            self._request_log,
            clock,
            has_chain_admission,
        )
        self._metrics = metrics
        self._clock = clock
        self._dropped_headers = (
            HOP_BY_HOP_HEADERS | header_codec.reserved_headers
        )
        self._next_number = 0
        self._served_ids: set[str] = set()
        self.is_stopped = False
        self.versions: VersionChoice | None = None
        self.dependencies = Dependencies(has_chain_admission)
        self._dependent_route_cache = DependentRouteCache()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request.

        The node itself answers refused requests and requests whose deadline
        has expired.
        """
        started_at = request.received_at or self._clock.now()
        metadata = self._header_codec.read_request(request)
        try:
            context = self._admit(request, metadata, started_at)
        except RefusedError as error:
            return self._refuse(error, metadata, '', '', started_at)
        outcome = 'cancelled'
        self._served_ids.add(metadata.request_id)
        try:
            async with asyncio.timeout_at(context.deadline):
                response = await self._serve(context)
            outcome = str(response.status)
        except TimeoutError:
            outcome = Reason.DEADLINE_EXCEEDED.value
            refusal = RefusedError(Reason.DEADLINE_EXCEEDED)
        except RefusedError as error:
            outcome = error.reason.value
            refusal = self._retry_times.adjust(
                error, context, self._clock.now()
            )
        else:
            return response
        finally:
            self._served_ids.discard(metadata.request_id)
            self._count_request(context, outcome)
        return self._refuse(
            refusal,
            metadata,
            context.route.name,
            context.organisation,
            started_at,
        )

    def unanswered_ids(self) -> list[str]:
        """Return the identifiers of the requests in progress, sorted."""
        return sorted(self._served_ids)

    def is_repeatable(self, request: HttpRequest) -> bool:
        """Tell whether a request's route says that it may run twice."""
        active_policy = self._registry.active
        if active_policy is None:
            return False
        host = request.headers.get('host', '')
        route = active_policy.routes.find(host, request.target)
        return route is not None and route.is_idempotent

    def _admit(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        now: float,
    ) -> RequestContext:
        active_policy = self._registry.active
        if active_policy is None or self.is_stopped:
            raise RefusedError(Reason.NOT_READY, MIN_RETRY_AFTER_SECONDS * 4)
        host = request.headers.get('host', '')
        route = active_policy.routes.find(host, request.target)
        if route is None:
            raise RefusedError(Reason.UNKNOWN_ROUTE)
        organisation = find_organisation(route, metadata, active_policy)
        if not metadata.request_id or metadata.request_id in self._served_ids:
            # With two requests of one id in progress, a late answer of the
            # backend server could be taken for the answer to the other one.
            raise RefusedError(Reason.BAD_REQUEST)
        remaining = route.timeout
        if metadata.seconds_left is not None:
            remaining = min(remaining, metadata.seconds_left)
        is_keyless = route.is_public and metadata.key is None
        service = self._split.choose(route)
        if is_keyless:
            self.dependencies.record_call(service, now)
        return RequestContext(
            request,
            metadata,
            route,
            service,
            organisation,
            priority_rank_of(route, organisation, active_policy),
            is_keyless and bool(active_policy.policy.organisation_by_name),
            render_headers(request.raw_headers, self._dropped_headers),
            now,
            now + remaining,
            self._crashes.fingerprint(organisation, request),
        )

    async def _serve(self, context: RequestContext) -> HttpResponse:
        progress = Progress(tried=set())
        self._check_quarantine(context)
        await self._acquire_token(context)
        progress.is_from_repeat = self._retry_budget.record_request(
            context.service, retry_kind_of(context), context.route.name
        )
        try:
            answer = await self._try_members(context, progress)
        except RefusedError as error:
            self._record_child_call(
                context, progress, error.reason is Reason.REJECTED
            )
            if progress.last_answer is not None:
                answer = progress.last_answer
            elif progress.runs:
                # An earlier attempt may have run, so the response must not
                # say that the request has not run.
                raise RefusedError(Reason.BACKEND_SERVER_LOST) from None
            else:
                self._rate_limiter.refund(context.organisation)
                raise
        else:
            self._record_child_call(context, progress, has_failed=False)
        self._request_log.log_late(context, progress)
        return HttpResponse(answer.status, answer.head, answer.body)

    def _record_child_call(
        self, context: RequestContext, progress: Progress, has_failed: bool
    ) -> None:
        if context.is_child_call:
            self.dependencies.record_end(
                context.service, progress.rejections, has_failed
            )

    def _check_quarantine(self, context: RequestContext) -> None:
        seconds_left = self._crashes.seconds_left(context.fingerprint)
        if seconds_left > 0:
            raise RefusedError(Reason.QUARANTINED, seconds_left)

    async def _acquire_token(self, context: RequestContext) -> None:
        organisation = context.organisation
        if not organisation:
            return
        latency_objective = context.route.latency_objective
        if await self._rate_limiter.acquire(organisation, latency_objective):
            return
        share = self._rate_limiter.snapshot(organisation)
        self._request_log.log_cap_reached(context, share)
        raise RefusedError(
            Reason.RATE_EXCEEDED,
            max(MIN_RETRY_AFTER_SECONDS, share.seconds_until_token()),
        )

    async def _try_members(
        self,
        context: RequestContext,
        progress: Progress,
    ) -> Answered:
        await self._links.prepare(context.service, self._clock.now())
        if self.versions is not None:
            await self.versions.wait_confirmed(context.service)
        retries = self._retries
        while True:
            # The verdict may have arrived since the last attempt.
            self._check_quarantine(context)
            load = self._choose(context, progress)
            result = await self._send(context, progress, load)
            if isinstance(result, Answered):
                if not await retries.may_retry_answer(
                    context, progress, result
                ):
                    return result
            elif isinstance(result, NotRun):
                await retries.record_not_run(context, progress, result)
            else:
                await retries.record_lost(context, progress, result)

    def _choose(
        self, context: RequestContext, progress: Progress
    ) -> MemberLoad:
        now = self._clock.now()
        latency_objective = context.route.latency_objective
        load = self._choose_member(context, progress, now)
        if load is None:
            raise unavailable(progress.last_reason, latency_objective)
        is_new_request = not progress.tried and not context.is_child_call
        if is_new_request:
            cutoff = self._dependent_route_cache.cutoff(
                context.route.name, load, now
            )
            if context.priority_rank + random.random() >= cutoff:
                raise unavailable(Reason.OVERLOADED, latency_objective)
        progress.tried.add(load.member.name)
        progress.member = load.member.name
        progress.slowness = load.latency_ratio
        return load

    def _choose_member(
        self, context: RequestContext, progress: Progress, now: float
    ) -> MemberLoad | None:
        service = context.service
        tried = progress.tried
        route = context.route.name
        remaining = context.deadline - now
        versions = self.versions
        choose = self._balancer.choose
        if versions is None:
            return choose(service, tried, now, route, remaining)
        excluded = versions.excluded(service, tried)
        load = choose(service, excluded, now, route, remaining)
        if load is None and excluded is not tried:
            excluded = versions.fall_back(service, tried)
            load = choose(service, excluded, now, route, remaining)
        return load

    async def _send(
        self, context: RequestContext, progress: Progress, load: MemberLoad
    ) -> CallResult:
        now = self._clock.now()
        remaining = context.deadline - now
        if remaining < MIN_REMAINING_SECONDS:
            raise RefusedError(Reason.DEADLINE_EXCEEDED)
        name = load.member.name
        call = self._make_call(
            context, remaining, progress.runs > 0 or progress.is_from_repeat
        )
        self._balancer.record_start(load)
        result: CallResult | None = None
        try:
            result = await self._sender.send(
                name, call, context.request.large_body
            )
        finally:
            if result is None:
                self._sender.cancel(name, call.number)
            self._record_result(context, load, result, now)
        return result

    def _make_call(
        self, context: RequestContext, remaining: float, is_repeat: bool
    ) -> Call:
        wait_fraction = QUEUE_WAIT_FRACTION
        if context.is_child_call:
            wait_fraction = CHILD_CALL_QUEUE_WAIT_FRACTION
        self._next_number += 1
        request = context.request
        return Call(
            number=self._next_number,
            service=context.service,
            route=context.route.name,
            request_id=context.metadata.request_id,
            remaining_ms=int(remaining * MS_PER_SECOND),
            max_queue_wait_ms=int(
                context.route.latency_objective * wait_fraction * MS_PER_SECOND
            ),
            priority_rank=context.priority_rank,
            is_child_call=context.is_child_call,
            organisation=context.organisation,
            caller_service=self._service,
            method=request.method,
            target=request.target,
            head=context.head,
            body=request.body,
            fingerprint=context.fingerprint,
            is_repeat=is_repeat,
        )

    def _record_result(
        self,
        context: RequestContext,
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
            if result.mean_run_ms:
                self._balancer.record_mean_run(
                    load,
                    context.route.name,
                    result.mean_run_ms / MS_PER_SECOND,
                )
            self._crashes.record_finished(context.fingerprint, load.member.name)
            self._dependent_route_cache.record_answer(
                context.route.name,
                result.is_dependent,
                now,
            )
        elif isinstance(result, NotRun):
            has_failed = result.reason == Reason.REJECTED.value
            outcome = result.reason
            self._retry_times.record_forecast(
                context.service,
                context.priority_rank,
                result.retry_after_ms / MS_PER_SECOND,
                now,
            )
        elif isinstance(result, AnswerLost):
            outcome = 'lost'
        self._metrics.count_send(context.service, outcome)
        if self.versions is not None:
            self.versions.record_result(
                context.service, load.member.name, result
            )
        if isinstance(result, Answered | NotRun) and result.in_flight >= 0:
            cutoff = result.cutoff_percent / _PERCENT
            self._balancer.update_load(
                load,
                result.in_flight,
                cutoff,
                result.limit_percent / _PERCENT,
            )
        self._balancer.record_end(
            load,
            context.route.name,
            latency,
            has_failed,
            now,
        )

    def _refuse(
        self,
        refusal: RefusedError,
        metadata: RequestMetadata,
        route: str,
        organisation: str,
        started_at: float,
    ) -> HttpResponse:
        elapsed = self._clock.now() - started_at
        self._request_log.log_refused(
            refusal,
            metadata.request_id,
            route,
            organisation,
            elapsed,
        )
        if not route:
            reason = refusal.reason.value
            self._metrics.count_request('', '', reason, elapsed)
        return refusal_response(refusal)

    def _count_request(self, context: RequestContext, outcome: str) -> None:
        route = context.route.name
        elapsed = self._clock.now() - context.started_at
        self._metrics.count_request(
            route,
            context.organisation,
            outcome,
            elapsed,
        )
