"""Claims of idempotency keys, so that a keyed request runs at most once."""

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

_MAX_ATTEMPTS: Final = 3
_MAX_KEY_CHARACTERS: Final = 255


@dataclass(frozen=True, slots=True)
class IdempotencyClaim:
    """Claim of an idempotency key for one call.

    Parameters
    ----------
    key : IdempotencyKey
        Idempotency key and the organisation that it belongs to.
    request_digest : str
        Digest of the request's method, target and body.
    call_id : CallId
        Call that will run the request. After a lost answer, the call id in the
        row shows whether this call or another call claimed the key.
    """

    key: IdempotencyKey
    request_digest: str
    call_id: CallId


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is written to the table, so the claiming call may run.

    Parameters
    ----------
    record : IdempotencyRecord
        Idempotency record that was written.
    """

    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """Another call has claimed the key for the same request.

    Parameters
    ----------
    record : IdempotencyRecord
        Record of the other call. The state of the record is ``FINISHED`` (the
        record contains the answer), ``UNKNOWN`` (the outcome of the call cannot
        be determined) or ``CLAIMED`` (the call may be running). The call id of
        the record names the node that claimed the key.
    """

    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class RequestMismatch:
    """The key was used before for a different request.

    The digests of the two requests differ.

    Parameters
    ----------
    record : IdempotencyRecord
        Record of the other request.
    """

    record: IdempotencyRecord


ClaimOutcome: TypeAlias = Claimed | AlreadyClaimed | RequestMismatch


class IdempotencyStore:
    """Reads idempotency records, and writes them conditionally.

    Each write has the condition that the row has a certain version. Versions
    only rise, and no record is deleted. A delayed copy of an earlier write
    therefore never takes effect: its version has passed.

    Parameters
    ----------
    table : TableService
        Table service with the records. With a ``GroupCommitTable``, the writes
        of concurrent calls share transactions.
    """

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def claim(self, claim: IdempotencyClaim) -> ClaimOutcome:
        """Claim a key for a call.

        If this method is cancelled, for example at a deadline, the outcome is
        unknown, just as after ``OutcomeUnknownError``.

        Returns
        -------
        Claimed, AlreadyClaimed or RequestMismatch
            ``Claimed`` only when it is certain that the claim is in the table.

        Raises
        ------
        PlatformUnavailableError
            The claim was not written and never will be.
        OutcomeUnknownError
            The claim may be in the table or may still be written. The call must
            not run: its node can then truthfully tell other nodes that the call
            has not run.
        ParameterError
            The key has less than 1 or more than 255 characters.
        """
        check_range(
            'length of the idempotency key',
            len(claim.key.key),
            1,
            _MAX_KEY_CHARACTERS,
        )
        return await self._claim(claim, 0)

    async def take_over(
        self,
        claim: IdempotencyClaim,
        found: IdempotencyRecord,
    ) -> ClaimOutcome:
        """Claim a key from another call that certainly never runs.

        The node that claimed the key has confirmed that its call never runs.

        Parameters
        ----------
        claim : IdempotencyClaim
            New claim.
        found : IdempotencyRecord
            Record of the call that will never run.

        Returns
        -------
        Claimed, AlreadyClaimed or RequestMismatch
            As for ``claim``.

        Raises
        ------
        PlatformUnavailableError, OutcomeUnknownError
            As for ``claim``.
        """
        if found.request_digest != claim.request_digest:
            return RequestMismatch(found)
        return await self._claim(claim, found.version)

    async def finish(
        self,
        claimed: Claimed,
        answer: Answer | None,
    ) -> IdempotencyRecord:
        """Write the outcome of a claimed call, and return the new record.

        Parameters
        ----------
        claimed : Claimed
            Claim whose call has run.
        answer : Answer or None
            Answer for repeated requests; None when the outcome of the call
            is unknown.

        Raises
        ------
        ConflictError
            Another call has taken over the record.
        PlatformUnavailableError
            Nothing was written.
        OutcomeUnknownError
            It is not known whether the record was written.
        """
        state = (
            IdempotencyState.UNKNOWN
            if answer is None
            else IdempotencyState.FINISHED
        )
        return await self._write_state(claimed.record, state, answer)

    async def release(self, claimed: Claimed) -> IdempotencyRecord:
        """Release a key for repeated requests, and return the new record.

        A key may be released only if its call certainly has not run; otherwise
        the repeated request could run a second time.

        Raises
        ------
        ConflictError, PlatformUnavailableError, OutcomeUnknownError
            As for ``finish``.
        """
        return await self._write_state(
            claimed.record, IdempotencyState.RELEASED, None
        )

    async def read(self, key: IdempotencyKey) -> IdempotencyRecord | None:
        """Return the idempotency record of a key, None when there is none."""
        row = await self._table.read_row(key.row_key)
        return None if row is None else decode_record(key, row)

    async def _claim(
        self, claim: IdempotencyClaim, version: int
    ) -> ClaimOutcome:
        unknown_error: OutcomeUnknownError | None = None
        for _ in range(_MAX_ATTEMPTS):
            record = _make_record(claim, version)
            write = _make_write(record)
            failure = await attempt_write(self._table, write, unknown_error)
            if failure is None:
                return Claimed(record)
            if isinstance(failure, OutcomeUnknownError):
                unknown_error = failure
            outcome = await self._resolve_by_row(claim, version, unknown_error)
            if not isinstance(outcome, int):
                return outcome
            version = outcome
        raise unknown_error or PlatformUnavailableError(
            f'claim of row {claim.key.row_key!r}: other writers were first at '
            f'each of {_MAX_ATTEMPTS} attempts',
        )

    async def _resolve_by_row(
        self,
        claim: IdempotencyClaim,
        version: int,
        unknown_error: OutcomeUnknownError | None,
    ) -> ClaimOutcome | int:
        """Read the row after a failed write to find out how to go on.

        Returns the outcome of the claim, or, if the key is still free, the row
        version that the next attempt must expect.
        """
        row = await read_after_unknown(
            self._table, claim.key.row_key, unknown_error
        )
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

    async def _write_state(
        self,
        record: IdempotencyRecord,
        state: IdempotencyState,
        answer: Answer | None,
    ) -> IdempotencyRecord:
        updated = replace(
            record,
            state=state,
            answer=answer,
            version=record.version + 1,
        )
        await commit_verified(self._table, _make_write(updated))
        return updated


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
