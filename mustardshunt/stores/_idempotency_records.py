"""Idempotency records: one claim for each order key."""

from dataclasses import dataclass, replace
from typing import Final, TypeAlias

from mustardshunt.base import Answer, CallId, check_range
from mustardshunt.stores._idempotency_rows import (
    IdempotencyKey,
    IdempotencyRecord,
    IdempotencyState,
    decode_record,
    encode_record,
)
from mustardshunt.stores._protocols import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    TableService,
    Write,
)
from mustardshunt.stores._verified_writes import (
    attempt_write,
    commit_verified,
    read_after_unknown,
)

_ATTEMPTS: Final = 3
_MAX_KEY: Final = 255


@dataclass(frozen=True, slots=True)
class IdempotencyClaim:
    """A keyed order that wants to run.

    Parameters
    ----------
    key : IdempotencyKey
        Organisation and idempotency key.
    request_digest : str
        Digest of method, target and body.
    call_id : CallId
        Call that is to run; it marks the claim as this one's own.
    """

    key: IdempotencyKey
    request_digest: str
    call_id: CallId


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is in the table, and the call may run.

    Parameters
    ----------
    record : IdempotencyRecord
        Record as it was written.
    """

    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another call has the key.

    Parameters
    ----------
    record : IdempotencyRecord
        Its record: finished with an answer, unknown, or still claimed by the
        node in its call id.
    """

    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class RequestMismatch:
    """The key was used with another request.

    Parameters
    ----------
    record : IdempotencyRecord
        Record of the other request.
    """

    record: IdempotencyRecord


ClaimOutcome: TypeAlias = Claimed | AlreadyClaimed | RequestMismatch


class IdempotencyStore:
    """Idempotency records of section 7.

    A record's version only rises, and no record is deleted here, so a delayed
    copy of an old write never meets the condition it was made for.

    Parameters
    ----------
    table : TableService
        Table; a ``GroupCommitTable`` saves transactions.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def claim(self, claim: IdempotencyClaim) -> ClaimOutcome:
        """Claim a key for a call.

        A claim that is cancelled, at a deadline for instance, is in doubt as
        after ``OutcomeUnknownError``.

        Returns
        -------
        Claimed, AlreadyClaimed or RequestMismatch
            ``Claimed`` only when the claim is certainly in the table.

        Raises
        ------
        PlatformUnavailableError
            The claim is not in the table and never will be.
        OutcomeUnknownError
            The claim may be in the table, or may still come; the call must
            not run, and its node answers others that it has not.
        """
        check_range(
            'length of the idempotency key', len(claim.key.key), 1, _MAX_KEY
        )
        return await self._claim(claim, 0)

    async def take_over(
        self,
        claim: IdempotencyClaim,
        found: IdempotencyRecord,
    ) -> ClaimOutcome:
        """Claim a key whose claimant has said that its call will never run.

        Parameters
        ----------
        claim : IdempotencyClaim
            New claim.
        found : IdempotencyRecord
            Record of the call that will never run.
        """
        if found.request_digest != claim.request_digest:
            return RequestMismatch(found)
        return await self._claim(claim, found.version)

    async def finish(
        self,
        claimed: Claimed,
        answer: Answer | None,
    ) -> IdempotencyRecord:
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
        OutcomeUnknownError
            It is not known whether the outcome was written.
        """
        state = (
            IdempotencyState.UNKNOWN
            if answer is None
            else IdempotencyState.FINISHED
        )
        return await self._settle(claimed.record, state, answer)

    async def release(self, claimed: Claimed) -> IdempotencyRecord:
        """Let a repeat run, because this call certainly did not.

        Raises
        ------
        ConflictError, PlatformUnavailableError, OutcomeUnknownError
            As for ``finish``.
        """
        return await self._settle(
            claimed.record, IdempotencyState.RELEASED, None
        )

    async def read(self, key: IdempotencyKey) -> IdempotencyRecord | None:
        """Return the record of a key, None when there is none."""
        row = await self._table.read_row(key.row_key)
        return None if row is None else decode_record(key, row)

    async def _claim(
        self, claim: IdempotencyClaim, version: int
    ) -> ClaimOutcome:
        doubt: OutcomeUnknownError | None = None
        for _ in range(_ATTEMPTS):
            record = _make_record(claim, version)
            write = _make_write(record)
            failure = await attempt_write(self._table, write, doubt)
            if failure is None:
                return Claimed(record)
            if isinstance(failure, OutcomeUnknownError):
                doubt = failure
            outcome = await self._judge(claim, version, doubt)
            if not isinstance(outcome, int):
                return outcome
            version = outcome
        raise doubt or PlatformUnavailableError(
            f'row {claim.key.row_key!r} changed {_ATTEMPTS} times',
        )

    async def _judge(
        self,
        claim: IdempotencyClaim,
        version: int,
        doubt: OutcomeUnknownError | None,
    ) -> ClaimOutcome | int:
        """Return the outcome, or the version at which to claim again."""
        row = await read_after_unknown(self._table, claim.key.row_key, doubt)
        if row is None:
            return 0
        found = decode_record(claim.key, row)
        if found.request_digest != claim.request_digest:
            return RequestMismatch(found)
        is_unchanged = found.version == version
        if is_unchanged or found.state is IdempotencyState.RELEASED:
            return found.version
        is_own = found.call_id == claim.call_id
        if is_own and found.state is IdempotencyState.CLAIMED:
            return Claimed(found)
        return AlreadyClaimed(found)

    async def _settle(
        self,
        record: IdempotencyRecord,
        state: IdempotencyState,
        answer: Answer | None,
    ) -> IdempotencyRecord:
        settled = replace(
            record,
            state=state,
            answer=answer,
            version=record.version + 1,
        )
        await commit_verified(self._table, _make_write(settled))
        return settled


def _make_record(claim: IdempotencyClaim, version: int) -> IdempotencyRecord:
    return IdempotencyRecord(
        claim.key,
        claim.request_digest,
        claim.call_id,
        IdempotencyState.CLAIMED,
        None,
        version + 1,
    )


def _make_write(record: IdempotencyRecord) -> Write:
    return Write(
        record.key.row_key,
        record.version - 1,
        encode_record(record),
    )
