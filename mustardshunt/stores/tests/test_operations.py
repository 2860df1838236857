"""Tests of registrations, partition rows and confirmations."""

import asyncio
from dataclasses import replace

import pytest

from mustardshunt.base import Incarnation, ParameterError, VmAddress
from mustardshunt.stores import (
    CommitOutcome,
    Confirmation,
    ConfirmationStore,
    ConflictError,
    MemoryPlatform,
    OutcomeUnknownError,
    PlatformMode,
    PlatformUnavailableError,
    ShareRowStore,
    StoredShareRow,
    VmRecord,
    VmRegistry,
    Write,
)

A = Incarnation('a')
B = Incarnation('b')
RECORD = VmRecord(A, VmAddress('127.0.0.1', 7), 'dc1', '', 'boot', 1)


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.fixture
def registry(platform):
    return VmRegistry(platform)


@pytest.fixture
def rows(platform):
    return ShareRowStore(platform, A)


async def test_lease_is_renewed_through_lost_answers(platform, registry):
    # Guards against a node that gives up its shares over a lost answer.
    platform.lose_answers(1)
    lease = await registry.write(RECORD)
    platform.lose_answers(1)
    lease = await registry.renew(lease, replace(RECORD, service='order'))
    assert await registry.read(A) == lease
    assert (lease.version, lease.record.service) == (2, 'order')
    await registry.write(replace(RECORD, incarnation=B, data_centre='dc2'))
    assert await registry.list_data_centre('dc1') == [lease]
    assert len(await registry.list_all()) == 2


async def test_declared_gone_is_not_written_again(platform, registry):
    # Guards against two owners of a share after "vm gone": the old node must
    # learn of it, also when the answer to its renewal is lost.
    lease = await registry.write(RECORD)
    platform.lose_answers(1)
    await registry.delete(lease)
    for lost in (0, 1):
        platform.lose_answers(lost)
        with pytest.raises(ConflictError):
            await registry.renew(lease)
    assert await registry.read(A) is None


async def test_renewed_lease_is_not_deleted(registry):
    # Guards against a live node that is declared gone on an old reading.
    old = await registry.write(RECORD)
    await registry.renew(old)
    with pytest.raises(ConflictError):
        await registry.delete(old)
    assert await registry.read(A) is not None


async def test_one_of_two_share_writers_wins(platform, rows):
    # Guards against shares that sum to more than the whole: both write the
    # same content, and each loses its answer.
    empty = await rows.read(7)
    platform.lose_answers(2)
    outcomes = await asyncio.gather(
        rows.compare_and_set(empty, {A: 1_000_000}),
        ShareRowStore(platform, B).compare_and_set(empty, {A: 1_000_000}),
    )
    assert sorted(outcomes) == ['committed', 'conflict']
    found = await rows.read(7)
    assert (found.version, found.share_by_holder) == (1, {A: 1_000_000})
    with pytest.raises(ParameterError, match='sum of the shares is 1000001'):
        await rows.compare_and_set(found, {A: 1_000_000, B: 1})


async def test_late_share_write_is_not_a_conflict(platform, rows):
    # Guards against a giver that takes its share back while the transfer is
    # still on its way.
    empty = await rows.read(7)
    platform.hold_writes(3)
    outcome = await rows.compare_and_set(empty, {A: 1})
    assert outcome is CommitOutcome.UNKNOWN
    platform.release_held()
    assert (await rows.read(7)).share_by_holder == {A: 1}


async def test_late_copy_of_a_share_write_is_harmless(platform, rows):
    # Guards against a change that is given up, or made twice, when the first
    # copy of its write arrives late.
    await rows.compare_and_set(await rows.read(7), {A: 1})
    platform.hold_writes(1)
    outcome = await rows.compare_and_set(await rows.read(7), {A: 2})
    assert outcome is CommitOutcome.COMMITTED
    platform.release_held()
    found = await rows.read(7)
    assert (found.version, found.share_by_holder) == (2, {A: 2})


async def test_overwritten_share_write_is_unknown(platform, rows):
    # Guards against "conflict" for a change on which another one was built.
    empty = await rows.read(7)

    class _Table:
        async def commit(self, writes):
            await platform.commit(writes)
            await platform.commit([Write('shares/7', 1, '{"parts": {}}')])
            raise OutcomeUnknownError('lost')

        read_row = platform.read_row

    outcome = await ShareRowStore(_Table(), A).compare_and_set(empty, {A: 1})
    assert outcome is CommitOutcome.UNKNOWN


async def test_operations_in_an_outage(platform, registry, rows):
    # Guards against an outage that is taken for a lost race or an empty row.
    platform.set_mode(PlatformMode.DOWN)
    with pytest.raises(PlatformUnavailableError):
        await registry.write(RECORD)
    with pytest.raises(PlatformUnavailableError):
        await rows.read(7)
    with pytest.raises(PlatformUnavailableError):
        await rows.compare_and_set(StoredShareRow(7, 0, {}), {A: 1})
    platform.set_mode(PlatformMode.SLOW, 0.01)
    empty = await rows.read(7)
    outcome = await rows.compare_and_set(empty, {A: 1})
    assert outcome is CommitOutcome.COMMITTED


async def test_last_report_counts(platform):
    # Guards against reporters that block each other after a change of role.
    confirmations = ConfirmationStore(platform)
    reports = [Confirmation('dc1', 7, (A,), name) for name in (A, B)]
    await asyncio.gather(*(confirmations.write(report) for report in reports))
    found = await confirmations.list_all()
    assert len(found) == 1
    assert found[0] in reports
