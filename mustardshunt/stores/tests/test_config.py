"""Tests that accept sheets and read the rows that operators see."""

import asyncio
import hashlib
import json
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import ErrorCode, Incarnation, MustardshuntError
from mustardshunt.sheet import Sheet, decode_head, issue_key
from mustardshunt.sheet.tests.examples import make_draft
from mustardshunt.stores import (
    AcceptResult,
    ConfigStore,
    Confirmation,
    ConfirmationStore,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    SheetConflictError,
    VmView,
    Write,
)
from mustardshunt.stores.tests.fake_platform import FakePlatform

EMPTY_SHEET = Sheet(0, {}, {}, {}, {})


async def test_unchanged_draft_makes_no_new_version() -> None:
    # When an operator accepts a draft that equals the active sheet, no new
    # version may be made: each node would have to fetch that version.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    assert await store.accept(make_draft(), EMPTY_SHEET) == AcceptResult(
        1, changed=True
    )
    sheet = await store.read_sheet()
    assert sheet.to_draft() == make_draft()
    objects = dict(platform.objects)
    assert not (await store.accept(sheet.to_draft(), sheet)).changed
    assert not (await store.accept(sheet.to_draft(), EMPTY_SHEET)).changed
    assert (await store.read_sheet(), platform.objects) == (sheet, objects)


async def test_draft_from_an_old_version_is_rejected_with_the_changes() -> None:
    # A draft must be rejected when another operator's change became active
    # after the draft was made. Otherwise the draft would undo that change.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    await store.accept(make_draft(), EMPTY_SHEET)
    base = await store.read_sheet()
    await store.accept(issue_key(base, 'shop', '1' * 64), base)
    with pytest.raises(SheetConflictError, match=r'key 1111.* added') as raised:
        await store.accept(issue_key(base, 'depot', '2' * 64), base)
    assert raised.value.code is ErrorCode.VERSION_CONFLICT
    assert '2' * 64 not in (await store.read_sheet()).organisation_by_digest


async def test_unanswered_commit_is_found_after_a_later_version() -> None:
    # The answer to a commit is lost, and another version follows before the
    # head is read. The command must report success, since the change was
    # committed, and not a version conflict.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    await store.accept(make_draft(), EMPTY_SHEET)
    base = await store.read_sheet()

    class PlatformWithLaterVersion(FakePlatform):
        async def commit(self, writes: Sequence[Write]) -> None:
            platform.apply(writes)
            sheet = await store.read_sheet()
            await store.accept(issue_key(sheet, 'shop', '2' * 64), sheet)
            raise OutcomeUnknownError('answer lost')

    faulty_platform = PlatformWithLaterVersion()
    faulty_platform.rows, faulty_platform.objects = (
        platform.rows,
        platform.objects,
    )
    outcome = await ConfigStore(faulty_platform, faulty_platform).accept(
        issue_key(base, 'shop', '1' * 64), base
    )
    assert outcome == AcceptResult(2, changed=True)
    sheet = await store.read_sheet()
    assert sheet.version == 3
    assert {'1' * 64, '2' * 64} <= set(sheet.organisation_by_digest)


async def test_outage_error_says_whether_the_draft_may_be_in_force() -> None:
    # The error may say "nothing changed" only if that is certain. After a
    # commit that may have taken effect, an operator would be misled.
    platform = FakePlatform(('unavailable',))
    store = ConfigStore(platform, platform)
    with pytest.raises(PlatformUnavailableError, match='nothing changed'):
        await store.accept(make_draft(), EMPTY_SHEET)
    platform.write_results = ('lost',)
    with pytest.raises(PlatformUnavailableError, match='nothing changed'):
        await store.accept(make_draft(), EMPTY_SHEET)
    assert not platform.rows
    platform.write_results = ('done',)
    platform.outage_after_commit = True
    with pytest.raises(OutcomeUnknownError, match='may be in force'):
        await store.accept(make_draft(), EMPTY_SHEET)


async def test_malformed_row_does_not_hide_the_others() -> None:
    # Operators must still see all other rows when one row is malformed.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    confirmations = ConfirmationStore(platform)
    await confirmations.write(Confirmation('north', 3, ('a',)))
    await confirmations.write(Confirmation('north', 4))
    platform.rows['confirm/south'] = Row('confirm/south', 1, '[')
    assert await store.list_confirmations() == [
        Confirmation('north', 4),
        Confirmation('south', 0),
    ]
    platform.rows['vm/vm-a1'] = Row(
        'vm/vm-a1', 1, json.dumps({'state': 'ready'})
    )
    with pytest.raises(MustardshuntError, match="did you mean 'vm-a1'"):
        await store.declare_gone('vm-a2')
    assert await store.declare_gone('vm-a1')
    assert not await store.declare_gone('vm-a1')
    assert await store.list_vms() == [
        VmView(Incarnation('vm-a1'), {'state': 'ready'}, is_gone=True)
    ]


class Operator:
    """Operator that issues API keys.

    A command is repeated until its outcome is known.
    """

    def __init__(self, platform: FakePlatform, name: str) -> None:
        self.store = ConfigStore(platform, platform)
        self.name = name
        self.accepted: dict[str, int] = {}
        self.conflicts = 0

    async def issue(self, number: int) -> None:
        # Set to False by an error that leaves the outcome unknown.
        is_outcome_known = True
        text = f'{self.name} {number}'.encode()
        digest = hashlib.sha256(text).hexdigest()
        for _ in range(400):
            try:
                sheet = await self.store.read_sheet()
                if digest in sheet.organisation_by_digest:
                    assert not is_outcome_known, (
                        'committed, but reported as a conflict'
                    )
                    return
                draft = issue_key(sheet, 'shop', digest)
                outcome = await self.store.accept(draft, sheet)
            except SheetConflictError:
                self.conflicts += 1
            except PlatformUnavailableError:
                continue
            except OutcomeUnknownError:
                is_outcome_known = False
            else:
                self.accepted[digest] = outcome.version
                return
        raise AssertionError('outcome still unknown after 400 attempts')


async def run_racing_operators(
    seed: int, write_results: tuple[str, ...]
) -> None:
    platform = FakePlatform()
    await ConfigStore(platform, platform).accept(make_draft(), EMPTY_SHEET)
    platform.write_results, platform.rng = (
        write_results,
        type(platform.rng)(seed),
    )
    operators = [Operator(platform, name) for name in 'abc']

    async def run(operator: Operator) -> None:
        for number in range(3):
            await operator.issue(number)

    await asyncio.gather(*map(run, operators))
    platform.write_results = ('done',)
    sheet = await operators[0].store.read_sheet()
    heads = [
        decode_head(write.content or '')
        for writes in platform.commits
        for write in writes
        if write.key == 'config/head'
    ]
    assert [head.version for head in heads] == list(range(1, 11))
    assert sheet.version == 10
    for operator in operators:
        for digest, version in operator.accepted.items():
            assert digest in sheet.organisation_by_digest
            section = f'keys-{digest[0]}'
            content = platform.objects[
                f'sections/{heads[version - 1].digest_by_section[section]}'
            ]
            assert digest in content.decode()


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.integers(0, 1 << 30),
    st.lists(
        st.sampled_from(('lost', 'dropped', 'late', 'unavailable')),
        max_size=4,
    ),
)
def test_racing_operators_do_not_lose_accepted_changes(
    seed: int, faults: list[str]
) -> None:
    # Each change must be committed once, stay in the sheet and be reported with
    # its true outcome. Interleaved commits of three operators and lost answers
    # could break this.
    asyncio.run(run_racing_operators(seed, (*['done'] * 16, *faults)))
