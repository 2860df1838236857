"""In-memory table service and object store whose answers can be lost."""

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
    """Both protocols of the platform; fates are drawn for each operation."""

    def __init__(
        self, write_results: Sequence[str] = ('done',), seed: int = 0
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.commits: list[tuple[Write, ...]] = []
        self.write_results = write_results
        self.rng = random.Random(seed)
        self.late: list[Sequence[Write]] = []
        self.outage_after_commit = False

    async def read_row(self, key: str) -> Row | None:
        await self._pass()
        return self.rows.get(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        await self._pass()
        return [
            row
            for key, row in sorted(self.rows.items())
            if key.startswith(prefix)
        ]

    async def commit(self, writes: Sequence[Write]) -> None:
        fate = await self._pass()
        if self.outage_after_commit:
            fate, self.write_results = 'lost', ('unavailable',)
        if fate == 'late':
            self.late.append(writes)
        elif fate != 'dropped':
            self.apply(writes)
        if fate != 'done':
            raise OutcomeUnknownError(f'the answer is {fate}')

    async def read_object(self, key: str) -> bytes | None:
        await self._pass()
        return self.objects.get(key)

    async def write_object(self, key: str, content: bytes) -> None:
        fate = await self._pass()
        if fate != 'dropped':
            self.objects[key] = content
        if fate != 'done':
            raise OutcomeUnknownError(f'the answer is {fate}')

    async def close(self) -> None:
        """Nothing is open."""

    def apply(self, writes: Sequence[Write]) -> None:
        for write in writes:
            row = self.rows.get(write.key)
            version = row.version if row else 0
            if version != write.expected_version:
                raise ConflictError(f'{write.key} has another version')
        self.commits.append(tuple(writes))
        for write in writes:
            assert write.content is not None
            self.rows[write.key] = Row(
                write.key, write.expected_version + 1, write.content
            )

    async def _pass(self) -> str:
        """Let other operators run, and a late write land."""
        for _ in range(self.rng.randrange(3)):
            await asyncio.sleep(0)
        if self.late and self.rng.randrange(3) == 0:
            with contextlib.suppress(ConflictError):
                self.apply(self.late.pop())
        fate = self.rng.choice(self.write_results)
        if fate == 'unavailable':
            raise PlatformUnavailableError('the platform is down')
        return fate
