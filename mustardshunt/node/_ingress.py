"""Requests of callers, and child calls of the own backend server."""

import hashlib
from dataclasses import dataclass
from typing import Final, Protocol

from mustardshunt.base import (
    MAX_RETRIES_PER_REQUEST,
    Answer,
    CallContext,
    CallId,
    CallRequest,
    Clock,
    Effect,
    Reason,
    Refusal,
)
from mustardshunt.calls import CallTable, ChildCallContext
from mustardshunt.node._rate_limiter import RateLimiter
from mustardshunt.node._route_thresholds import RouteSheddingThresholds
from mustardshunt.observability import NodeMetrics
from mustardshunt.outcomes import Outcome
from mustardshunt.sheet import (
    MAX_ROUTE_TIMEOUT_SECONDS,
    OPEN_ORGANISATION,
    Access,
    Route,
    Sheet,
    SheetReplica,
)
from mustardshunt.transport import CallerRequest, ChildRequest

# Label of refusals before the organisation is known.
_NOBODY: Final = ''
_FAILURE_STATUS: Final = 500
_FINGERPRINT_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class CheckedCall:
    """A call that has been checked and is ready to be sent.

    Parameters
    ----------
    context : CallContext
        Context; its call id names the request, not an attempt.
    request : CallRequest
        What the backend server gets.
    route : Route
        Route that it takes.
    """

    context: CallContext
    request: CallRequest
    route: Route


class CallSender(Protocol):
    """Sends a call to a backend server of its route's service."""

    def next_call_id(self) -> CallId:
        """Return the identity of the next call."""
        ...

    def find_refusal(self, call: CheckedCall) -> Refusal | None:
        """Return why no member would take a call now, None if one would."""
        ...

    async def send(self, call: CheckedCall) -> Outcome:
        """Return the outcome, after retries if there were any."""
        ...


class IdempotentSender(Protocol):
    """Sends an order so that repeats with the same key run once."""

    async def send(self, call: CheckedCall, idempotency_key: str) -> Outcome:
        """Return the outcome of this or of the first such order."""
        ...


class NodeStatus(Protocol):
    """What the entry asks of the node's life cycle."""

    @property
    def refusal(self) -> Refusal | None:
        """Why no call is taken, None when calls are taken."""
        ...

    @property
    def closes_connections(self) -> bool:
        """Whether callers should connect to another node."""
        ...


