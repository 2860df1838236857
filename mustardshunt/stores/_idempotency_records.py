"""Idempotency records: one claim for each order key."""

from dataclasses import dataclass, replace
from typing import Final, TypeAlias

from mustardshunt.base import Answer, CallId, check_range
from mustardshunt.stores._order_rows import (
    OrderKey,
    OrderRecord,
    OrderState,
    decode_order,
    encode_order,
)
from mustardshunt.stores._protocols import (
    PlatformUnavailableError,
    PlatformUnknownError,
    TableService,
    Write,
)
from mustardshunt.stores._settled import (
    attempt_write,
    commit_settled,
    read_after_doubt,
)

_ATTEMPTS: Final = 3
_MAX_KEY: Final = 255


@dataclass(frozen=True, slots=True)
class OrderClaim:
    """A keyed order that wants to run.

    Parameters
    ----------
    order : OrderKey
        Organisation and idempotency key.
    digest : str
        Digest of method, target and body.
    call_id : CallId
        Call that is to run; it marks the claim as this one's own.
    """

    order: OrderKey
    digest: str
    call_id: CallId


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is in the table, and the call may run.

    Parameters
    ----------
    record : OrderRecord
        Record as it was written.
    """

    record: OrderRecord


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another call has the key.

    Parameters
    ----------
    record : OrderRecord
        Its record: finished with an answer, unknown, or still claimed by the
        node in its call id.
    """

    record: OrderRecord


@dataclass(frozen=True, slots=True)
class DigestConflict:
    """The key was used with another request.

    Parameters
    ----------
    record : OrderRecord
        Record of the other request.
    """

    record: OrderRecord


ClaimOutcome: TypeAlias = Claimed | AlreadyClaimed | DigestConflict


class OrderRecords:
    """Idempotency records of section 7.

    A record's version only rises, and no record is deleted here, so a delayed
    copy of an old write never meets the condition it was made for.

    Parameters
    ----------
    table : TableService
        Table; a ``GroupedTable`` saves transactions.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def claim(self, claim: OrderClaim) -> ClaimOutcome:
        """Claim a key for a call.

        A claim that is cancelled, at a deadline for instance, is in doubt as
        after ``PlatformUnknownError``.

        Returns
        -------
        Claimed, AlreadyClaimed or DigestConflict
            ``Claimed`` only when the claim is certainly in the table.

        Raises
        ------
        PlatformUnavailableError
            The claim is not in the table and never will be.
        PlatformUnknownError
            The claim may be in the table, or may still come; the call must
            not run, and its node answers others that it has not.
        """
        check_range(
            'length of the idempotency key', len(claim.order.key), 1, _MAX_KEY
        )
        return await self._claim(claim, 0)

    async def take_over(
        self,
        claim: OrderClaim,
        found: OrderRecord,
    ) -> ClaimOutcome:
        """Claim a key whose claimant has said that its call will never run.

        Parameters
        ----------
        claim : OrderClaim
            New claim.
        found : OrderRecord
            Record of the call that will never run.
        """
        if found.digest != claim.digest:
            return DigestConflict(found)
        return await self._claim(claim, found.version)

    async def finish(
        self,
        claimed: Claimed,
        answer: Answer | None,
    ) -> OrderRecord:
        """Write the outcome of a claimed call.

        Parameters
        ----------
        claimed : Claimed
            Claim that ran.
        answer : Answer or None
            Answer to return to repeats; None when the outcome is unknown.

        Raises
        ------
        ConflictError
            The record belongs to another call now.
        PlatformUnavailableError
            Nothing was written.
        PlatformUnknownError
            It is not known whether the outcome was written.
        """
        state = OrderState.UNKNOWN if answer is None else OrderState.FINISHED
        return await self._settle(claimed.record, state, answer)

    async def release(self, claimed: Claimed) -> OrderRecord:
        """Let a repeat run, because this call certainly did not.

        Raises
        ------
        ConflictError, PlatformUnavailableError, PlatformUnknownError
            As for ``finish``.
        """
        return await self._settle(claimed.record, OrderState.RELEASED, None)

    async def read(self, order: OrderKey) -> OrderRecord | None:
        """Return the record of a key, None when there is none."""
        row = await self._table.read_row(order.row_key)
        return None if row is None else decode_order(order, row)

    async def _claim(self, claim: OrderClaim, version: int) -> ClaimOutcome:
        doubt: PlatformUnknownError | None = None
        for _ in range(_ATTEMPTS):
            record = _make_record(claim, version)
            write = _make_write(record)
            failure = await attempt_write(self._table, write, doubt)
            if failure is None:
                return Claimed(record)
            if isinstance(failure, PlatformUnknownError):
                doubt = failure
            outcome = await self._judge(claim, version, doubt)
            if not isinstance(outcome, int):
                return outcome
            version = outcome
        raise doubt or PlatformUnavailableError(
            f'row {claim.order.row_key!r} changed {_ATTEMPTS} times',
        )

    async def _judge(
        self,
        claim: OrderClaim,
        version: int,
        doubt: PlatformUnknownError | None,
    ) -> ClaimOutcome | int:
        """Return the outcome, or the version at which to claim again."""
        row = await read_after_doubt(self._table, claim.order.row_key, doubt)
        if row is None:
            return 0
        found = decode_order(claim.order, row)
        if found.digest != claim.digest:
            return DigestConflict(found)
        is_unchanged = found.version == version
        if is_unchanged or found.state is OrderState.RELEASED:
            return found.version
        is_own = found.call_id == claim.call_id
        if is_own and found.state is OrderState.CLAIMED:
            return Claimed(found)
        return AlreadyClaimed(found)

    async def _settle(
        self,
        record: OrderRecord,
        state: OrderState,
        answer: Answer | None,
    ) -> OrderRecord:
        settled = replace(
            record,
            state=state,
            answer=answer,
            version=record.version + 1,
        )
        await commit_settled(self._table, _make_write(settled))
        return settled


def _make_record(claim: OrderClaim, version: int) -> OrderRecord:
    return OrderRecord(
        claim.order,
        claim.digest,
        claim.call_id,
        OrderState.CLAIMED,
        None,
        version + 1,
    )


def _make_write(record: OrderRecord) -> Write:
    return Write(
        record.order.row_key,
        record.version - 1,
        encode_order(record),
    )
