"""Guards a holder's shares, lease and grants."""

from mustardshunt.base import Incarnation
from mustardshunt.rate import (
    MICROTOKENS_PER_TOKEN,
    CommitAnswered,
    CommitOutcome,
    CommitShares,
    EligibleHolders,
    EligibleHoldersChanged,
    LeaseLost,
    LeaseRenewed,
    LeaseWatch,
    RateLimitsChanged,
    ReadRow,
    RebalanceDue,
    ShareRow,
    ShareRowRead,
    Tick,
    TokenRequest,
    TokenRequestArrived,
    make_holder,
    partition_of,
)
from mustardshunt.sheet import Organisation

ME, OTHER = Incarnation('me'), Incarnation('other')
PARTITION = partition_of('vitrina')


def only(found):
    assert len(found) == 1
    return found[0]


def make_ready_holder():
    holder = make_holder(ME)
    holder.handle(LeaseRenewed(0), 0)
    holder.handle(
        RateLimitsChanged({'vitrina': Organisation('vitrina', 10, 20)}), 0
    )
    holder.handle(ShareRowRead(ShareRow(PARTITION, 1, {ME: 1_000_000})), 0)
    return holder


def ask(holder, number, tokens, now):
    wanted = tokens * MICROTOKENS_PER_TOKEN
    event = TokenRequestArrived(TokenRequest(OTHER, number, 'vitrina', wanted))
    return [one.grant.tokens for one in holder.handle(event, now)]


def test_increment_starts_empty_and_accrues_after_term_and_margin():
    holder = make_ready_holder()
    assert ask(holder, 1, 5, 2.4) == [0]
    holder.handle(Tick(), 2.5)
    assert ask(holder, 2, 50, 3.5) == [10 * MICROTOKENS_PER_TOKEN]


def test_repeated_ask_is_not_granted_twice():
    holder = make_ready_holder()
    holder.handle(Tick(), 2.5)
    assert ask(holder, 1, 1, 5) == [MICROTOKENS_PER_TOKEN]
    assert not ask(holder, 1, 1, 5)


def test_no_grant_after_the_lease_or_once_declared_gone():
    holder = make_ready_holder()
    holder.handle(Tick(), 2.5)
    assert ask(holder, 1, 1, 7199) == [MICROTOKENS_PER_TOKEN]
    assert ask(holder, 2, 1, 7200) == [0]
    holder.handle(LeaseRenewed(7200), 7201)
    assert ask(holder, 3, 1, 7201) == [MICROTOKENS_PER_TOKEN]
    holder.handle(LeaseLost(), 7202)
    assert ask(holder, 4, 1, 7202) == [0]


def test_share_stays_lowered_until_a_later_row_is_read():
    """A write that is still on its way could take effect after a restore."""
    holder = make_ready_holder()
    holder.handle(Tick(), 3)
    fleet = EligibleHolders({ME: 'east', OTHER: 'west'})
    holder.handle(EligibleHoldersChanged(fleet), 3)
    commit = only(holder.handle(RebalanceDue(), 3))
    assert holder.usable_share(PARTITION, 3) == 500_000
    answer = CommitAnswered(commit.change, CommitOutcome.UNKNOWN)
    assert not holder.handle(answer, 3.1)
    holder.handle(ShareRowRead(ShareRow(PARTITION, 1, {ME: 1_000_000})), 4)
    assert holder.usable_share(PARTITION, 10) == 500_000
    assert holder.handle(Tick(), 10) == [CommitShares(commit.change)]
    answer = CommitAnswered(commit.change, CommitOutcome.CONFLICT)
    assert holder.handle(answer, 10) == [ReadRow(PARTITION)]
    holder.handle(ShareRowRead(ShareRow(PARTITION, 2, {ME: 1_000_000})), 11)
    assert holder.usable_share(PARTITION, 13) == 500_000
    assert holder.usable_share(PARTITION, 14) == 1_000_000


def test_lease_counts_as_expired_by_the_watchers_own_clock():
    watch = LeaseWatch()
    for now in range(100, 7360, 10):
        watch.observe(ME, 1, now)
        assert not watch.find_expired(now)
    watch.observe(ME, 1, 7360)
    assert only(watch.find_expired(7360)).version == 1
    watch.observe(ME, 2, 7361)
    assert not watch.find_expired(7400)


def test_live_holders_can_renew_after_a_long_outage():
    """All leases look expired when the platform returns after hours."""
    watch = LeaseWatch()
    watch.observe(ME, 1, 100)
    watch.observe(ME, 1, 9000)
    assert not watch.find_expired(9000)
    watch.observe(ME, 1, 9059)
    assert not watch.find_expired(9059)
    watch.observe(ME, 1, 9060)
    assert watch.find_expired(9060)


def test_lease_expires_when_readings_come_a_little_late():
    """Guards against a fleet so large that no lease is ever reclaimed.

    Its rows are read once in 60 s, and each reading takes some time.
    """
    watch = LeaseWatch()
    seen = [60.5 * reading for reading in range(122)]
    for now in seen:
        watch.observe(ME, 1, now)
    assert watch.find_expired(seen[-1])
