"""Guards against more calls than burst + rate x window in any window."""

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
LEASE = 6.0
DATA_CENTRES = ('east', 'north', 'west')


class Chaos:
    """Loses, repeats and delays messages, writes and answers."""

    def __init__(self, source):
        self.source = source
        # Percent of messages; calm seeds keep the buckets full.
        self.lost = source.choice((0, 0, 3, 10))
        self.repeated = source.choice((0, 10, 50))
        self.slow = source.choice((0, 0, 3, 10))
        self.loses_answers = False

    def happens(self, percent):
        return self.source.randrange(100) < percent

    def delay(self):
        longest = 4 if self.happens(self.slow) else 0.02
        return self.source.uniform(0, longest)

    def deliver(self, sender, receiver):
        if self.happens(self.lost):
            return ()
        copies = 2 if self.happens(self.repeated) else 1
        return tuple(self.delay() for _ in range(copies))

    def commit(self):
        is_lost = self.loses_answers or self.happens(self.lost)
        return (
            None if self.happens(self.lost) else self.delay(),
            None if is_lost else self.delay(),
        )


class BoundCheck:
    """Checks every window that ends at each admitted call."""

    def __init__(self):
        self.admitted_by_name = {one.name: 0 for one in ORGANISATIONS}
        self.refused_count = 0
        self._lowest = {}

    def admitted(self, organisation, now):
        limit = next(o for o in ORGANISATIONS if o.name == organisation)
        before = self.admitted_by_name[organisation]
        self.admitted_by_name[organisation] = before + 1
        # The lowest of count - rate x time over all earlier starts stands
        # for the worst window that ends now.
        start = before - limit.rate * now
        lowest = min(self._lowest.get(organisation, start), start)
        self._lowest[organisation] = lowest
        excess = before + 1 - limit.rate * now - lowest - limit.burst
        assert excess * 1_000_000 <= 1, (organisation, now, excess)

    def refused(self, action, now):
        self.refused_count += 1

    def handled(self, node, event, actions, now):
        """Nothing to check here."""


