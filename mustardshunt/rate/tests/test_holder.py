"""Tests holders, which grant tokens from their shares, and their leases."""

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


def request_tokens(holder, number, tokens, now):
    wanted = tokens * MICROTOKENS_PER_TOKEN
    event = TokenRequestArrived(TokenRequest(OTHER, number, 'vitrina', wanted))
    return [action.grant.tokens for action in holder.handle(event, now)]


def test_gained_share_is_usable_only_after_term_and_margin():
    """A received share must not be used while older grants are valid.

    The former holder's grants would otherwise add to the new holder's.
    """
    holder = make_ready_holder()
    assert request_tokens(holder, 1, 5, 2.4) == [0]
    holder.handle(Tick(), 2.5)
    assert request_tokens(holder, 2, 50, 3.5) == [10 * MICROTOKENS_PER_TOKEN]


def test_repeated_token_request_is_not_granted_twice():
    """A duplicated token request must be answered only once."""
    holder = make_ready_holder()
    holder.handle(Tick(), 2.5)
    assert request_tokens(holder, 1, 1, 5) == [MICROTOKENS_PER_TOKEN]
    assert not request_tokens(holder, 1, 1, 5)


def test_no_grant_after_lease_expiry_or_loss():
    """A holder without a valid lease must grant nothing.

    Other nodes may reclaim its share, which would then be used twice.
    """
    holder = make_ready_holder()
    holder.handle(Tick(), 2.5)
    assert request_tokens(holder, 1, 1, 7199) == [MICROTOKENS_PER_TOKEN]
    assert request_tokens(holder, 2, 1, 7200) == [0]
    holder.handle(LeaseRenewed(7200), 7201)
    assert request_tokens(holder, 3, 1, 7201) == [MICROTOKENS_PER_TOKEN]
    holder.handle(LeaseLost(), 7202)
    assert request_tokens(holder, 4, 1, 7202) == [0]


def test_handed_over_share_stays_lowered_until_a_later_row_is_read():
    """The share must stay lowered while the result of the write is unknown.

    A delayed write may still take effect and hand the share over.
    """
    holder = make_ready_holder()
    holder.handle(Tick(), 3)
    holders = EligibleHolders({ME: 'east', OTHER: 'west'})
    holder.handle(EligibleHoldersChanged(holders), 3)
    commit = only(holder.handle(RebalanceDue(), 3))
    assert holder.usable_share(PARTITION, 3) == 500_000
    event = CommitAnswered(commit.change, CommitOutcome.UNKNOWN)
    assert not holder.handle(event, 3.1)
    holder.handle(ShareRowRead(ShareRow(PARTITION, 1, {ME: 1_000_000})), 4)
    assert holder.usable_share(PARTITION, 10) == 500_000
    assert holder.handle(Tick(), 10) == [CommitShares(commit.change)]
    event = CommitAnswered(commit.change, CommitOutcome.CONFLICT)
    assert holder.handle(event, 10) == [ReadRow(PARTITION)]
    holder.handle(ShareRowRead(ShareRow(PARTITION, 2, {ME: 1_000_000})), 11)
    assert holder.usable_share(PARTITION, 13) == 500_000
    assert holder.usable_share(PARTITION, 14) == 1_000_000


def test_lease_expires_by_the_watchers_own_clock():
    """A share must not be reclaimed before the lease and the margin end."""
    watch = LeaseWatch()
    for now in range(100, 7360, 10):
        watch.observe(ME, 1, now)
        assert not watch.find_expired(now)
    watch.observe(ME, 1, 7360)
    assert only(watch.find_expired(7360)).version == 1
    watch.observe(ME, 2, 7361)
    assert not watch.find_expired(7400)


def test_watcher_lets_live_holders_renew_after_a_long_outage():
    """After an outage, live holders must be able to renew their leases.

    When the platform's table returns after hours, all leases look expired at
    the first reading of the lease rows. Without a delay, the shares of live
    holders would be reclaimed.
    """
    watch = LeaseWatch()
    watch.observe(ME, 1, 100)
    watch.observe(ME, 1, 9000)
    assert not watch.find_expired(9000)
    watch.observe(ME, 1, 9059)
    assert not watch.find_expired(9059)
    watch.observe(ME, 1, 9060)
    assert watch.find_expired(9060)


def test_lease_expires_although_each_reading_is_slightly_late():
    """Leases must also expire when each reading is slightly late.

    After a gap of more than two margins between two readings, the watcher
    assumes an interruption and postpones the expiry of all leases. With many
    nodes, the lease rows are read once in 60 s, which equals the margin. Each
    reading takes some time, so every gap is slightly longer than 60 s. If such
    gaps counted as interruptions, no lease would ever expire.
    """
    watch = LeaseWatch()
    read_times = [60.5 * reading for reading in range(122)]
    for now in read_times:
        watch.observe(ME, 1, now)
    assert watch.find_expired(read_times[-1])
