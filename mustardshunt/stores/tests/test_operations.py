"""Tests of registrations, share rows and confirmations."""

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
def share_rows(platform):
    return ShareRowStore(platform, A)


async def test_lease_is_renewed_when_answers_are_lost(platform, registry):
    # Guards against a node that gives up its shares because the answer to the
    # renewal of its lease was lost.
    platform.lose_answers(1)
    lease = await registry.write(RECORD)
    platform.lose_answers(1)
    lease = await registry.renew(lease, replace(RECORD, service='order'))
    assert await registry.read(A) == lease
    assert (lease.version, lease.record.service) == (2, 'order')
    await registry.write(replace(RECORD, incarnation=B, data_centre='dc2'))
    assert await registry.list_data_centre('dc1') == [lease]
    assert len(await registry.list_all()) == 2


async def test_deleted_registration_is_not_renewed(platform, registry):
    # Guards against two holders of one share after an operator has declared a
    # VM gone: its node must get a conflict when it renews the lease, also when
    # an answer is lost.
    lease = await registry.write(RECORD)
    platform.lose_answers(1)
    await registry.delete(lease)
    for lost in (0, 1):
        platform.lose_answers(lost)
        with pytest.raises(ConflictError):
            await registry.renew(lease)
    assert await registry.read(A) is None


async def test_renewed_lease_is_not_deleted(registry):
    # Guards against the deletion of a live node whose lease was renewed after
    # it was read.
    old_lease = await registry.write(RECORD)
    await registry.renew(old_lease)
    with pytest.raises(ConflictError):
        await registry.delete(old_lease)
    assert await registry.read(A) is not None


async def test_one_of_two_racing_share_writes_takes_effect(
    platform, share_rows
):
    # Guards against shares that sum to more than 1,000,000 ppm: two nodes write
    # the same shares, both answers are lost, and each could take the row for
    # its own.
    empty = await share_rows.read(7)
    platform.lose_answers(2)
    outcomes = await asyncio.gather(
        share_rows.compare_and_set(empty, {A: 1_000_000}),
        ShareRowStore(platform, B).compare_and_set(empty, {A: 1_000_000}),
    )
    assert sorted(outcomes) == ['committed', 'conflict']
    found = await share_rows.read(7)
    assert (found.version, found.share_by_holder) == (1, {A: 1_000_000})
    with pytest.raises(ParameterError, match='sum of the shares is 1000001'):
        await share_rows.compare_and_set(found, {A: 1_000_000, B: 1})


async def test_share_write_that_may_take_effect_late_is_unknown(
    platform, share_rows
):
    # Guards against a holder that takes its share back while the delayed write
    # of the transfer can still take effect.
    empty = await share_rows.read(7)
    platform.hold_writes(3)
    outcome = await share_rows.compare_and_set(empty, {A: 1})
    assert outcome is CommitOutcome.UNKNOWN
    platform.release_held()
    assert (await share_rows.read(7)).share_by_holder == {A: 1}


async def test_late_copy_of_a_share_write_has_no_effect(platform, share_rows):
    # Guards against a change that is given up or applied twice when the first
    # copy of its write arrives late.
    await share_rows.compare_and_set(await share_rows.read(7), {A: 1})
    platform.hold_writes(1)
    outcome = await share_rows.compare_and_set(await share_rows.read(7), {A: 2})
    assert outcome is CommitOutcome.COMMITTED
    platform.release_held()
    found = await share_rows.read(7)
    assert (found.version, found.share_by_holder) == (2, {A: 2})


async def test_share_write_followed_by_another_is_unknown(platform, share_rows):
    # Guards against a conflict that is reported for a change that took effect,
    # when its answer is lost and a later write follows before the row is read.
    empty = await share_rows.read(7)

    class _TableWithLaterWrite:
        async def commit(self, writes):
            await platform.commit(writes)
            await platform.commit([Write('shares/7', 1, '{"parts": {}}')])
            raise OutcomeUnknownError('answer lost')

        read_row = platform.read_row

    outcome = await ShareRowStore(_TableWithLaterWrite(), A).compare_and_set(
        empty, {A: 1}
    )
    assert outcome is CommitOutcome.UNKNOWN


async def test_outage_is_reported_as_unavailable(
    platform, registry, share_rows
):
    # Guards against an outage that is taken for a conflict or a missing row,
    # and against a slow answer that is taken for an outage.
    platform.set_mode(PlatformMode.DOWN)
    with pytest.raises(PlatformUnavailableError):
        await registry.write(RECORD)
    with pytest.raises(PlatformUnavailableError):
        await share_rows.read(7)
    with pytest.raises(PlatformUnavailableError):
        await share_rows.compare_and_set(StoredShareRow(7, 0, {}), {A: 1})
    platform.set_mode(PlatformMode.SLOW, 0.01)
    empty = await share_rows.read(7)
    outcome = await share_rows.compare_and_set(empty, {A: 1})
    assert outcome is CommitOutcome.COMMITTED


async def test_later_confirmation_replaces_an_earlier_one(platform):
    # Guards against two nodes that block each other's reports while their data
    # centre changes its reporter.
    confirmations = ConfirmationStore(platform)
    reports = [Confirmation('dc1', 7, (A,), name) for name in (A, B)]
    await asyncio.gather(*(confirmations.write(report) for report in reports))
    found = await confirmations.list_all()
    assert len(found) == 1
    assert found[0] in reports
