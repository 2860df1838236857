"""Tests of the announcements of the active sheet version to neighbours."""

import random
from types import SimpleNamespace

from mustardshunt.base import Incarnation
from mustardshunt.node._config_sync import ConfigSync
from mustardshunt.sheet import (
    HeadReceived,
    SectionArrived,
    SheetHead,
    make_sheet_replica,
    split_sheet,
)
from mustardshunt.sheet.tests.examples import make_draft

NEIGHBOURS = [Incarnation('current'), Incarnation('lagging')]


def make_sync(sent):
    registry = make_sheet_replica()
    head, content_by_digest = split_sheet(make_draft(), 2)
    registry.handle(HeadReceived(head), 0.0)
    for digest, content in content_by_digest.items():
        registry.handle(SectionArrived(digest, content), 0.0)
    assert registry.head == head
    return head, ConfigSync(
        registry,
        None,
        lambda peer, frame: sent.append((peer, frame)),
        lambda frame: None,
        lambda: NEIGHBOURS,
        None,
        SimpleNamespace(now=float),
        random.Random(1),
    )


def receive_version(sync, peer, version):
    link = SimpleNamespace(incarnation=peer)
    sync.handle_head(link, SheetHead(version, {}))


def test_only_lagging_neighbours_get_the_whole_head():
    """A neighbour with the active version must get only the version number.

    This neighbour gets the number once in five announcements. If the whole head
    were sent each time, each neighbour would cause 1.4 KB of traffic every 2 s.
    A lagging neighbour gets the head each time.
    """
    sent = []
    head, sync = make_sync(sent)
    receive_version(sync, NEIGHBOURS[0], 2)
    for _ in range(5):
        sync.announce_version()
    version_alone = SheetHead(2, {})
    assert sent.count((NEIGHBOURS[1], head)) == 5
    assert [item for item in sent if item[0] == NEIGHBOURS[0]] == [
        (NEIGHBOURS[0], version_alone),
    ]


def test_neighbour_that_returns_gets_the_whole_head():
    """A neighbour that returns must get the head again.

    The version that the neighbour announced over an earlier link may no longer
    be its version. If that announcement still counted, the neighbour might
    never get the head.
    """
    sent = []
    head, sync = make_sync(sent)
    receive_version(sync, Incarnation('returning'), 2)
    sync.announce_version()
    NEIGHBOURS.append(Incarnation('returning'))
    try:
        sync.announce_version()
    finally:
        NEIGHBOURS.pop()
    assert (Incarnation('returning'), head) in sent


def test_announcements_of_peers_do_not_confirm_the_version():
    """Only reads from the platform may reset the age of the version.

    In a data centre that is cut off from the platform, the nodes announce the
    same old version to each other. If announcements reset the age, operators
    would not see that a revoked key still works there.
    """
    _, sync = make_sync([])
    assert sync.seconds_since_confirmed == float('inf')
    receive_version(sync, NEIGHBOURS[0], 2)
    assert sync.seconds_since_confirmed == float('inf')
