"""Tests of idempotency records: at most one active claim for each key."""

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

KEY = IdempotencyKey('acme', '31')
ANSWER = Answer(201, (('Content-Type', 'x'),), b'\x00done')
WRITE_ERRORS = (
    ConflictError,
    PlatformUnavailableError,
    OutcomeUnknownError,
)


def _make_claim(sender, digest='d', key=KEY):
    return IdempotencyClaim(key, digest, CallId(Incarnation(sender), 1))


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def records(platform):
    return IdempotencyStore(platform)


async def test_repeated_request_gets_the_stored_answer(records):
    # Guards against a keyed request that runs again or gets another answer
    # when it is repeated, and against a key that is used for two requests.
    claimed = await records.claim(_make_claim('a'))
    assert isinstance(claimed, Claimed)
    found = await records.claim(_make_claim('b'))
    assert (found.record.state, found.record.call_id.sender) == ('claimed', 'a')
    await records.finish(claimed, ANSWER)
    found = await records.claim(_make_claim('b'))
    assert isinstance(found, AlreadyClaimed)
    assert found.record.answer == ANSWER
    assert isinstance(
        await records.claim(_make_claim('c', 'e')), RequestMismatch
    )


async def test_released_key_can_be_claimed_once(records):
    # Guards against a keyed request that was refused as not run and can never
    # run, and against an old claimant that overwrites the new claim.
    first = await records.claim(_make_claim('a'))
    await records.release(first)
    assert isinstance(
        await records.claim(_make_claim('b', 'e')), RequestMismatch
    )
    second = await records.claim(_make_claim('b'))
    assert isinstance(second, Claimed)
    with pytest.raises(ConflictError):
        await records.finish(first, ANSWER)
    assert isinstance(await records.claim(_make_claim('c')), AlreadyClaimed)


async def test_one_of_two_nodes_takes_over_a_claim(records):
    # Guards against two nodes that both run a request after the claimant has
    # confirmed that it never runs it.
    await records.claim(_make_claim('a'))
    found = await records.read(KEY)
    outcomes = await asyncio.gather(
        records.take_over(_make_claim('b'), found),
        records.take_over(_make_claim('c'), found),
    )
    assert [type(outcome) for outcome in outcomes].count(Claimed) == 1


async def test_claim_succeeds_when_its_answer_is_lost(platform, records):
    # Guards against a request that is refused, or an outcome that is given up,
    # because the answer to a successful write was lost.
    platform.lose_answers(1)
    claimed = await records.claim(_make_claim('a'))
    assert isinstance(claimed, Claimed)
    platform.lose_answers(1)
    await records.finish(claimed, None)
    assert (await records.read(KEY)).state is IdempotencyState.UNKNOWN
    assert platform.counters().lost == 2


async def test_claim_that_may_be_written_late_is_unknown(platform, records):
    # Guards against a claim that is reported as not written while copies of its
    # write are delayed and take effect afterwards.
    platform.hold_writes(3)
    with pytest.raises(OutcomeUnknownError):
        await records.claim(_make_claim('a'))
    assert await records.read(KEY) is None
    platform.release_held()
    assert (await records.read(KEY)).call_id.sender == 'a'


async def test_refused_claim_differs_from_unanswered_claim(platform, records):
    # Guards against a claim without an answer that is reported as not written.
    platform.set_mode(PlatformMode.DOWN)
    with pytest.raises(PlatformUnavailableError):
        await records.claim(_make_claim('a'))
    platform.set_mode(PlatformMode.CLOSED)
    with pytest.raises(OutcomeUnknownError):
        await records.claim(_make_claim('a'))


async def _commit_later(table, number):
    for _ in range(number):
        await asyncio.sleep(0)
    await table.commit([Write(str(number), 0, '')])


async def test_single_writes_share_transactions(platform):
    # Guards against one transaction for each keyed request, and against a
    # conflict that fails the other writes of its group.
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


