"""What a node tells its neighbours of the configuration again and again."""

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

NEIGHBOURS = [Incarnation('told'), Incarnation('behind')]


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


def hear(sync, peer, version):
    link = SimpleNamespace(incarnation=peer)
    sync.handle_head(link, SheetHead(version, {}))


def test_the_whole_head_goes_to_neighbours_that_lack_it():
    """Guards against 1.4 KB for each neighbour every 2 s."""
    sent = []
    head, sync = make_sync(sent)
    hear(sync, NEIGHBOURS[0], 2)
    for _ in range(5):
        sync.announce_version()
    version_alone = SheetHead(2, {})
    assert sent.count((NEIGHBOURS[1], head)) == 5
    assert [item for item in sent if item[0] == NEIGHBOURS[0]] == [
        (NEIGHBOURS[0], version_alone),
    ]


def test_a_neighbour_that_left_is_told_the_whole_head():
    """Guards against trusting what a peer said over an earlier link."""
    sent = []
    head, sync = make_sync(sent)
    hear(sync, Incarnation('away'), 2)
    sync.announce_version()
    NEIGHBOURS.append(Incarnation('away'))
    try:
        sync.announce_version()
    finally:
        NEIGHBOURS.pop()
    assert (Incarnation('away'), head) in sent


def test_what_peers_say_does_not_make_the_version_young():
    """Guards against a data centre that is cut off and agrees with itself.

    Its age would stay low, and operators would not see that a revoked key
    still works there.
    """
    _, sync = make_sync([])
    assert sync.seconds_since_confirmed == float('inf')
    hear(sync, NEIGHBOURS[0], 2)
    assert sync.seconds_since_confirmed == float('inf')
