"""Guards the wallet's spending, asking and refusing."""

from mustardshunt.base import Incarnation, Reason
from mustardshunt.rate import (
    GRANT_TERM_SECONDS,
    MICROTOKENS_PER_TOKEN,
    AdmitWaitingCall,
    CallWaiting,
    EligibleHolders,
    EligibleHoldersChanged,
    GrantArrived,
    GrantReport,
    RateLimitsChanged,
    RefuseWaitingCall,
    SendTokenRequest,
    ShareRow,
    ShareRowRead,
    Tick,
    TokenGrant,
    make_token_cache,
    partition_of,
)
from mustardshunt.sheet import Organisation

ME, NEAR, FAR = (Incarnation(name) for name in ('me', 'near', 'far'))


def only(found):
    assert len(found) == 1
    return found[0]


def make_ready_wallet(burst=100):
    wallet = make_token_cache(ME, 'east')
    organisation = Organisation('vitrina', 10, burst)
    wallet.handle(RateLimitsChanged({'vitrina': organisation}), 0)
    wallet.handle(
        EligibleHoldersChanged(EligibleHolders({NEAR: 'east', FAR: 'west'})), 0
    )
    shares = {NEAR: 500_000, FAR: 500_000}
    row = ShareRow(partition_of('vitrina'), 1, shares)
    wallet.handle(ShareRowRead(row), 0)
    return wallet


def grant(sent, tokens):
    ask = sent.request
    made = TokenGrant(
        sent.holder, ask.number, 'vitrina', 7, tokens, GRANT_TERM_SECONDS
    )
    return GrantArrived(made)


def test_calls_are_released_in_order_and_a_repeated_grant_is_ignored():
    wallet = make_ready_wallet()
    assert not wallet.spend('vitrina', 0)
    sent = only(wallet.handle(CallWaiting('vitrina', 1), 0))
    assert (sent.holder, sent.request.wanted) == (NEAR, MICROTOKENS_PER_TOKEN)
    sent_far = only(wallet.handle(CallWaiting('vitrina', 2), 0))
    assert sent_far.holder == FAR
    released = wallet.handle(grant(sent_far, MICROTOKENS_PER_TOKEN), 0.01)
    assert released == [AdmitWaitingCall('vitrina', 1)]
    assert not wallet.handle(grant(sent_far, MICROTOKENS_PER_TOKEN), 0.01)
    released = wallet.handle(grant(sent, 3 * MICROTOKENS_PER_TOKEN), 0.01)
    assert released == [AdmitWaitingCall('vitrina', 2)]
    assert wallet.spend('vitrina', 1.9)


def test_paused_wallet_spends_nothing_expired():
    wallet = make_ready_wallet()
    sent = only(wallet.handle(CallWaiting('vitrina', 1), 0))
    wallet.handle(grant(sent, 5 * MICROTOKENS_PER_TOKEN), 0.01)
    assert wallet.spend('vitrina', 1.99)
    assert not wallet.spend('vitrina', 2)


def test_next_holder_is_asked_after_the_timeout():
    wallet = make_ready_wallet()
    wallet.handle(CallWaiting('vitrina', 1), 0)
    assert not wallet.handle(Tick(), 0.04)
    sent = only(wallet.handle(Tick(), 0.05))
    assert sent.holder == FAR
    refused = only(wallet.handle(Tick(), 0.1))
    assert refused.refusal.reason is Reason.RATE_UNAVAILABLE


def test_refusal_when_all_holders_are_dry():
    wallet = make_ready_wallet()
    sent = only(wallet.handle(CallWaiting('vitrina', 1), 0))
    sent = only(wallet.handle(grant(sent, 0), 0.001))
    refused = only(wallet.handle(grant(sent, 0), 0.002))
    assert isinstance(refused, RefuseWaitingCall)
    assert refused.refusal.reason is Reason.RATE_EXCEEDED
    assert refused.refusal.retry_after > 0
    again = only(wallet.handle(CallWaiting('vitrina', 2), 0.003))
    assert again.refusal.reason is Reason.RATE_EXCEEDED


def test_parts_of_a_token_from_two_holders_serve_a_call():
    wallet = make_ready_wallet(burst=1)
    asks = wallet.handle(CallWaiting('vitrina', 1), 0)
    assert {one.holder for one in asks} == {NEAR, FAR}
    assert not wallet.handle(grant(asks[0], MICROTOKENS_PER_TOKEN // 2), 0.01)
    actions = wallet.handle(grant(asks[1], MICROTOKENS_PER_TOKEN // 2), 0.01)
    assert actions[0] == AdmitWaitingCall('vitrina', 1)
    spent = {one.holder: one.request.reports for one in actions[1:]}
    half = (GrantReport(7, MICROTOKENS_PER_TOKEN // 2, 0),)
    assert spent == {NEAR: half, FAR: half}


def test_unspent_tokens_are_returned_after_half_the_term():
    wallet = make_ready_wallet()
    sent = only(wallet.handle(CallWaiting('vitrina', 1), 0))
    wallet.handle(grant(sent, 3 * MICROTOKENS_PER_TOKEN), 0.01)
    wallet.handle(Tick(), 0.9)
    actions = wallet.handle(Tick(), 1.1)
    report = next(one for one in actions if isinstance(one, SendTokenRequest))
    assert report.request.reports == (
        GrantReport(7, MICROTOKENS_PER_TOKEN, 2 * MICROTOKENS_PER_TOKEN),
    )
    assert not wallet.spend('vitrina', 1.2)
