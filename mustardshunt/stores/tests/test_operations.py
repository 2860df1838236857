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
    # A lost answer to the renewal of a lease must not count as a failure.
    # Otherwise the node would give up its shares although its lease is valid.
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
    # After an operator has declared a VM gone, the VM's node must get a
    # conflict when it renews its lease, even if an answer is lost. Otherwise
    # two nodes would hold the same share.
    lease = await registry.write(RECORD)
    platform.lose_answers(1)
    await registry.delete(lease)
    for lost in (0, 1):
        platform.lose_answers(lost)
        with pytest.raises(ConflictError):
            await registry.renew(lease)
    assert await registry.read(A) is None


async def test_renewed_lease_is_not_deleted(registry):
    # A registration must not be deleted if its lease was renewed after it was
    # read: the node is alive.
    old_lease = await registry.write(RECORD)
    await registry.renew(old_lease)
    with pytest.raises(ConflictError):
        await registry.delete(old_lease)
    assert await registry.read(A) is not None


async def test_one_of_two_racing_share_writes_takes_effect(
    platform, share_rows
):
    # Two nodes write the same shares, and both answers are lost. Only the node
    # whose write took effect may report success. If both did, the shares in use
    # would sum to more than 1,000,000 ppm.
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
    # The outcome must be unknown while a delayed write can still take effect.
    # Otherwise a node would take back a share that is then transferred.
    empty = await share_rows.read(7)
    platform.hold_writes(3)
    outcome = await share_rows.compare_and_set(empty, {A: 1})
    assert outcome is CommitOutcome.UNKNOWN
    platform.release_held()
    assert (await share_rows.read(7)).share_by_holder == {A: 1}


async def test_late_copy_of_a_share_write_has_no_effect(platform, share_rows):
    # When the first copy of a write arrives late, the second copy must succeed
    # and the first must have no effect. Otherwise the change would be given up
    # or applied twice.
    await share_rows.compare_and_set(await share_rows.read(7), {A: 1})
    platform.hold_writes(1)
    outcome = await share_rows.compare_and_set(await share_rows.read(7), {A: 2})
    assert outcome is CommitOutcome.COMMITTED
    platform.release_held()
    found = await share_rows.read(7)
    assert (found.version, found.share_by_holder) == (2, {A: 2})


async def test_share_write_followed_by_another_is_unknown(platform, share_rows):
    # The answer to a write is lost, and another write follows before the row is
    # read. The outcome must be unknown. A conflict would be incorrect, since
    # the first write took effect.
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
    # An outage must be reported as such, and not as a conflict or a missing
    # row. A slow answer must not be reported as an outage.
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
    # While a data centre changes its reporter, two nodes write the same report
    # row. Both writes must succeed, and the row must hold one of the reports.
    # Otherwise the two nodes would block each other.
    confirmations = ConfirmationStore(platform)
    reports = [Confirmation('dc1', 7, (A,), name) for name in (A, B)]
    await asyncio.gather(*(confirmations.write(report) for report in reports))
    found = await confirmations.list_all()
    assert len(found) == 1
    assert found[0] in reports
