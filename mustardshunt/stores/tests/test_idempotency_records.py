"""Tests that each idempotency key has at most one active claim."""

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
    # A repeated keyed request must get the stored answer and must not run
    # again. A different request with the same key must be rejected.
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
    # After the release of a key, a repeated request must be able to claim the
    # key; otherwise it could never run. The call that released the key must not
    # be able to overwrite the new claim.
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
    # After a claimant has confirmed that its call never runs, only one of two
    # other nodes may take over the claim. Otherwise both would run the request.
    await records.claim(_make_claim('a'))
    found = await records.read(KEY)
    outcomes = await asyncio.gather(
        records.take_over(_make_claim('b'), found),
        records.take_over(_make_claim('c'), found),
    )
    assert [type(outcome) for outcome in outcomes].count(Claimed) == 1


async def test_claim_succeeds_when_its_answer_is_lost(platform, records):
    # A write that took effect must count as a success even if its answer is
    # lost. Otherwise the request would be refused, or its outcome would not be
    # stored.
    platform.lose_answers(1)
    claimed = await records.claim(_make_claim('a'))
    assert isinstance(claimed, Claimed)
    platform.lose_answers(1)
    await records.finish(claimed, None)
    assert (await records.read(KEY)).state is IdempotencyState.UNKNOWN
    assert platform.counters().lost == 2


async def test_claim_that_may_be_written_late_is_unknown(platform, records):
    # Delayed copies of a claim's write may take effect after the claim has been
    # given up. The outcome must then be unknown, and not "not written".
    platform.hold_writes(3)
    with pytest.raises(OutcomeUnknownError):
        await records.claim(_make_claim('a'))
    assert await records.read(KEY) is None
    platform.release_held()
    assert (await records.read(KEY)).call_id.sender == 'a'


async def test_refused_claim_differs_from_unanswered_claim(platform, records):
    # A refused claim was not written, but a claim without an answer may have
    # been. The two must raise different errors.
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
    # Concurrent single writes must share transactions, so that keyed requests
    # do not need one transaction each. When one write conflicts, the other
    # writes of its group must succeed.
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
    # The call that starts a group is cancelled, for example because its caller
    # closed the connection. The other claims of the group must still be written
    # and must not wait for ever.
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
# For each claimant: the faults of its commits, the digest of its request, the
# number of event loop iterations until the claimant crashes, and the claimant's
# next step after a successful claim.
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
    """Table service of one claimant; the drawn faults make its commits fail."""

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
            # From the time at which the release is sent, another claimant may
            # claim the key, even if the answer to the release is lost. The
            # claim therefore counts as ended from here on.
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
                # A claimant with a crash value of 10 or more does not crash.
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
    # A keyed request must run at most once, after any sequence of crashes, lost
    # answers and writes that take effect late.
    asyncio.run(_Scenario().run(claimants, delivery_delay))