async def test_cancelled_call_does_not_stop_its_group(platform):
    # Guards against claims that wait for ever because the call that started
    # their group was cancelled when its caller closed the connection.
    table = make_group_commit_table(platform)
    records = IdempotencyStore(table)
    first = asyncio.create_task(records.claim(_make_claim('a')))
    other_key = IdempotencyKey('acme', '32')
    second = asyncio.create_task(records.claim(_make_claim('b', key=other_key)))
    await asyncio.sleep(0)
    first.cancel()
    async with asyncio.timeout(10.0):
        assert isinstance(await second, Claimed)
        assert isinstance(await records.claim(_make_claim('c')), AlreadyClaimed)


FAULTS = st.sampled_from(['ok', 'lost', 'held', 'down', 'closed'])
# For each claimant: faults of its commits, digest of its request, loop
# iterations until it crashes, and what it does after a successful claim.
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
    """Table service of one claimant, whose commits fail as drawn."""

    def __init__(self, platform, faults):
        self._platform = platform
        self._faults = list(faults)

    async def read_row(self, key):
        return await self._platform.read_row(key)

    async def commit(self, writes):
        fault = self._faults.pop(0) if self._faults else 'ok'
        await asyncio.sleep(0)
        if fault == 'down':
            raise PlatformUnavailableError('drawn fault: down')
        if fault == 'closed':
            raise OutcomeUnknownError('drawn fault: closed')
        if fault == 'held':
            self._platform.held_transactions.append(writes)
            raise OutcomeUnknownError('drawn fault: held')
        await self._platform.commit(writes)
        if fault == 'lost':
            raise OutcomeUnknownError('drawn fault: lost')


class _Scenario:
    def __init__(self):
        self.platform = MemoryPlatform()
        self.platform.held_transactions = []
        self.active_claims = set()
        self.run_count = 0

    async def run_claimant(self, name, faults, digest, next_step):
        records = IdempotencyStore(_FaultyTable(self.platform, faults))
        try:
            outcome = await records.claim(_make_claim(name, digest))
        except WRITE_ERRORS:
            return
        if not isinstance(outcome, Claimed):
            return
        self.active_claims.add(name)
        assert self.active_claims == {name}, 'two active claims'
        await asyncio.sleep(0)
        if next_step == 'release':
            # The claim ends when the release is sent, whatever its outcome.
            self.active_claims.remove(name)
            await self._ignore_write_errors(records.release(outcome))
            return
        self.run_count += 1
        assert self.run_count == 1, 'request ran twice'
        if next_step == 'finish':
            await self._ignore_write_errors(records.finish(outcome, ANSWER))
        if next_step == 'unknown':
            await self._ignore_write_errors(records.finish(outcome, None))

    async def _ignore_write_errors(self, operation):
        try:
            await operation
        except WRITE_ERRORS:
            return

    async def deliver_held(self, delivery_delay):
        for writes in tuple(self.platform.held_transactions):
            for _ in range(delivery_delay):
                await asyncio.sleep(0)
            await self._ignore_write_errors(self.platform.commit(writes))

    async def run(self, claimants, delivery_delay):
        tasks = []
        for index, (faults, digest, crash, next_step) in enumerate(claimants):
            coroutine = self.run_claimant(
                f'n{index}', faults, digest, next_step
            )
            tasks.append((crash, asyncio.create_task(coroutine)))
        for iteration in range(40):
            await asyncio.sleep(0)
            for crash, task in tasks:
                # A value from 10 up stands for a claimant that does not crash.
                if iteration == crash and crash < 10:
                    task.cancel()
            if iteration % (delivery_delay + 1) == delivery_delay:
                await self.deliver_held(delivery_delay)
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
def test_keyed_request_runs_once_despite_faults(claimants, delivery_delay):
    # Guards against a keyed request that runs twice after any sequence of
    # crashes, lost answers and writes that take effect late.
    asyncio.run(_Scenario().run(claimants, delivery_delay))
