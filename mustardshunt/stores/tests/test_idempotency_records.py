"""Tests of idempotency records: at most one live claim for each key."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Answer, CallId, Incarnation
from mustardshunt.stores import (
    AlreadyClaimed,
    Claimed,
    ConflictError,
    IdempotencyClaim,
    IdempotencyKey,
    IdempotencyState,
    IdempotencyStore,
    MemoryPlatform,
    OutcomeUnknownError,
    PlatformMode,
    PlatformUnavailableError,
    RequestMismatch,
    Write,
    make_group_commit_table,
)

ORDER = IdempotencyKey('acme', '31')
ANSWER = Answer(201, (('Content-Type', 'x'),), b'\x00done')
WRITE_ERRORS = (
    ConflictError,
    PlatformUnavailableError,
    OutcomeUnknownError,
)


def _claim(sender, digest='d', order=ORDER):
    return IdempotencyClaim(order, digest, CallId(Incarnation(sender), 1))


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def records(platform):
    return IdempotencyStore(platform)


async def test_repeat_gets_the_answer(records):
    # Guards against an order that runs again, or answers something else.
    claimed = await records.claim(_claim('a'))
    assert isinstance(claimed, Claimed)
    found = await records.claim(_claim('b'))
    assert (found.record.state, found.record.call_id.sender) == ('claimed', 'a')
    await records.finish(claimed, ANSWER)
    found = await records.claim(_claim('b'))
    assert isinstance(found, AlreadyClaimed)
    assert found.record.answer == ANSWER
    assert isinstance(await records.claim(_claim('c', 'e')), RequestMismatch)


async def test_released_key_runs_once_more(records):
    # Guards against an order that was refused "not run" and never can run.
    first = await records.claim(_claim('a'))
    await records.release(first)
    assert isinstance(await records.claim(_claim('b', 'e')), RequestMismatch)
    second = await records.claim(_claim('b'))
    assert isinstance(second, Claimed)
    with pytest.raises(ConflictError):
        await records.finish(first, ANSWER)
    assert isinstance(await records.claim(_claim('c')), AlreadyClaimed)


async def test_one_of_two_takes_over(records):
    # Guards against two nodes that both run the order of a third.
    await records.claim(_claim('a'))
    found = await records.read(ORDER)
    outcomes = await asyncio.gather(
        records.take_over(_claim('b'), found),
        records.take_over(_claim('c'), found),
    )
    assert [type(outcome) for outcome in outcomes].count(Claimed) == 1


async def test_lost_answer_is_resolved(platform, records):
    # Guards against an order refused although its claim is in the table.
    platform.lose_answers(1)
    claimed = await records.claim(_claim('a'))
    assert isinstance(claimed, Claimed)
    platform.lose_answers(1)
    await records.finish(claimed, None)
    assert (await records.read(ORDER)).state is IdempotencyState.UNKNOWN
    assert platform.counters().lost == 2


async def test_late_claim_is_never_certain(platform, records):
    # Guards against "not in the table" reported for a claim that comes later.
    platform.hold_writes(3)
    with pytest.raises(OutcomeUnknownError):
        await records.claim(_claim('a'))
    assert await records.read(ORDER) is None
    platform.release_held()
    assert (await records.read(ORDER)).call_id.sender == 'a'


async def test_outage_is_told_from_doubt(platform, records):
    # Guards against a doubtful claim reported as surely not made.
    platform.set_mode(PlatformMode.DOWN)
    with pytest.raises(PlatformUnavailableError):
        await records.claim(_claim('a'))
    platform.set_mode(PlatformMode.CLOSED)
    with pytest.raises(OutcomeUnknownError):
        await records.claim(_claim('a'))


async def _commit_later(table, number):
    for _ in range(number):
        await asyncio.sleep(0)
    await table.commit([Write(str(number), 0, '')])


async def test_writes_share_a_transaction(platform):
    # Guards against one platform write for each order, and against one
    # conflict that fails all writes beside it.
    await platform.commit([Write('7', 0, '')])
    before = platform.counters().writes
    table = make_group_commit_table(platform, 0.5)
    outcomes = await asyncio.gather(
        *(_commit_later(table, number) for number in range(40)),
        return_exceptions=True,
    )
    await table.close()
    assert isinstance(outcomes.pop(7), ConflictError)
    assert outcomes == [None] * 39
    assert platform.counters().writes - before <= 13


async def test_group_survives_a_caller_that_leaves(platform):
    # Guards against claims that hang because the caller who opened the group
    # closed its connection.
    table = make_group_commit_table(platform)
    records = IdempotencyStore(table)
    first = asyncio.create_task(records.claim(_claim('a')))
    other = IdempotencyKey('acme', '32')
    second = asyncio.create_task(records.claim(_claim('b', order=other)))
    await asyncio.sleep(0)
    first.cancel()
    async with asyncio.timeout(10.0):
        assert isinstance(await second, Claimed)
        assert isinstance(await records.claim(_claim('c')), AlreadyClaimed)


FAULTS = st.sampled_from(['ok', 'lost', 'held', 'down', 'closed'])
# Per claimant: faults of its commits, digest, and turns until it crashes.
CLAIMANTS = st.lists(
    st.tuples(
        st.lists(FAULTS, max_size=4),
        st.sampled_from(['d', 'd', 'e']),
        st.integers(0, 12),
        st.sampled_from(['keep', 'release', 'finish', 'unknown']),
    ),
    min_size=2,
    max_size=5,
)


class _FaultyTable:
    """Platform of one claimant, whose commits fail as drawn."""

    def __init__(self, platform, faults):
        self._platform = platform
        self._faults = list(faults)

    async def read_row(self, key):
        return await self._platform.read_row(key)

    async def commit(self, writes):
        fault = self._faults.pop(0) if self._faults else 'ok'
        await asyncio.sleep(0)
        if fault == 'down':
            raise PlatformUnavailableError('drawn')
        if fault == 'closed':
            raise OutcomeUnknownError('drawn')
        if fault == 'held':
            self._platform.held.append(writes)
            raise OutcomeUnknownError('drawn')
        await self._platform.commit(writes)
        if fault == 'lost':
            raise OutcomeUnknownError('drawn')


class _Scenario:
    def __init__(self):
        self.platform = MemoryPlatform()
        self.platform.held = []
        self.live = set()
        self.ran = 0

    async def run_claimant(self, name, faults, digest, then):
        records = IdempotencyStore(_FaultyTable(self.platform, faults))
        try:
            outcome = await records.claim(_claim(name, digest))
        except WRITE_ERRORS:
            return
        if not isinstance(outcome, Claimed):
            return
        self.live.add(name)
        assert self.live == {name}, 'two live claims'
        await asyncio.sleep(0)
        if then == 'release':
            # The claim ends when the write is sent, whatever its outcome.
            self.live.remove(name)
            await self._settle(records.release(outcome))
            return
        self.ran += 1
        assert self.ran == 1, 'ran twice'
        if then == 'finish':
            await self._settle(records.finish(outcome, ANSWER))
        if then == 'unknown':
            await self._settle(records.finish(outcome, None))

    async def _settle(self, operation):
        try:
            await operation
        except WRITE_ERRORS:
            return

    async def deliver_held(self, turns):
        for writes in tuple(self.platform.held):
            for _ in range(turns):
                await asyncio.sleep(0)
            await self._settle(self.platform.commit(writes))

    async def run(self, claimants, turns):
        tasks = []
        for index, (faults, digest, crash, then) in enumerate(claimants):
            running = self.run_claimant(f'n{index}', faults, digest, then)
            tasks.append((crash, asyncio.create_task(running)))
        for turn in range(40):
            await asyncio.sleep(0)
            for crash, task in tasks:
                # Crash turns from 10 up mean that the node lives on.
                if turn == crash and crash < 10:
                    task.cancel()
            if turn % (turns + 1) == turns:
                await self.deliver_held(turns)
        results = await asyncio.gather(
            *(task for _, task in tasks),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, AssertionError):
                raise result
        await self.deliver_held(0)


@settings(max_examples=600, derandomize=True, deadline=None, database=None)
@given(CLAIMANTS, st.integers(0, 5))
def test_one_claim_wins(claimants, turns):
    # Guards against an order that runs twice after crashes, lost answers and
    # writes that take effect late, in any order.
    asyncio.run(_Scenario().run(claimants, turns))
