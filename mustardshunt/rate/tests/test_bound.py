"""Tests that faults never let more calls through than the limits allow.

In any interval, at most burst + rate x duration calls of an organisation may be
admitted over all nodes.
"""

import random
from functools import partial

import pytest
from hypothesis import given, settings, strategies

from mustardshunt.rate import (
    _account,
    _events,
    _holder,
    _refiller,
    _token_bucket,
)
from mustardshunt.rate._simulated_table_tasks import (
    declare_gone,
    start_table_tasks,
)
from mustardshunt.rate._simulation import FleetSimulation
from mustardshunt.sheet import Organisation

ORGANISATIONS = (
    Organisation('tiny', 1, 2),
    Organisation('small', 4, 5),
    Organisation('large', 40, 80),
)
LEASE_SECONDS = 6.0
DATA_CENTRES = ('east', 'north', 'west')


class RandomFaults:
    """Fault model that loses, repeats and delays messages and writes."""

    def __init__(self, rng):
        self.rng = rng
        # Percentages of lost, repeated and slow messages. Some runs have low
        # values, because buckets become full only when there are few faults.
        self.lost_percent = rng.choice((0, 0, 3, 10))
        self.repeated_percent = rng.choice((0, 10, 50))
        self.slow_percent = rng.choice((0, 0, 3, 10))
        self.loses_replies = False

    def is_drawn(self, percent):
        return self.rng.randrange(100) < percent

    def delay(self):
        longest = 4 if self.is_drawn(self.slow_percent) else 0.02
        return self.rng.uniform(0, longest)

    def deliver(self, sender, receiver):
        if self.is_drawn(self.lost_percent):
            return ()
        copies = 2 if self.is_drawn(self.repeated_percent) else 1
        return tuple(self.delay() for _ in range(copies))

    def commit(self):
        is_lost = self.loses_replies or self.is_drawn(self.lost_percent)
        return (
            None if self.is_drawn(self.lost_percent) else self.delay(),
            None if is_lost else self.delay(),
        )


class BoundCheck:
    """Checks the number of admitted calls in each time window.

    Windows that end at an admitted call suffice, because the number of calls
    rises only there.
    """

    def __init__(self):
        self.admitted_by_name = {one.name: 0 for one in ORGANISATIONS}
        self.refused_count = 0
        self._lowest = {}

    def admitted(self, organisation, now):
        limits = next(o for o in ORGANISATIONS if o.name == organisation)
        before = self.admitted_by_name[organisation]
        self.admitted_by_name[organisation] = before + 1
        # Of all windows that end now, only one is checked: the window that
        # starts where count - rate x time was lowest. In no other window can
        # the admitted calls be further above rate x time + burst.
        start = before - limits.rate * now
        lowest = min(self._lowest.get(organisation, start), start)
        self._lowest[organisation] = lowest
        excess = before + 1 - limits.rate * now - lowest - limits.burst
        assert excess * 1_000_000 <= 1, (organisation, now, excess)

    def refused(self, action, now):
        self.refused_count += 1

    def handled(self, node, event, actions, now):
        """Checks nothing, because only admitted calls are counted."""


