import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Incarnation, MustardshuntError
from mustardshunt.sheet import (
    PLATFORM_SOURCE,
    ActivateSheet,
    AnnounceHead,
    FetchSection,
    HeadReceived,
    Organisation,
    ReportRejectedHead,
    SectionArrived,
    Sheet,
    SheetHead,
    decode_head,
    digest_content,
    encode_head,
    join_sections,
    make_sheet_replica,
    split_sheet,
)
from mustardshunt.sheet.tests.examples import make_draft

PEER = Incarnation('peer')
VERSIONS = range(1, 5)


def make_version(version: int) -> tuple[SheetHead, dict[str, bytes]]:
    """Make a sheet in which several sections tell the version."""
    draft = make_draft()
    return split_sheet(
        replace(
            draft,
            organisation_by_name={
                **draft.organisation_by_name,
                'shop': Organisation('shop', version, version),
            },
            organisation_by_digest={f'{version}' * 64: 'shop'},
        ),
        version,
    )


def version_of_content(sheet: Sheet) -> set[int]:
    return {
        int(sheet.organisation_by_name['shop'].rate),
        *(int(digest[0]) for digest in sheet.organisation_by_digest),
    }


def test_split_and_join_agree() -> None:
    # Guards against a declaration that is lost on its way to the nodes.
    draft = make_draft()
    head, contents = split_sheet(draft, 3)
    assert (
        join_sections(decode_head(encode_head(head)), contents).to_draft()
        == draft
    )
    changed = split_sheet(replace(draft, state_by_data_centre={}), 4)[0]
    assert [
        section
        for section, digest in head.digest_by_section.items()
        if changed.digest_by_section[section] != digest
    ] == ['data-centres']


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'[]',
        b'{}',
        b'{"records":{"shop":7}}',
        b'{"records":{"shop":{"rate":"-1","burst":"1"}}}',
    ],
)
def test_bad_content_keeps_the_former_sheet(content: bytes) -> None:
    # Guards against a node that stops or serves half a sheet after a bad
    # version, and against a bad version that blocks the next one.
    registry = make_sheet_replica()
    head, contents = make_version(2)
    sections = {'organisations': digest_content(content)}
    bad = SheetHead(1, {**head.digest_by_section, **sections})
    registry.handle(HeadReceived(bad), 0)
    kinds: list[type] = []
    for piece in (*contents.values(), content):
        event = SectionArrived(digest_content(piece), piece)
        kinds.extend(map(type, registry.handle(event, 0)))
    assert kinds == [ReportRejectedHead]
    assert registry.sheet.version == 0
    assert not registry.handle(HeadReceived(bad), 9)
    registry.handle(HeadReceived(head), 9)
    for digest, piece in contents.items():
        registry.handle(SectionArrived(digest, piece), 9)
    assert registry.sheet.version == 2


def test_neighbour_without_the_content_is_passed_over() -> None:
    # Guards against a version that stays unfetched after one neighbour's
    # failure or lost answer.
    registry = make_sheet_replica()
    head, contents = make_version(1)
    asked = registry.handle(HeadReceived(head, PEER), 0)
    assert asked == [
        FetchSection(digest, PEER)
        for digest in dict.fromkeys(head.digest_by_section.values())
    ]
    digest = asked[0].digest
    assert registry.handle(SectionArrived(digest, b'other', PEER), 0) == [
        FetchSection(digest, PLATFORM_SOURCE)
    ]
    assert not registry.handle(HeadReceived(head), 0.5)
    assert len(registry.handle(HeadReceived(head), 1.5)) == len(contents)


def test_head_and_contents_must_agree() -> None:
    # Guards against a sheet without its keys, or with altered content that
    # the object store returned.
    head, contents = make_version(1)
    digest = head.digest_by_section['routes']
    with pytest.raises(MustardshuntError, match='not all sections'):
        join_sections(SheetHead(1, {'routes': digest}), contents)
    contents[digest] += b' '
    with pytest.raises(MustardshuntError, match='routes: content does not'):
        join_sections(head, contents)


class Session:
    """A registry whose fetches are answered in any order."""

    def __init__(self, seed: int) -> None:
        self.highest = 0
        self.registry = make_sheet_replica()
        self.rng = random.Random(seed)
        self.heads = {}
        self.contents: dict[str, bytes] = {}
        self.waiting: list[FetchSection] = []
        for version in VERSIONS:
            self.heads[version], contents = make_version(version)
            self.contents |= contents

    def feed(self, event: HeadReceived | SectionArrived, now: float) -> None:
        for action in self.registry.handle(event, now):
            if isinstance(action, FetchSection):
                self.waiting.append(action)
            if isinstance(action, ActivateSheet):
                assert action.sheet.version > self.highest
                self.highest = action.sheet.version
                assert version_of_content(action.sheet) == {self.highest}
            if isinstance(action, AnnounceHead):
                assert action.head == self.heads[self.highest]
        assert self.registry.sheet.version == self.highest

    def answer(self, fate: str, now: float) -> None:
        self.rng.shuffle(self.waiting)
        ask = self.waiting.pop()
        content: bytes | None = self.contents[ask.digest]
        if fate == 'corrupt':
            content = self.rng.choice((None, b'{}'))
        repeats = {'lose': 0, 'twice': 2}.get(fate, 1)
        for _ in range(repeats):
            self.feed(SectionArrived(ask.digest, content, ask.source), now)


STEPS = st.tuples(
    st.sampled_from(VERSIONS),
    st.sampled_from(('keep', 'lose', 'twice', 'corrupt')),
    st.integers(0, 30),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=60), st.integers(0, 1 << 30))
def test_any_order_never_lowers_and_never_mixes(
    script: list[tuple[int, str, int]], seed: int
) -> None:
    # Guards against a lower version after a higher one, and against sections
    # of two versions in one sheet, for any order, loss and repeat.
    session = Session(seed)
    for step, (version, fate, answers) in enumerate(script):
        source = session.rng.choice((PEER, PLATFORM_SOURCE))
        session.feed(HeadReceived(session.heads[version], source), step / 4)
        for _ in range(min(answers, len(session.waiting))):
            session.answer(fate, step / 4)
    # Once nothing is lost any more, the highest head comes into force.
    session.waiting.clear()
    session.feed(HeadReceived(session.heads[VERSIONS[-1]]), 1000)
    while session.waiting:
        session.answer('keep', 1000)
    assert session.highest == VERSIONS[-1]