class Scenario:
    """Random faults over a fleet of eight nodes."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.check = BoundCheck()
        self.world = FleetSimulation(Chaos(self.source), self.check, LEASE, 5.0)
        self.world.set_rates(ORGANISATIONS)
        self.started = 0
        for index in range(8):
            self.start(DATA_CENTRES[index % 3])

    def start(self, data_centre):
        self.started += 1
        offset = self.source.uniform(0, 1000)
        name = f'n{self.started}'
        node = self.world.start_node(name, data_centre, offset)
        start_table_tasks(self.world, node, 0.3)
        return node

    def run(self, seconds):
        acts = (
            self.crash_and_restart, self.replace, self.pause, self.cut,
            self.take_out, self.stop, self.platform_outage, self.lose,
            self.cut_from_platform, self.give_unseen,
        )  # fmt: skip
        favourites = self.source.sample(acts, 3)
        # The rows exist and the buckets are full before the first fault.
        self.let_pass(6)
        while self.world.now < seconds:
            self.source.choice(favourites)()
            self.let_pass(self.source.choice((0.5, 3, 5, 16)))
            paused = self.ask_and_pause()
            self.source.choice((*favourites, self.take_out, self.take_out))()
            self.let_pass(self.source.choice((0, 0.5, 1.8, 1.9, 3)))
            self.call_all(self.source.choice(ORGANISATIONS))
            for node in paused:
                self.resume(node)
            self.let_pass(self.source.choice((0, 0.02, 0.2)))
            self.call_all(self.source.choice(ORGANISATIONS))
        return self.check

    def restore(self):
        """End all faults and wait until shares are reclaimed and usable."""
        self.world.partitioned_data_centres.clear()
        self.world.data_centres_without_table.clear()
        self.world.out_of_service = frozenset()
        self.world.table.is_up = True
        self.world.faults.lost = 0
        self.world.faults.slow = 0
        self.start('east')
        self.let_pass(40)

    def let_pass(self, seconds):
        self.world.run_until(self.world.now + seconds)

    def ask_and_pause(self):
        """Pause some wallets while grants are on their way to them."""
        nodes = [one for one in self.world.live_nodes() if not one.is_paused]
        count = self.source.choice((0, 1, 1, 3))
        chosen = self.source.sample(nodes, min(len(nodes), count))
        for organisation in ORGANISATIONS:
            for node in chosen:
                for _ in range(int(organisation.burst)):
                    self.world.call(node, organisation.name)
        self.let_pass(self.source.choice((0, 0.01, 0.03)))
        for node in chosen:
            self.world.pause(node)
        return chosen

    def call_all(self, organisation):
        for node in self.world.live_nodes():
            for _ in range(int(organisation.burst / 2)):
                self.world.call(node, organisation.name)

    def pick(self):
        nodes = [one for one in self.world.live_nodes() if not one.is_paused]
        return self.source.choice(nodes) if len(nodes) > 4 else None

    def crash_and_restart(self):
        node = self.pick()
        if node is None:
            return
        node.is_alive = False
        successor = self.start(node.data_centre)
        delay = self.source.uniform(0, 2)
        self.world.schedule(
            delay,
            partial(declare_gone, self.world, node.name, successor.name),
        )

    def replace(self):
        node = self.pick()
        if node is None:
            return
        node.is_alive = False
        self.start(node.data_centre)
        self.world.schedule(
            self.source.uniform(0, 3),
            partial(declare_gone, self.world, node.name),
        )

    def lose(self):
        """A VM dies and only its lease tells so."""
        node = self.pick()
        if node is not None:
            node.is_alive = False
            self.start(node.data_centre)

    def pause(self):
        node = self.pick()
        if node is not None:
            self.world.pause(node)
            delay = self.source.choice((0.3, 2.2, 3, 30))
            self.world.schedule(delay, partial(self.resume, node))

    def resume(self, node):
        """Resume a node whose next calls come before its next tick."""
        calls = [
            partial(self.world.call, node, organisation.name)
            for organisation in ORGANISATIONS
            for _ in range(int(organisation.burst))
        ]
        node.backlog = calls + node.backlog
        self.world.resume(node)

    def cut(self):
        self.world.partitioned_data_centres ^= {
            self.source.choice(DATA_CENTRES)
        }

    def take_out(self):
        self.world.out_of_service ^= {self.source.choice(DATA_CENTRES)}

    def stop(self):
        node = self.pick()
        if node is not None:
            node.is_stopping = True
            self.start(node.data_centre)

    def cut_from_platform(self):
        self.world.data_centres_without_table ^= {
            self.source.choice(DATA_CENTRES)
        }
        # Long enough for the others to reclaim, or not.
        self.let_pass(self.source.choice((0, 18)))
        self.call_all(self.source.choice(ORGANISATIONS))

    def give_unseen(self):
        """A data centre gives its shares away and never hears of it."""
        name = self.source.choice(DATA_CENTRES)
        self.world.out_of_service = frozenset((name,))
        self.world.faults.loses_answers = True
        self.let_pass(0.31)
        self.world.data_centres_without_table = {name}
        self.world.faults.loses_answers = False
        # The receivers use their increments, the giver still has its lease.
        self.let_pass(4.7)
        self.call_all(self.source.choice(ORGANISATIONS))

    def platform_outage(self):
        self.world.table.is_up = not self.world.table.is_up


@settings(derandomize=True, max_examples=30, deadline=None, database=None)
@given(strategies.integers(0, 2**32))
def test_no_window_exceeds_burst_and_rate(seed):
    scenario = Scenario(seed)
    check = scenario.run(40)
    scenario.restore()
    before = check.admitted_by_name['large']
    scenario.call_all(ORGANISATIONS[-1])
    scenario.let_pass(1)
    # Shares that no live node can use would show here.
    assert check.admitted_by_name['large'] >= before + 66


def ignore_outstanding(patch):
    patch.setattr(
        _token_bucket.TokenBucket,
        '_cut',
        lambda bucket: None,
    )

    def accrue(bucket, now):
        elapsed = max(0, now - bucket._updated_at)
        bucket._updated_at = max(now, bucket._updated_at)
        room = max(0, bucket._cap - bucket._level)
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


def use_increments_at_once(patch):
    patch.setattr(_account, 'GRANT_TERM_SECONDS', 0)
    patch.setattr(_account, 'GRANT_TERM_MARGIN_SECONDS', 0)


def ignore_lease(patch):
    patch.setattr(_holder.Holder, 'may_grant', lambda holder, now: True)


def accept_grant_twice(patch):
    take_grant = _refiller.Refiller.take_grant

    def take_and_keep(refiller, grant, now):
        ask = refiller._ask_by_number.get(grant.number)
        actions = take_grant(refiller, grant, now)
        if ask is not None:
            refiller._ask_by_number[grant.number] = ask
        return actions

    patch.setattr(_refiller.Refiller, 'take_grant', take_and_keep)


@pytest.mark.parametrize(
    ('switch_off', 'first_seed'),
    [
        (ignore_outstanding, 1),
        (ignore_term, 12),
        (keep_share_until_commit, 4),
        (use_increments_at_once, 174),
        (ignore_lease, 23),
        (accept_grant_twice, 1),
    ],
)
def test_check_notices_a_missing_mechanism(
    switch_off,
    first_seed,
    monkeypatch,
):
    """Guards against a scenario too tame to need the mechanism."""
    switch_off(monkeypatch)
    for seed in range(first_seed, first_seed + 40):
        try:
            Scenario(seed).run(40)
        except AssertionError:
            return
    pytest.fail('no seed exceeds the bound')
