"""In-memory platform with simulated faults.

Tests use the in-memory platform directly; the stand-in of the platform serves
it over HTTP.
"""

import asyncio
import enum
from collections.abc import Sequence
from dataclasses import dataclass

from mustardshunt.base import ParameterError, check_range
from mustardshunt.stores._protocols import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Write,
)


class PlatformMode(enum.StrEnum):
    """How the platform answers requests.

    ``UP`` answers at once, ``SLOW`` after a delay. ``DOWN`` refuses each
    request. ``CLOSED`` writes nothing and closes the connection without an
    answer, so that the outcome of a write is unknown to the writer.
    """

    UP = 'up'
    DOWN = 'down'
    CLOSED = 'closed'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class PlatformBehaviour:
    """How the in-memory platform treats the next requests.

    Parameters
    ----------
    mode : PlatformMode
        Mode in which requests are answered.
    delay : float
        Seconds by which each request is delayed in mode ``SLOW``.
    lose_answers : int
        Number of next writes whose answers will be lost.
    """

    mode: PlatformMode
    delay: float
    lose_answers: int


@dataclass(frozen=True, slots=True)
class PlatformCounters:
    """Numbers of operations on an in-memory platform since its start.

    Parameters
    ----------
    reads : int
        Reads of rows, lists of rows and objects.
    writes : int
        Transactions and objects that reached the store, including
        transactions that conflicted.
    rows_written : int
        Rows written or deleted by transactions that took effect.
    conflicts : int
        Transactions refused because a row had another version.
    refused : int
        Requests refused in the modes ``DOWN`` and ``CLOSED``.
    lost : int
        Writes that took effect but whose answer was lost.
    """

    reads: int = 0
    writes: int = 0
    rows_written: int = 0
    conflicts: int = 0
    refused: int = 0
    lost: int = 0


class MemoryPlatform:
    """Table service and object store in memory.

    Each operation yields to other tasks once before the operation takes effect.
    Concurrent writers thus interleave in tests, like writers over a network.
    """

    def __init__(self) -> None:
        self._row_by_key: dict[str, Row] = {}
        self._object_by_key: dict[str, bytes] = {}
        self._mode = PlatformMode.UP
        self._delay = 0.0
        self._answers_to_lose = 0
        self._writes_to_hold = 0
        self._held_transactions: list[tuple[Write, ...]] = []
        self._count_by_name: dict[str, int] = {}

    @property
    def behaviour(self) -> PlatformBehaviour:
        """How the platform treats the next requests."""
        return PlatformBehaviour(
            self._mode,
            self._delay,
            self._answers_to_lose,
        )

    def set_mode(self, mode: PlatformMode, delay: float = 0.0) -> None:
        """Change the behaviour for requests that arrive from now on.

        Parameters
        ----------
        mode : PlatformMode
            New mode.
        delay : float, default=0.0
            Seconds by which each request is delayed in mode ``SLOW``.
        """
        check_range('delay', delay, 0.0)
        self._mode = mode
        self._delay = delay

    def lose_answers(self, count: int) -> None:
        """Lose the answers of the next writes after they have taken effect.

        Parameters
        ----------
        count : int
            Number of writes.
        """
        check_range('count', count, 0)
        self._answers_to_lose = count

    def hold_writes(self, count: int) -> None:
        """Hold back the next transactions until ``release_held`` is called.

        The writers of these transactions get no answer. This simulates a client
        whose time-out ends before a slow platform processes the request.

        Parameters
        ----------
        count : int
            Number of transactions.
        """
        check_range('count', count, 0)
        self._writes_to_hold = count

    def release_held(self) -> None:
        """Apply the held-back transactions whose conditions are still met.

        A held-back transaction whose condition is no longer met is dropped.
        """
        held_transactions = self._held_transactions
        self._held_transactions = []
        for writes in held_transactions:
            if self._find_conflict(writes) is None:
                self._apply(writes)

    def counters(self) -> PlatformCounters:
        """Return the numbers of operations since the platform's start."""
        return PlatformCounters(**self._count_by_name)

    def snapshot(self) -> Sequence[Row]:
        """Return all rows, sorted by key.

        Works in every mode and is not counted as a read.
        """
        return [row for _, row in sorted(self._row_by_key.items())]

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        await self._begin_read()
        self._count('reads')
        return self._row_by_key.get(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, sorted by key."""
        await self._begin_read()
        self._count('reads')
        return [row for row in self.snapshot() if row.key.startswith(prefix)]

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none.

        Raises
        ------
        ParameterError
            Two writes name the same row.
        ConflictError
            A row had another version than its write expected.
        PlatformUnavailableError
            The mode is ``DOWN``.
        OutcomeUnknownError
            The mode is ``CLOSED``, the transaction is held back, or its answer
            is lost.
        """
        _check_distinct_keys(writes)
        await self._begin_write()
        self._count('writes')
        if self._writes_to_hold:
            self._writes_to_hold -= 1
            self._held_transactions.append(tuple(writes))
            raise OutcomeUnknownError(
                'no answer to the transaction, it may still be applied'
            )
        conflict = self._find_conflict(writes)
        if conflict is None:
            self._apply(writes)
        else:
            self._count('conflicts')
        self._raise_if_answer_lost()
        if conflict is not None:
            raise ConflictError(conflict)

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, None when it is absent."""
        await self._begin_read()
        self._count('reads')
        return self._object_by_key.get(key)

    async def write_object(self, key: str, content: bytes) -> None:
        """Write an object, replacing an earlier object with the same key."""
        await self._begin_write()
        self._count('writes')
        self._object_by_key[key] = content
        self._raise_if_answer_lost()

    async def _begin_read(self) -> None:
        await self._delay_request()
        if self._mode in {PlatformMode.DOWN, PlatformMode.CLOSED}:
            self._count('refused')
            raise PlatformUnavailableError('the platform is down')

    async def _begin_write(self) -> None:
        await self._delay_request()
        if self._mode is PlatformMode.DOWN:
            self._count('refused')
            raise PlatformUnavailableError('the platform is down')
        if self._mode is PlatformMode.CLOSED:
            self._count('refused')
            raise OutcomeUnknownError(
                'the connection was closed before the answer'
            )

    async def _delay_request(self) -> None:
        is_slow = self._mode is PlatformMode.SLOW
        await asyncio.sleep(self._delay if is_slow else 0.0)

    def _find_conflict(self, writes: Sequence[Write]) -> str | None:
        for write in writes:
            row = self._row_by_key.get(write.key)
            version = row.version if row is not None else 0
            if version != write.expected_version:
                return (
                    f'row {write.key!r} has version {version}, '
                    f'expected {write.expected_version}'
                )
        return None

    def _apply(self, writes: Sequence[Write]) -> None:
        for write in writes:
            if write.content is None:
                self._row_by_key.pop(write.key, None)
            else:
                self._row_by_key[write.key] = Row(
                    write.key,
                    write.expected_version + 1,
                    write.content,
                )
            self._count('rows_written')

    def _raise_if_answer_lost(self) -> None:
        if not self._answers_to_lose:
            return
        self._answers_to_lose -= 1
        self._count('lost')
        raise OutcomeUnknownError('the answer to the write was lost')

    def _count(self, name: str) -> None:
        self._count_by_name[name] = self._count_by_name.get(name, 0) + 1


def _check_distinct_keys(writes: Sequence[Write]) -> None:
    seen: set[str] = set()
    for write in writes:
        if write.key in seen:
            raise ParameterError(
                f'transaction writes row {write.key!r} twice, allowed is once',
            )
        seen.add(write.key)
