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

EMPTY = Sheet(0, {}, {}, {}, {})


async def test_draft_comes_into_force_once() -> None:
    # Guards against a new version, with a fetch by each node, for nothing.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    assert await store.accept(make_draft(), EMPTY) == AcceptResult(
        1, changed=True
    )
    sheet = await store.read_sheet()
    assert sheet.to_draft() == make_draft()
    objects = dict(platform.objects)
    assert not (await store.accept(sheet.to_draft(), sheet)).changed
    assert not (await store.accept(sheet.to_draft(), EMPTY)).changed
    assert (await store.read_sheet(), platform.objects) == (sheet, objects)


async def test_second_operator_gets_the_difference() -> None:
    # Guards against an operator who overwrites another's change unseen.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    await store.accept(make_draft(), EMPTY)
    base = await store.read_sheet()
    await store.accept(issue_key(base, 'shop', '1' * 64), base)
    with pytest.raises(SheetConflictError, match=r'key 1111.* added') as raised:
        await store.accept(issue_key(base, 'depot', '2' * 64), base)
    assert raised.value.code is ErrorCode.VERSION_CONFLICT
    assert '2' * 64 not in (await store.read_sheet()).organisation_by_digest


async def test_change_that_others_followed_is_known_as_made() -> None:
    # Guards against "version-conflict" for a change that was made, when its
    # answer is lost and another version follows before the head is read.
    platform = FakePlatform()
    store = ConfigStore(platform, platform)
    await store.accept(make_draft(), EMPTY)
    base = await store.read_sheet()

    class OvertakenPlatform(FakePlatform):
        async def commit(self, writes: Sequence[Write]) -> None:
            platform.apply(writes)
            sheet = await store.read_sheet()
            await store.accept(issue_key(sheet, 'shop', '2' * 64), sheet)
            raise OutcomeUnknownError('lost')

    overtaken = OvertakenPlatform()
    overtaken.rows, overtaken.objects = platform.rows, platform.objects
    outcome = await ConfigStore(overtaken, overtaken).accept(
        issue_key(base, 'shop', '1' * 64), base
    )
    assert outcome == AcceptResult(2, changed=True)
    sheet = await store.read_sheet()
    assert sheet.version == 3
    assert {'1' * 64, '2' * 64} <= set(sheet.organisation_by_digest)


async def test_outage_tells_whether_something_may_have_changed() -> None:
    # Guards against "nothing changed" after a write that may have been made.
    platform = FakePlatform(('unavailable',))
    store = ConfigStore(platform, platform)
    with pytest.raises(PlatformUnavailableError, match='nothing changed'):
        await store.accept(make_draft(), EMPTY)
    platform.write_results = ('lost',)
    with pytest.raises(PlatformUnavailableError, match='nothing changed'):
        await store.accept(make_draft(), EMPTY)
    assert not platform.rows
    platform.write_results = ('done',)
    platform.outage_after_commit = True
    with pytest.raises(OutcomeUnknownError, match='may be in force'):
        await store.accept(make_draft(), EMPTY)


async def test_rows_for_the_view_survive_bad_content() -> None:
    # Guards against one bad row that hides all others from operators.
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
    """Issues keys, and repeats each issue until its outcome is known."""

    def __init__(self, platform: FakePlatform, name: str) -> None:
        self.store = ConfigStore(platform, platform)
        self.name = name
        self.accepted: dict[str, int] = {}
        self.conflicts = 0

    async def issue(self, number: int) -> None:
        # Whether nothing but conflicts was reported until now.
        is_sure = True
        seed = f'{self.name} {number}'.encode()
        digest = hashlib.sha256(seed).hexdigest()
        for _ in range(400):
            try:
                sheet = await self.store.read_sheet()
                if digest in sheet.organisation_by_digest:
                    assert not is_sure, 'made, but reported as a conflict'
                    return
                draft = issue_key(sheet, 'shop', digest)
                outcome = await self.store.accept(draft, sheet)
            except SheetConflictError:
                self.conflicts += 1
            except PlatformUnavailableError:
                continue
            except OutcomeUnknownError:
                is_sure = False
            else:
                self.accepted[digest] = outcome.version
                return
        raise AssertionError('no outcome')


async def race(seed: int, fates: tuple[str, ...]) -> None:
    platform = FakePlatform()
    await ConfigStore(platform, platform).accept(make_draft(), EMPTY)
    platform.write_results, platform.rng = fates, type(platform.rng)(seed)
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
def test_racing_operators_lose_no_accepted_change(
    seed: int, fates: list[str]
) -> None:
    # Guards against a change that is overwritten, applied twice or reported
    # wrongly, for any interleaving and any lost answers.
    asyncio.run(race(seed, (*['done'] * 16, *fates)))