class Scenario:
    """Simulation of eight nodes with random faults."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.check = BoundCheck()
        self.simulation = FleetSimulation(
            RandomFaults(self.rng), self.check, LEASE_SECONDS, 5.0
        )
        self.simulation.set_rates(ORGANISATIONS)
        self.started_count = 0
        for index in range(8):
            self.start(DATA_CENTRES[index % 3])

    def start(self, data_centre):
        self.started_count += 1
        offset = self.rng.uniform(0, 1000)
        name = f'n{self.started_count}'
        node = self.simulation.start_node(name, data_centre, offset)
        start_table_tasks(self.simulation, node, 0.3)
        return node

    def run(self, seconds):
        all_faults = (
            self.crash_and_restart, self.replace_vm, self.pause,
            self.toggle_partition, self.toggle_out_of_service, self.stop_node,
            self.toggle_platform, self.lose_vm, self.toggle_table_access,
            self.hand_over_without_reply,
        )  # fmt: skip
        frequent_faults = self.rng.sample(all_faults, 3)
        # Before the first fault, share rows are created and buckets fill.
        self.advance(6)
        while self.simulation.now < seconds:
            self.rng.choice(frequent_faults)()
            self.advance(self.rng.choice((0.5, 3, 5, 16)))
            paused = self.call_and_pause()
            self.rng.choice((
                *frequent_faults,
                self.toggle_out_of_service,
                self.toggle_out_of_service,
            ))()
            self.advance(self.rng.choice((0, 0.5, 1.8, 1.9, 3)))
            self.call_all_nodes(self.rng.choice(ORGANISATIONS))
            for node in paused:
                self.resume(node)
            self.advance(self.rng.choice((0, 0.02, 0.2)))
            self.call_all_nodes(self.rng.choice(ORGANISATIONS))
        return self.check

    def restore(self):
        """End all faults and run until shares are reclaimed and usable."""
        self.simulation.partitioned_data_centres.clear()
        self.simulation.data_centres_without_table.clear()
        self.simulation.out_of_service = frozenset()
        self.simulation.table.is_up = True
        self.simulation.faults.lost_percent = 0
        self.simulation.faults.slow_percent = 0
        self.start('east')
        self.advance(40)

    def advance(self, seconds):
        self.simulation.run_until(self.simulation.now + seconds)

    def call_and_pause(self):
        """Send calls, then pause nodes while grants may be in flight."""
        nodes = [
            one for one in self.simulation.live_nodes() if not one.is_paused
        ]
        count = self.rng.choice((0, 1, 1, 3))
        chosen = self.rng.sample(nodes, min(len(nodes), count))
        for organisation in ORGANISATIONS:
            for node in chosen:
                for _ in range(int(organisation.burst)):
                    self.simulation.call(node, organisation.name)
        self.advance(self.rng.choice((0, 0.01, 0.03)))
        for node in chosen:
            self.simulation.pause(node)
        return chosen

    def call_all_nodes(self, organisation):
        for node in self.simulation.live_nodes():
            for _ in range(int(organisation.burst / 2)):
                self.simulation.call(node, organisation.name)

    def pick_running_node(self):
        nodes = [
            one for one in self.simulation.live_nodes() if not one.is_paused
        ]
        return self.rng.choice(nodes) if len(nodes) > 4 else None

    def crash_and_restart(self):
        node = self.pick_running_node()
        if node is None:
            return
        node.is_alive = False
        successor = self.start(node.data_centre)
        delay = self.rng.uniform(0, 2)
        self.simulation.schedule(
            delay,
            partial(declare_gone, self.simulation, node.name, successor.name),
        )

    def replace_vm(self):
        node = self.pick_running_node()
        if node is None:
            return
        node.is_alive = False
        self.start(node.data_centre)
        self.simulation.schedule(
            self.rng.uniform(0, 3),
            partial(declare_gone, self.simulation, node.name),
        )

    def lose_vm(self):
        """Stop a VM; other nodes detect this only when the lease expires."""
        node = self.pick_running_node()
        if node is not None:
            node.is_alive = False
            self.start(node.data_centre)

    def pause(self):
        node = self.pick_running_node()
        if node is not None:
            self.simulation.pause(node)
            delay = self.rng.choice((0.3, 2.2, 3, 30))
            self.simulation.schedule(delay, partial(self.resume, node))

    def resume(self, node):
        """Resume a node; new calls are handled before the delayed events."""
        calls = [
            partial(self.simulation.call, node, organisation.name)
            for organisation in ORGANISATIONS
            for _ in range(int(organisation.burst))
        ]
        node.backlog = calls + node.backlog
        self.simulation.resume(node)

    def toggle_partition(self):
        self.simulation.partitioned_data_centres ^= {
            self.rng.choice(DATA_CENTRES)
        }

    def toggle_out_of_service(self):
        self.simulation.out_of_service ^= {self.rng.choice(DATA_CENTRES)}

    def stop_node(self):
        node = self.pick_running_node()
        if node is not None:
            node.is_stopping = True
            self.start(node.data_centre)

    def toggle_table_access(self):
        self.simulation.data_centres_without_table ^= {
            self.rng.choice(DATA_CENTRES)
        }
        # 18 s suffice for the other nodes to reclaim the shares of the nodes
        # that cannot reach the table.
        self.advance(self.rng.choice((0, 18)))
        self.call_all_nodes(self.rng.choice(ORGANISATIONS))

    def hand_over_without_reply(self):
        """Let a data centre hand over its shares without getting replies."""
        name = self.rng.choice(DATA_CENTRES)
        self.simulation.out_of_service = frozenset((name,))
        self.simulation.faults.loses_replies = True
        self.advance(0.31)
        self.simulation.data_centres_without_table = {name}
        self.simulation.faults.loses_replies = False
        # The new holders already use the shares, while the leases of the former
        # holders are still valid.
        self.advance(4.7)
        self.call_all_nodes(self.rng.choice(ORGANISATIONS))

    def toggle_platform(self):
        self.simulation.table.is_up = not self.simulation.table.is_up


@settings(derandomize=True, max_examples=30, deadline=None, database=None)
@given(strategies.integers(0, 2**32))
def test_no_window_exceeds_burst_plus_rate(seed):
    scenario = Scenario(seed)
    check = scenario.run(40)
    scenario.restore()
    before = check.admitted_by_name['large']
    scenario.call_all_nodes(ORGANISATIONS[-1])
    scenario.advance(1)
    # If a share were lost, so that no live node held the share, fewer calls
    # would be admitted.
    assert check.admitted_by_name['large'] >= before + 66


def ignore_outstanding(patch):
    patch.setattr(
        _token_bucket.TokenBucket,
        '_limit_level',
        lambda bucket: None,
    )

    def accrue(bucket, now):
        elapsed = max(0, now - bucket._updated_at)
        bucket._updated_at = max(now, bucket._updated_at)
        room = max(0, bucket._capacity - bucket._level)
        bucket._level += min(room, bucket._rate * elapsed)

    patch.setattr(_token_bucket.TokenBucket, '_accrue', accrue)


def ignore_term(patch):
    def make_endless(*fields):
        return _events.TokenGrant(*fields[:-1], float('inf'))

    patch.setattr(_holder, 'TokenGrant', make_endless)


def keep_share_until_commit(patch):
    def begin(account, change):
        account.change = change

    patch.setattr(_account.ShareAccount, 'begin_change', begin)


def use_gained_share_at_once(patch):
    patch.setattr(_account, 'GRANT_TERM_SECONDS', 0)
    patch.setattr(_account, 'GRANT_TERM_MARGIN_SECONDS', 0)


def ignore_lease(patch):
    patch.setattr(_holder.Holder, 'may_grant', lambda holder, now: True)


def accept_grant_twice(patch):
    take_grant = _refiller.Refiller.take_grant

    def take_and_keep(refiller, grant, now):
        open_request = refiller._request_by_number.get(grant.number)
        actions = take_grant(refiller, grant, now)
        if open_request is not None:
            refiller._request_by_number[grant.number] = open_request
        return actions

    patch.setattr(_refiller.Refiller, 'take_grant', take_and_keep)


@pytest.mark.parametrize(
    ('disable_mechanism', 'first_seed'),
    [
        (ignore_outstanding, 1),
        (ignore_term, 12),
        (keep_share_until_commit, 4),
        (use_gained_share_at_once, 174),
        (ignore_lease, 23),
        (accept_grant_twice, 1),
    ],
)
def test_bound_check_fails_without_each_mechanism(
    disable_mechanism,
    first_seed,
    monkeypatch,
):
    """The scenarios must fail when a safety mechanism is disabled.

    If they still succeeded, they would not test the mechanism.
    """
    disable_mechanism(monkeypatch)
    for seed in range(first_seed, first_seed + 40):
        try:
            Scenario(seed).run(40)
        except AssertionError:
            return
    pytest.fail('no call exceeded the bound for any of the 40 seeds')
