"""In-memory platform with outage modes, for tests and the stand-in."""

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
    """How the platform behaves.

    ``CLOSED`` writes nothing and gives no answer, so that a writer cannot
    know that it was not processed.
    """

    UP = 'up'
    DOWN = 'down'
    CLOSED = 'closed'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class PlatformBehaviour:
    """Behaviour of a platform for the next requests.

    Parameters
    ----------
    mode : PlatformMode
        Mode.
    delay : float
        Seconds by which each request is delayed in mode ``SLOW``.
    lose_answers : int
        Writes whose answers are still to be lost.
    """

    mode: PlatformMode
    delay: float
    lose_answers: int


@dataclass(frozen=True, slots=True)
class PlatformCounters:
    """What a platform has done since it started.

    Parameters
    ----------
    reads : int
        Rows, lists and objects read.
    writes : int
        Transactions and objects that reached the store, conflicts included.
    rows_written : int
        Rows written or deleted by transactions that took effect.
    conflicts : int
        Transactions that found another version.
    refused : int
        Requests turned away while the platform was down.
    lost : int
        Writes whose answer was lost.
    """

    reads: int = 0
    writes: int = 0
    rows_written: int = 0
    conflicts: int = 0
    refused: int = 0
    lost: int = 0


class MemoryPlatform:
    """Table service and object store in memory.

    Each operation lets other tasks run once before it takes effect, so that
    racing writers interleave in tests as they do over a network.
    """

    def __init__(self) -> None:
        self._row_by_key: dict[str, Row] = {}
        self._object_by_key: dict[str, bytes] = {}
        self._mode = PlatformMode.UP
        self._delay = 0.0
        self._answers_to_lose = 0
        self._writes_to_hold = 0
        self._held: list[tuple[Write, ...]] = []
        self._count_by_name: dict[str, int] = {}

    @property
    def behaviour(self) -> PlatformBehaviour:
        """Behaviour in force."""
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
        """Lose the answers of the next writes after they took effect."""
        check_range('count', count, 0)
        self._answers_to_lose = count

    def hold_writes(self, count: int) -> None:
        """Delay the next transactions until ``release_held``.

        Their writers get no answer, as when a client's timeout ends before a
        slow platform takes the request up.
        """
        check_range('count', count, 0)
        self._writes_to_hold = count

    def release_held(self) -> None:
        """Apply the held transactions whose conditions are still met."""
        held = self._held
        self._held = []
        for writes in held:
            if self._find_conflict(writes) is None:
                self._apply(writes)

    def counters(self) -> PlatformCounters:
        """Return the counters."""
        return PlatformCounters(**self._count_by_name)

    def snapshot(self) -> Sequence[Row]:
        """Return all rows by key, whatever the mode."""
        return [row for _, row in sorted(self._row_by_key.items())]

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        await self._admit_read()
        self._count('reads')
        return self._row_by_key.get(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, by key."""
        await self._admit_read()
        self._count('reads')
        return [row for row in self.snapshot() if row.key.startswith(prefix)]

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none."""
        _check_keys(writes)
        await self._admit_write()
        self._count('writes')
        if self._writes_to_hold:
            self._writes_to_hold -= 1
            self._held.append(tuple(writes))
            raise OutcomeUnknownError('no answer to the transaction')
        conflict = self._find_conflict(writes)
        if conflict is None:
            self._apply(writes)
        else:
            self._count('conflicts')
        self._answer_write()
        if conflict is not None:
            raise ConflictError(conflict)

    async def read_object(self, key: str) -> bytes | None:
        """Return an object, None when it is absent."""
        await self._admit_read()
        self._count('reads')
        return self._object_by_key.get(key)

    async def write_object(self, key: str, content: bytes) -> None:
        """Write an object."""
        await self._admit_write()
        self._count('writes')
        self._object_by_key[key] = content
        self._answer_write()

    async def _admit_read(self) -> None:
        await self._wait_turn()
        if self._mode in {PlatformMode.DOWN, PlatformMode.CLOSED}:
            self._count('refused')
            raise PlatformUnavailableError('the platform is down')

    async def _admit_write(self) -> None:
        await self._wait_turn()
        if self._mode is PlatformMode.DOWN:
            self._count('refused')
            raise PlatformUnavailableError('the platform is down')
        if self._mode is PlatformMode.CLOSED:
            self._count('refused')
            raise OutcomeUnknownError('the connection was closed')

    async def _wait_turn(self) -> None:
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

    def _answer_write(self) -> None:
        if not self._answers_to_lose:
            return
        self._answers_to_lose -= 1
        self._count('lost')
        raise OutcomeUnknownError('the answer was lost')

    def _count(self, name: str) -> None:
        self._count_by_name[name] = self._count_by_name.get(name, 0) + 1


def _check_keys(writes: Sequence[Write]) -> None:
    seen: set[str] = set()
    for write in writes:
        if write.key in seen:
            raise ParameterError(
                f'writes name row {write.key!r} twice, allowed is once',
            )
        seen.add(write.key)
