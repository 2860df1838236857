"""Tests the sections of a sheet and the choice of the active version.

A sheet version is stored as a head (its number and the digests of its sections)
and as sections.
"""

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
    """Return the head and sections of a sheet whose values show its version.

    The rate, the burst and the digest of the key each contain the version
    number. A test can therefore detect a sheet with sections of two versions.
    """
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


def versions_in(sheet: Sheet) -> set[int]:
    return {
        int(sheet.organisation_by_name['shop'].rate),
        *(int(digest[0]) for digest in sheet.organisation_by_digest),
    }


def test_joined_sections_equal_the_split_sheet() -> None:
    # A sheet that is split into sections and joined again must be the same. A
    # change of one record must change only the section of that record.
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
def test_invalid_content_keeps_the_former_sheet(content: bytes) -> None:
    # An invalid sheet version must be rejected as a whole. The node must keep
    # the earlier version and still accept the next valid version.
    replica = make_sheet_replica()
    head, contents = make_version(2)
    sections = {'organisations': digest_content(content)}
    invalid_head = SheetHead(1, {**head.digest_by_section, **sections})
    replica.handle(HeadReceived(invalid_head), 0)
    action_types: list[type] = []
    for section_content in (*contents.values(), content):
        event = SectionArrived(digest_content(section_content), section_content)
        action_types.extend(map(type, replica.handle(event, 0)))
    assert action_types == [ReportRejectedHead]
    assert replica.sheet.version == 0
    assert not replica.handle(HeadReceived(invalid_head), 9)
    replica.handle(HeadReceived(head), 9)
    for digest, section_content in contents.items():
        replica.handle(SectionArrived(digest, section_content), 9)
    assert replica.sheet.version == 2


def test_section_is_fetched_elsewhere_after_a_failed_neighbour() -> None:
    # When a neighbour lacks a section, or when the neighbour's answer is lost,
    # the section must be requested elsewhere. Otherwise, this node would never
    # get the sheet version.
    replica = make_sheet_replica()
    head, contents = make_version(1)
    fetches = replica.handle(HeadReceived(head, PEER), 0)
    assert fetches == [
        FetchSection(digest, PEER)
        for digest in dict.fromkeys(head.digest_by_section.values())
    ]
    digest = fetches[0].digest
    assert replica.handle(SectionArrived(digest, b'other', PEER), 0) == [
        FetchSection(digest, PLATFORM_SOURCE)
    ]
    assert not replica.handle(HeadReceived(head), 0.5)
    assert len(replica.handle(HeadReceived(head), 1.5)) == len(contents)


def test_head_and_contents_must_agree() -> None:
    # A sheet must not be built when the head does not list all sections, or
    # when the content of a section does not match the digest in the head.
    head, contents = make_version(1)
    digest = head.digest_by_section['routes']
    with pytest.raises(MustardshuntError, match='not all sections'):
        join_sections(SheetHead(1, {'routes': digest}), contents)
    contents[digest] += b' '
    with pytest.raises(MustardshuntError, match='routes: content does not'):
        join_sections(head, contents)


class Session:
    """Simulates a sheet replica that gets answers in any order.

    After each event, the session checks two conditions: the active version has
    not decreased, and all sections of the sheet have the same version.
    """

    def __init__(self, seed: int) -> None:
        self.highest = 0
        self.replica = make_sheet_replica()
        self.random_source = random.Random(seed)
        self.heads = {}
        self.contents: dict[str, bytes] = {}
        self.pending_fetches: list[FetchSection] = []
        for version in VERSIONS:
            self.heads[version], contents = make_version(version)
            self.contents |= contents

    def handle(self, event: HeadReceived | SectionArrived, now: float) -> None:
        for action in self.replica.handle(event, now):
            if isinstance(action, FetchSection):
                self.pending_fetches.append(action)
            if isinstance(action, ActivateSheet):
                assert action.sheet.version > self.highest
                self.highest = action.sheet.version
                assert versions_in(action.sheet) == {self.highest}
            if isinstance(action, AnnounceHead):
                assert action.head == self.heads[self.highest]
        assert self.replica.sheet.version == self.highest

    def answer(self, fault: str, now: float) -> None:
        self.random_source.shuffle(self.pending_fetches)
        fetch = self.pending_fetches.pop()
        content: bytes | None = self.contents[fetch.digest]
        if fault == 'corrupt':
            content = self.random_source.choice((None, b'{}'))
        repeats = {'lose': 0, 'twice': 2}.get(fault, 1)
        for _ in range(repeats):
            self.handle(
                SectionArrived(fetch.digest, content, fetch.source), now
            )


STEPS = st.tuples(
    st.sampled_from(VERSIONS),
    st.sampled_from(('none', 'lose', 'twice', 'corrupt')),
    st.integers(0, 30),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=60), st.integers(0, 1 << 30))
def test_replica_never_lowers_or_mixes_versions(
    steps: list[tuple[int, str, int]], seed: int
) -> None:
    # The active version must never decrease, and a sheet must never have
    # sections of two versions. The test delivers heads and sections in any
    # order; some are lost, repeated or corrupt.
    session = Session(seed)
    for step, (version, fault, answers) in enumerate(steps):
        source = session.random_source.choice((PEER, PLATFORM_SOURCE))
        session.handle(HeadReceived(session.heads[version], source), step / 4)
        for _ in range(min(answers, len(session.pending_fetches))):
            session.answer(fault, step / 4)
    # When nothing more is lost, the highest version must become active.
    session.pending_fetches.clear()
    session.handle(HeadReceived(session.heads[VERSIONS[-1]]), 1000)
    while session.pending_fetches:
        session.answer('none', 1000)
    assert session.highest == VERSIONS[-1]
