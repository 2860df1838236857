"""Runs each order with an idempotency key at most once across all nodes."""

import asyncio
import hashlib
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from loguru import logger

from mustardshunt.base import (
    Answer,
    CallRequest,
    Clock,
    Effect,
    MustardshuntError,
    Reason,
    Refusal,
)
from mustardshunt.node._ingress import CallSender, CheckedCall
from mustardshunt.observability import NodeMetrics
from mustardshunt.outcomes import Outcome
from mustardshunt.stores import (
    AlreadyClaimed,
    Claimed,
    ConflictError,
    IdempotencyClaim,
    IdempotencyKey,
    IdempotencyRecord,
    IdempotencyState,
    IdempotencyStore,
    PlatformUnavailableError,
    RequestMismatch,
)

# While the first order with a key runs, a repeat of the order reads the
# idempotency record at this interval.
_READ_INTERVAL_SECONDS: Final = 0.1
# A failed write of an outcome is retried until this time has passed.
_WRITE_TIMEOUT_SECONDS: Final = 60.0
_MIN_BACKOFF_SECONDS: Final = 0.05
_MAX_BACKOFF_SECONDS: Final = 2.0

ResultT = TypeVar('ResultT')

_PLATFORM_UNAVAILABLE: Final = Outcome(
    Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        Effect.NOT_RUN,
        'an order with an idempotency key needs the platform',
    ),
)
_FIRST_UNRESOLVED: Final = Outcome(
    Refusal(
        Reason.DUPLICATE,
        Effect.UNKNOWN,
        'the first order with this key has no known outcome',
    ),
)
_KEY_CONFLICT: Final = Outcome(
    Refusal(
        Reason.IDEMPOTENCY_CONFLICT,
        Effect.NOT_RUN,
        'the key was used with another request',
    ),
)


class IdempotencyService:
    """Claims the idempotency key of an order before the order is sent.

    The claim is a record on the platform, which all nodes can read.

    Parameters
    ----------
    records : IdempotencyStore
        Idempotency records in the platform's table service.
    sender : CallSender
        Sends calls.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        records: IdempotencyStore,
        sender: CallSender,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._records = records
        self._sender = sender
        self._metrics = metrics
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def in_flight(self) -> int:
        """Number of tasks that run orders or write outcomes of orders."""
        return len(self._tasks)

    async def send(self, call: CheckedCall, idempotency_key: str) -> Outcome:
        """Run an order unless an order with the same key has run or runs now.

        When the caller cancels, the work goes on in a task: an interrupted
        claim would block the key although no order runs.

        Parameters
        ----------
        call : CheckedCall
            Order to run.
        idempotency_key : str
            Key that the caller sends with the order and its repeats.

        Returns
        -------
        Outcome
            Outcome of the first order with the key, which may be this order.
        """
        return await asyncio.shield(
            self._start(self._claim_and_run(call, idempotency_key)),
        )

    async def drain(self) -> None:
        """Wait until all orders have ended and their outcomes are written."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _claim_and_run(
        self, call: CheckedCall, idempotency_key: str
    ) -> Outcome:
        organisation = call.context.organisation
        claim = IdempotencyClaim(
            IdempotencyKey(organisation, idempotency_key),
            digest_request(call.request),
            call.context.call_id,
        )
        try:
            found = await self._records.claim(claim)
        except ValueError as error:
            refusal = Refusal(Reason.BAD_REQUEST, Effect.NOT_RUN, str(error))
            return Outcome(refusal)
        except PlatformUnavailableError:
            return _PLATFORM_UNAVAILABLE
        except MustardshuntError:
            # The platform may have written the claim. The order does not run,
            # so the claim is released when the platform answers again.
            self._start(self._release_claim(claim))
            return _PLATFORM_UNAVAILABLE
        match found:
            case Claimed():
                # When the caller cancels, the order still runs to its end.
                return await asyncio.shield(self._start(self._run(call, found)))
            case AlreadyClaimed(record):
                return await self._await_first_outcome(
                    record, call.context.deadline
                )
            case RequestMismatch():
                return _KEY_CONFLICT

    async def _run(self, call: CheckedCall, claimed: Claimed) -> Outcome:
        outcome = await self._sender.send(call)
        self._start(self._record_outcome(claimed, outcome))
        return outcome

    async def _record_outcome(self, claimed: Claimed, outcome: Outcome) -> None:
        deadline = self._clock.now() + _WRITE_TIMEOUT_SECONDS
        backoff = _MIN_BACKOFF_SECONDS
        while self._clock.now() < deadline:
            try:
                await self._write_outcome(claimed, outcome)
            except ConflictError:
                return
            except MustardshuntError as error:
                self._metrics.count_event(f'order-{error.code.value}')
            else:
                return
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)
        logger.error(
            'outcome of the order with idempotency record {} not written '
            'within {} s; giving up',
            claimed.record,
            _WRITE_TIMEOUT_SECONDS,
        )

    async def _write_outcome(self, claimed: Claimed, outcome: Outcome) -> None:
        reply = outcome.reply
        if isinstance(reply, Answer):
            await self._records.finish(claimed, reply)
            return
        if reply.effect is Effect.NOT_RUN:
            await self._records.release(claimed)
            return
        await self._records.finish(claimed, None)

    async def _release_claim(self, claim: IdempotencyClaim) -> None:
        deadline = self._clock.now() + _WRITE_TIMEOUT_SECONDS
        while self._clock.now() < deadline:
            await asyncio.sleep(_MAX_BACKOFF_SECONDS)
            try:
                found = await self._records.claim(claim)
            except MustardshuntError as error:
                self._metrics.count_event(f'order-{error.code.value}')
                continue
            if isinstance(found, Claimed):
                await self._record_outcome(found, _PLATFORM_UNAVAILABLE)
            return

    async def _await_first_outcome(
        self,
        record: IdempotencyRecord,
        deadline: float,
    ) -> Outcome:
        self._metrics.count_event('order-repeated')
        while record.state is IdempotencyState.CLAIMED:
            if self._clock.now() + _READ_INTERVAL_SECONDS >= deadline:
                return _FIRST_UNRESOLVED
            await asyncio.sleep(_READ_INTERVAL_SECONDS)
            try:
                found = await self._records.read(record.key)
            except MustardshuntError:
                continue
            if found is not None:
                record = found
        if record.answer is not None:
            return Outcome(record.answer)
        if record.state is IdempotencyState.RELEASED:
            refusal = Refusal(
                Reason.DUPLICATE,
                Effect.NOT_RUN,
                'the first order with this key did not run, send it again',
            )
            return Outcome(refusal)
        return _FIRST_UNRESOLVED

    def _start(
        self,
        coroutine: Coroutine[object, object, ResultT],
    ) -> asyncio.Task[ResultT]:
        task = asyncio.create_task(coroutine, name='order')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def digest_request(request: CallRequest) -> str:
    """Return the digest of a request.

    A different digest with the same idempotency key shows that the caller has
    used the key for another order.
    """
    digest = hashlib.sha256(f'{request.method} {request.target}\0'.encode())
    digest.update(request.body)
    return digest.hexdigest()
