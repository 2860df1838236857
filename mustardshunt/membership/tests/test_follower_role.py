"""Tests of which nodes of a data centre follow the platform's changes."""

import random

import pytest

from mustardshunt.base import rank_of
from mustardshunt.membership import FollowerRole
from mustardshunt.membership._follower_role import (
    DEPUTY_COUNT,
    REPORT_TIMEOUT_SECONDS,
    TAKEOVER_SECONDS,
    TAKEOVER_STEP_SECONDS,
)

STEP = 0.1


class DataCentre:
    """Roles of all nodes of a data centre, with reports between them."""

    def __init__(self, count: int, seed: int) -> None:
        source = random.Random(seed)
        self.now = 0.0
        self.names = [f'n{number}' for number in range(count)]
        self.roles = {
            name: FollowerRole(name, random.Random(source.random()), 0.0)
            for name in self.names
        }
        for role in self.roles.values():
            role.set_members(self.names)
        self.silent: set[str] = set()
        self.most_followers = 0
        self.starts = 0
        self._followers: set[str] = set()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            followers = self.followers()
            self.starts += len(followers - self._followers)
            self._followers = followers
            self.most_followers = max(self.most_followers, len(followers))
            for follower in followers:
                self._report(follower)

    def followers(self) -> set[str]:
        return {
            name
            for name, role in self.roles.items()
            if name not in self.silent and role.is_following(self.now)
        }

    def kill(self, name: str) -> None:
        self.silent.add(name)
        for role in self.roles.values():
            role.record_loss(name, self.now)

    def _report(self, follower: str) -> None:
        for name, role in self.roles.items():
            if name not in self.silent | {follower}:
                role.record_report(follower, self.now)


@pytest.mark.parametrize('count', [1, 6, 39, 134])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_one_node_follows_after_the_start(count: int, seed: int):
    """The calls to the platform must not grow with the number of nodes."""
    data_centre = DataCentre(count, seed)
    data_centre.run(5)
    assert len(data_centre.followers()) == 1
    # At the start, some nodes may begin within one step of each other.
    assert data_centre.starts <= 1 + count * STEP * 2


@pytest.mark.parametrize('seed', range(5))
def test_killed_follower_is_replaced_within_a_second(seed: int):
    """A change must not wait for a node that has ended.

    A configuration has to be in force within 2 s on the strictest deployment.
    """
    data_centre = DataCentre(39, seed)
    data_centre.run(5)
    first = next(iter(data_centre.followers()))
    data_centre.kill(first)
    data_centre.run(TAKEOVER_SECONDS + DEPUTY_COUNT * TAKEOVER_STEP_SECONDS)
    assert data_centre.followers()
    data_centre.run(3)
    assert len(data_centre.followers()) == 1


def test_silent_follower_is_replaced():
    """A frozen or unreachable follower must not hold changes back for long."""
    data_centre = DataCentre(39, 4)
    data_centre.run(5)
    data_centre.silent |= data_centre.followers()
    data_centre.run(REPORT_TIMEOUT_SECONDS + 1.0)
    assert data_centre.followers()


def test_two_followers_become_one():
    """Two nodes that both follow must not stay so, since each call costs."""
    data_centre = DataCentre(6, 1)
    data_centre.run(5)
    first = next(iter(data_centre.followers()))
    data_centre.silent.add(first)
    data_centre.run(6)
    data_centre.silent.clear()
    data_centre.run(2)
    followers = data_centre.followers()
    assert len(followers) == 1


def test_few_nodes_call_a_platform_that_is_down():
    """Nodes must not all call a platform that answers none of them.

    A follower that gets no answer reports nothing, so nobody hears of one.
    """
    names = [f'n{number}' for number in range(39)]
    following = 0
    for name in names:
        role = FollowerRole(name, random.Random(name), 0.0)
        role.set_members(names)
        role.record_report('x', 1.0)
        role.record_loss('x', 2.0)
        following += role.is_following(4.0)
    assert following == DEPUTY_COUNT


def test_rank_does_not_depend_on_the_other_nodes():
    """All nodes must agree on the order, whatever members they know."""
    assert sorted('abc', key=rank_of) == [
        name for name in sorted('abcd', key=rank_of) if name != 'd'
    ]


@pytest.mark.parametrize('seed', range(5))
def test_restarted_data_centre_reads_the_platform_soon(seed: int):
    """After the loss of all nodes, requests must not wait for a reader.

    Each node knows nothing when it starts. The first one must read the platform
    within 0.3 s, and most nodes must leave the reading to others.
    """
    source = random.Random(seed)
    roles = [
        FollowerRole(f'n{number}', random.Random(source.random()), 0.0)
        for number in range(40)
    ]
    assert any(role.is_following(0.3) for role in roles)
    assert sum(role.is_following(0.4) for role in roles) <= 20
