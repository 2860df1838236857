"""Handles requests of callers and child calls of this node's backend server."""

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

# Metric label of requests that are refused before the organisation is known.
_NO_ORGANISATION: Final = ''
_MIN_FAILURE_STATUS: Final = 500
_FINGERPRINT_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class CheckedCall:
    """A call that has passed the checks of the ingress and may be sent.

    Parameters
    ----------
    context : CallContext
        Context of the call. The call id identifies the request, not a single
        attempt.
    request : CallRequest
        Request for the backend server.
    route : Route
        Route of the request.
    """

    context: CallContext
    request: CallRequest
    route: Route


class CallSender(Protocol):
    """Sends calls to backend servers of the services of their routes."""

    def next_call_id(self) -> CallId:
        """Return a new call id, which no other call of this node has."""
        ...

    def find_refusal(self, call: CheckedCall) -> Refusal | None:
        """Return a refusal if all members would refuse a call, else None."""
        ...

    async def send(self, call: CheckedCall) -> Outcome:
        """Send the call, with retries, and return its outcome."""
        ...


class IdempotentSender(Protocol):
    """Runs at most one order for each idempotency key."""

    async def send(self, call: CheckedCall, idempotency_key: str) -> Outcome:
        """Return the outcome of the first order with an idempotency key.

        The given order is sent only if no order with this key has run or runs
        now.
        """
        ...


class NodeStatus(Protocol):
    """State of the node that decides whether the ingress serves requests."""

    @property
    def refusal(self) -> Refusal | None:
        """Refusal of all requests; None if the node serves requests now."""
        ...

    @property
    def closes_connections(self) -> bool:
        """Whether to close connections, so that callers use another node."""
        ...


class Ingress:
    """Checks requests, spends rate tokens, and sends the requests as calls.

    Parameters
    ----------
    registry : SheetReplica
        Holds the active sheet of organisations, keys and routes.
    rate_limiter : RateLimiter
        Spends tokens of the organisations' rates.
    sender : CallSender
        Sends calls to backend servers.
    idempotent_sender : IdempotentSender
        Sends orders that carry an idempotency key.
    call_table : CallTable
        Calls that run at this node's backend server.
    thresholds : RouteSheddingThresholds
        Records which child calls the calls of each route make.
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
        rate_limiter: RateLimiter,
        sender: CallSender,
        idempotent_sender: IdempotentSender,
        call_table: CallTable,
        thresholds: RouteSheddingThresholds,
        status: NodeStatus,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._rate_limiter = rate_limiter
        self._sender = sender
        self._idempotent_sender = idempotent_sender
        self._call_table = call_table
        self._thresholds = thresholds
        self._status = status
        self._metrics = metrics
        self._clock = clock
        self.in_flight = 0

    @property
    def closes_connections(self) -> bool:
        """Whether to close connections, so that callers use another node."""
        return self._status.closes_connections

    async def answer(self, incoming: CallerRequest) -> Answer | Refusal:
        """Check a request of a caller, send it and return the answer.

        Parameters
        ----------
        incoming : CallerRequest
            Request, API key, idempotency key and timeout.

        Returns
        -------
        Answer or Refusal
            Complete answer of a backend server, or a refusal with its reason.
        """
        started = self._clock.now()
        call = self._check_request(incoming, started)
        if isinstance(call, Refusal):
            self._count_refusal(_NO_ORGANISATION, call)
            return call
        self.in_flight += 1
        try:
            reply = await self._send_admitted(call, incoming.idempotency_key)
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
        """Send a child call of the backend server and return the answer.

        Parameters
        ----------
        incoming : ChildRequest
            Request, with the reference of its parent call.

        Returns
        -------
        Answer or Refusal
            Complete answer of a backend server, or a refusal with its reason.
        """
        request = incoming.request
        route = self._registry.sheet.find_route(request.method, request.target)
        if route is None:
            return Refusal(Reason.UNKNOWN_ROUTE, Effect.NOT_RUN)
        now = self._clock.now()
        reference = incoming.reference or ''
        parent = self._call_table.find(reference)
        if parent is not None:
            self._thresholds.record_child_call(parent.route, route.name)
        child = self._call_table.open_child(
            reference,
            route.name,
            now,
            _digest_request(request),
        )
        if isinstance(child, Refusal):
            self._metrics.count_event(f'child-{child.reason.value}')
            return child
        reply: Answer | Refusal | None = None
        unused_retries = 0
        try:
            context = self._make_child_context(child, route, now)
            outcome = await self._sender.send(
                CheckedCall(context, request, route),
            )
            reply = outcome.reply
            unused_retries = outcome.retries_left or 0
        finally:
            self._call_table.close_child(
                reference,
                child.number,
                self._clock.now(),
                unused_retries,
                failed=_is_failure(reply),
            )
        return reply

    async def _send_admitted(
        self,
        call: CheckedCall,
        idempotency_key: str | None,
    ) -> Answer | Refusal:
        context = call.context
        # Done before a token is spent: a call that all members would refuse
        # must not cost the organisation a token.
        refusal = self._sender.find_refusal(call)
        if refusal is not None:
            return refusal
        if call.route.access is not Access.OPEN:
            refusal = await self._rate_limiter.acquire(
                context.organisation,
                context.deadline,
            )
            if refusal is not None:
                return refusal
        if idempotency_key is None or context.idempotent:
            outcome = await self._sender.send(call)
        else:
            outcome = await self._idempotent_sender.send(call, idempotency_key)
        return outcome.reply

    def _check_request(
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
        timeout = route.timeout
        if incoming.timeout is not None:
            timeout = min(incoming.timeout, MAX_ROUTE_TIMEOUT_SECONDS)
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
            now + timeout,
        )
        return CheckedCall(context, request, route)

    def _make_child_context(
        self,
        child: ChildCallContext,
        route: Route,
        now: float,
    ) -> CallContext:
        return CallContext(
            self._sender.next_call_id(),
            child.root_id,
            child.organisation,
            child.importance,
            route.name,
            route.idempotent,
            child.depth,
            child.retries,
            min(child.deadline, now + route.timeout),
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
        return reply.status >= _MIN_FAILURE_STATUS
    return True


def _digest_request(request: CallRequest) -> str:
    digest = hashlib.blake2b(
        f'{request.method} {request.target}\0'.encode(),
        digest_size=_FINGERPRINT_BYTES,
    )
    digest.update(request.body)
    return digest.hexdigest()