class Ingress:
    """Checks each request anew and sends it on its way.

    Parameters
    ----------
    registry : SheetReplica
        Sheet in force.
    tokens : RateLimiter
        Tokens of the organisations' rates.
    sender : CallSender
        Sends calls.
    orders : IdempotentSender
        Sends orders that carry an idempotency key.
    call_table : CallTable
        Calls that the own backend server is serving.
    levels : RouteSheddingThresholds
        Learns which routes the calls of a route go on to call.
    status : NodeStatus
        Life cycle of the node.
    metrics : NodeMetrics
        Counters and histograms.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        registry: SheetReplica,
        tokens: RateLimiter,
        sender: CallSender,
        orders: IdempotentSender,
        call_table: CallTable,
        levels: RouteSheddingThresholds,
        status: NodeStatus,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._tokens = tokens
        self._sender = sender
        self._orders = orders
        self._call_table = call_table
        self._levels = levels
        self._status = status
        self._metrics = metrics
        self._clock = clock
        self.in_flight = 0

    @property
    def closes_connections(self) -> bool:
        """Whether callers should connect to another node."""
        return self._status.closes_connections

    async def answer(self, incoming: CallerRequest) -> Answer | Refusal:
        """Answer a caller's request.

        Parameters
        ----------
        incoming : CallerRequest
            The request, its key apart.

        Returns
        -------
        Answer or Refusal
            The whole answer, or why there is none.
        """
        started = self._clock.now()
        call = self._check(incoming, started)
        if isinstance(call, Refusal):
            self._count_refusal(_NOBODY, call)
            return call
        self.in_flight += 1
        try:
            reply = await self._run(call, incoming.idempotency_key)
        finally:
            self.in_flight -= 1
        organisation = call.context.organisation
        if isinstance(reply, Refusal):
            self._count_refusal(organisation, reply)
            return reply
        self._metrics.count_answer(
            organisation,
            call.context.importance,
            self._clock.now() - started,
        )
        return reply

    async def answer_child(self, incoming: ChildRequest) -> Answer | Refusal:
        """Answer a call that the own backend server makes.

        Parameters
        ----------
        incoming : ChildRequest
            The request, with the reference of the call that is served.

        Returns
        -------
        Answer or Refusal
            The whole answer, or why there is none.
        """
        request = incoming.request
        route = self._registry.sheet.find_route(request.method, request.target)
        if route is None:
            return Refusal(Reason.UNKNOWN_ROUTE, Effect.NOT_RUN)
        now = self._clock.now()
        reference = incoming.reference or ''
        parent = self._call_table.find(reference)
        if parent is not None:
            self._levels.record_child_call(parent.route, route.name)
        grant = self._call_table.open_child(
            reference,
            route.name,
            now,
            _digest_request(request),
        )
        if isinstance(grant, Refusal):
            self._metrics.count_event(f'child-{grant.reason.value}')
            return grant
        reply: Answer | Refusal | None = None
        unused = 0
        try:
            context = self._make_child_context(grant, route, now)
            outcome = await self._sender.send(
                CheckedCall(context, request, route),
            )
            reply = outcome.reply
            unused = outcome.retries_left or 0
        finally:
            self._call_table.close_child(
                reference,
                grant.number,
                self._clock.now(),
                unused,
                failed=_is_failure(reply),
            )
        return reply

    async def _run(
        self,
        call: CheckedCall,
        idempotency_key: str | None,
    ) -> Answer | Refusal:
        context = call.context
        # Asked first, so that a call that would be refused anyway costs the
        # organisation no token.
        refusal = self._sender.find_refusal(call)
        if refusal is not None:
            return refusal
        if call.route.access is not Access.OPEN:
            refusal = await self._tokens.acquire(
                context.organisation,
                context.deadline,
            )
            if refusal is not None:
                return refusal
        if idempotency_key is None or context.idempotent:
            outcome = await self._sender.send(call)
        else:
            outcome = await self._orders.send(call, idempotency_key)
        return outcome.reply

    def _check(
        self,
        incoming: CallerRequest,
        now: float,
    ) -> CheckedCall | Refusal:
        refusal = self._status.refusal
        if refusal is not None:
            return refusal
        sheet = self._registry.sheet
        if sheet.version == 0:
            return Refusal(
                Reason.NOT_READY,
                Effect.NOT_RUN,
                'no sheet is in force on this node',
            )
        request = incoming.request
        route = sheet.find_route(request.method, request.target)
        if route is None:
            return Refusal(Reason.UNKNOWN_ROUTE, Effect.NOT_RUN)
        if route.access is Access.INTERNAL:
            return Refusal(Reason.INTERNAL_ROUTE, Effect.NOT_RUN)
        organisation = _find_organisation(sheet, route, incoming.key)
        if isinstance(organisation, Refusal):
            return organisation
        seconds = route.timeout
        if incoming.timeout is not None:
            seconds = min(incoming.timeout, MAX_ROUTE_TIMEOUT_SECONDS)
        call_id = self._sender.next_call_id()
        context = CallContext(
            call_id,
            call_id,
            organisation,
            route.importance,
            route.name,
            route.idempotent,
            1,
            MAX_RETRIES_PER_REQUEST,
            now + seconds,
        )
        return CheckedCall(context, request, route)

    def _make_child_context(
        self,
        grant: ChildCallContext,
        route: Route,
        now: float,
    ) -> CallContext:
        return CallContext(
            self._sender.next_call_id(),
            grant.root_id,
            grant.organisation,
            grant.importance,
            route.name,
            route.idempotent,
            grant.depth,
            grant.retries,
            min(grant.deadline, now + route.timeout),
        )

    def _count_refusal(self, organisation: str, refusal: Refusal) -> None:
        self._metrics.count_refusal(
            organisation,
            refusal.reason,
            refusal.effect,
        )


def _find_organisation(
    sheet: Sheet,
    route: Route,
    key: str | None,
) -> str | Refusal:
    if route.access is Access.OPEN:
        return OPEN_ORGANISATION
    if key is None:
        return Refusal(Reason.NO_KEY, Effect.NOT_RUN)
    organisation = sheet.find_organisation(key)
    if organisation is None:
        return Refusal(Reason.UNKNOWN_KEY, Effect.NOT_RUN)
    return organisation


def _is_failure(reply: Answer | Refusal | None) -> bool:
    if isinstance(reply, Answer):
        return reply.status >= _FAILURE_STATUS
    return True


def _digest_request(request: CallRequest) -> str:
    digest = hashlib.blake2b(
        f'{request.method} {request.target}\0'.encode(),
        digest_size=_FINGERPRINT_BYTES,
    )
    digest.update(request.body)
    return digest.hexdigest()
