"""Orders that carry an idempotency key: they run once across all nodes."""

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

# A repeat reads the record again while the first order is running.
_READ_AGAIN_SECONDS: Final = 0.1
# The outcome is written again for this long while the platform is away.
_WRITE_SECONDS: Final = 60.0
_FIRST_PAUSE_SECONDS: Final = 0.05
_LAST_PAUSE_SECONDS: Final = 2.0

ResultT = TypeVar('ResultT')

_UNAVAILABLE: Final = Outcome(
    Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        Effect.NOT_RUN,
        'an order with an idempotency key needs the platform',
    ),
)
_RUNNING: Final = Outcome(
    Refusal(
        Reason.DUPLICATE,
        Effect.UNKNOWN,
        'the first order with this key has no known outcome',
    ),
)
_CONFLICT: Final = Outcome(
    Refusal(
        Reason.IDEMPOTENCY_CONFLICT,
        Effect.NOT_RUN,
        'the key was used with another request',
    ),
)


class IdempotencyService:
    """Claims each key on the platform before its order is sent.

    Parameters
    ----------
    records : IdempotencyStore
        Claims and outcomes on the platform.
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
        """Orders that run or whose outcome is still to be written."""
        return len(self._tasks)

    async def send(self, call: CheckedCall, idempotency_key: str) -> Outcome:
        """Run an order unless one with its key has run.

        The work goes on when the caller goes away, since a claim that is
        half made would hold the key for nothing.

        Parameters
        ----------
        call : CheckedCall
            The order.
        idempotency_key : str
            Key under which its caller repeats it.

        Returns
        -------
        Outcome
            Outcome of this order or of the first one with the key.
        """
        return await asyncio.shield(
            self._start(self._serve(call, idempotency_key)),
        )

    async def drain(self) -> None:
        """Wait for all orders that run."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _serve(self, call: CheckedCall, idempotency_key: str) -> Outcome:
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
            return _UNAVAILABLE
        except MustardshuntError:
            # The claim may be in the table; since this order does not run,
            # the record is released as soon as the platform answers.
            self._start(self._withdraw(claim))
            return _UNAVAILABLE
        match found:
            case Claimed():
                # The caller may go away; the order still runs to its end.
                return await asyncio.shield(self._start(self._run(call, found)))
            case AlreadyClaimed(record):
                return await self._await_first(record, call.context.deadline)
            case RequestMismatch():
                return _CONFLICT

    async def _run(self, call: CheckedCall, claimed: Claimed) -> Outcome:
        outcome = await self._sender.send(call)
        self._start(self._record(claimed, outcome))
        return outcome

    async def _record(self, claimed: Claimed, outcome: Outcome) -> None:
        give_up = self._clock.now() + _WRITE_SECONDS
        pause = _FIRST_PAUSE_SECONDS
        while self._clock.now() < give_up:
            try:
                await self._write(claimed, outcome)
            except ConflictError:
                return
            except MustardshuntError as error:
                self._metrics.count_event(f'order-{error.code.value}')
            else:
                return
            await asyncio.sleep(pause)
            pause = min(pause * 2, _LAST_PAUSE_SECONDS)
        logger.error('the outcome of order {} was not written', claimed.record)

    async def _write(self, claimed: Claimed, outcome: Outcome) -> None:
        reply = outcome.reply
        if isinstance(reply, Answer):
            await self._records.finish(claimed, reply)
            return
        if reply.effect is Effect.NOT_RUN:
            await self._records.release(claimed)
            return
        await self._records.finish(claimed, None)

    async def _withdraw(self, claim: IdempotencyClaim) -> None:
        give_up = self._clock.now() + _WRITE_SECONDS
        while self._clock.now() < give_up:
            await asyncio.sleep(_LAST_PAUSE_SECONDS)
            try:
                found = await self._records.claim(claim)
            except MustardshuntError as error:
                self._metrics.count_event(f'order-{error.code.value}')
                continue
            if isinstance(found, Claimed):
                await self._record(found, _UNAVAILABLE)
            return

    async def _await_first(
        self,
        record: IdempotencyRecord,
        deadline: float,
    ) -> Outcome:
        self._metrics.count_event('order-repeated')
        while record.state is IdempotencyState.CLAIMED:
            if self._clock.now() + _READ_AGAIN_SECONDS >= deadline:
                return _RUNNING
            await asyncio.sleep(_READ_AGAIN_SECONDS)
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
        return _RUNNING

    def _start(
        self,
        work: Coroutine[object, object, ResultT],
    ) -> asyncio.Task[ResultT]:
        task = asyncio.create_task(work, name='order')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def digest_request(request: CallRequest) -> str:
    """Return the digest by which a repeat of an order is recognised."""
    digest = hashlib.sha256(f'{request.method} {request.target}\0'.encode())
    digest.update(request.body)
    return digest.hexdigest()
