"""In-memory table service and object store with random faults."""

import asyncio
import contextlib
import random
from collections.abc import Sequence

from mustardshunt.stores import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    Write,
)


class FakePlatform:
    """Table service and object store with a random result for each operation.

    Parameters
    ----------
    write_results : sequence of str
        Results to draw from. ``done``: the operation takes effect and is
        answered. ``lost``: the operation takes effect, but the answer is lost.
        ``dropped``: the operation has no effect and no answer. ``late``: the
        operation has no answer and takes effect during a later operation.
        ``unavailable``: the operation is refused. A read is refused when
        ``unavailable`` is drawn and succeeds otherwise.
    seed : int
        Seed of the random generator that draws the results.
    """

    def __init__(
        self, write_results: Sequence[str] = ('done',), seed: int = 0
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.commits: list[tuple[Write, ...]] = []
        self.write_results = write_results
        self.rng = random.Random(seed)
        self.late_writes: list[Sequence[Write]] = []
        self.outage_after_commit = False

    async def read_row(self, key: str) -> Row | None:
        await self._draw_result()
        return self.rows.get(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        await self._draw_result()
        return [
            row
            for key, row in sorted(self.rows.items())
            if key.startswith(prefix)
        ]

    async def commit(self, writes: Sequence[Write]) -> None:
        result = await self._draw_result()
        if self.outage_after_commit:
            result, self.write_results = 'lost', ('unavailable',)
        if result == 'late':
            self.late_writes.append(writes)
        elif result != 'dropped':
            self.apply(writes)
        if result != 'done':
            raise OutcomeUnknownError(
                f'no answer to the write, which is {result}'
            )

    async def read_object(self, key: str) -> bytes | None:
        await self._draw_result()
        return self.objects.get(key)

    async def write_object(self, key: str, content: bytes) -> None:
        result = await self._draw_result()
        if result != 'dropped':
            self.objects[key] = content
        if result != 'done':
            raise OutcomeUnknownError(
                f'no answer to the write, which is {result}'
            )

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""

    def apply(self, writes: Sequence[Write]) -> None:
        for write in writes:
            row = self.rows.get(write.key)
            version = row.version if row else 0
            if version != write.expected_version:
                raise ConflictError(
                    f'row {write.key!r} has version {version}, '
                    f'expected {write.expected_version}'
                )
        self.commits.append(tuple(writes))
        for write in writes:
            assert write.content is not None
            self.rows[write.key] = Row(
                write.key, write.expected_version + 1, write.content
            )

    async def _draw_result(self) -> str:
        """Draw the result of an operation, after yielding to other tasks.

        A late write may take effect before the draw.
        """
        for _ in range(self.rng.randrange(3)):
            await asyncio.sleep(0)
        if self.late_writes and self.rng.randrange(3) == 0:
            with contextlib.suppress(ConflictError):
                self.apply(self.late_writes.pop())
        result = self.rng.choice(self.write_results)
        if result == 'unavailable':
            raise PlatformUnavailableError('the platform is down')
        return result
