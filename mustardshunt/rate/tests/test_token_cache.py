"""Tests how a token cache spends, requests and returns granted tokens."""

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


def make_ready_cache(burst=100):
    cache = make_token_cache(ME, 'east')
    organisation = Organisation('vitrina', 10, burst)
    cache.handle(RateLimitsChanged({'vitrina': organisation}), 0)
    cache.handle(
        EligibleHoldersChanged(EligibleHolders({NEAR: 'east', FAR: 'west'})), 0
    )
    shares = {NEAR: 500_000, FAR: 500_000}
    row = ShareRow(partition_of('vitrina'), 1, shares)
    cache.handle(ShareRowRead(row), 0)
    return cache


def make_grant(sent_request, tokens):
    request = sent_request.request
    token_grant = TokenGrant(
        sent_request.holder,
        request.number,
        'vitrina',
        7,
        tokens,
        GRANT_TERM_SECONDS,
    )
    return GrantArrived(token_grant)


def test_waiting_calls_are_admitted_in_order_and_a_repeated_grant_is_ignored():
    """Calls must be admitted in order, each with a token of its own.

    If a repeated grant were accepted, its tokens would be spent twice.
    """
    cache = make_ready_cache()
    assert not cache.spend('vitrina', 0)
    sent_request = only(cache.handle(CallWaiting('vitrina', 1), 0))
    assert (sent_request.holder, sent_request.request.wanted) == (
        NEAR,
        MICROTOKENS_PER_TOKEN,
    )
    sent_far_request = only(cache.handle(CallWaiting('vitrina', 2), 0))
    assert sent_far_request.holder == FAR
    admitted = cache.handle(
        make_grant(sent_far_request, MICROTOKENS_PER_TOKEN), 0.01
    )
    assert admitted == [AdmitWaitingCall('vitrina', 1)]
    assert not cache.handle(
        make_grant(sent_far_request, MICROTOKENS_PER_TOKEN), 0.01
    )
    admitted = cache.handle(
        make_grant(sent_request, 3 * MICROTOKENS_PER_TOKEN), 0.01
    )
    assert admitted == [AdmitWaitingCall('vitrina', 2)]
    assert cache.spend('vitrina', 1.9)


def test_expired_tokens_are_not_spent_after_a_pause():
    """Expired tokens must not be spent: the holder may grant them again."""
    cache = make_ready_cache()
    sent_request = only(cache.handle(CallWaiting('vitrina', 1), 0))
    cache.handle(make_grant(sent_request, 5 * MICROTOKENS_PER_TOKEN), 0.01)
    assert cache.spend('vitrina', 1.99)
    assert not cache.spend('vitrina', 2)


def test_request_goes_to_the_next_holder_after_a_timeout():
    """When a holder does not reply, tokens must be requested elsewhere."""
    cache = make_ready_cache()
    cache.handle(CallWaiting('vitrina', 1), 0)
    assert not cache.handle(Tick(), 0.04)
    sent_request = only(cache.handle(Tick(), 0.05))
    assert sent_request.holder == FAR
    refused = only(cache.handle(Tick(), 0.1))
    assert refused.refusal.reason is Reason.RATE_UNAVAILABLE


def test_call_is_refused_when_all_holders_are_empty():
    """A call must not wait for tokens when no holder has any."""
    cache = make_ready_cache()
    sent_request = only(cache.handle(CallWaiting('vitrina', 1), 0))
    sent_request = only(cache.handle(make_grant(sent_request, 0), 0.001))
    refused = only(cache.handle(make_grant(sent_request, 0), 0.002))
    assert isinstance(refused, RefuseWaitingCall)
    assert refused.refusal.reason is Reason.RATE_EXCEEDED
    assert refused.refusal.retry_after > 0
    again = only(cache.handle(CallWaiting('vitrina', 2), 0.003))
    assert again.refusal.reason is Reason.RATE_EXCEEDED


def test_parts_of_a_token_from_two_holders_serve_a_call():
    """Fractions of a token from two holders must serve a call together.

    A burst of one token that is split over holders would otherwise be unusable.
    """
    cache = make_ready_cache(burst=1)
    requests = cache.handle(CallWaiting('vitrina', 1), 0)
    assert {action.holder for action in requests} == {NEAR, FAR}
    assert not cache.handle(
        make_grant(requests[0], MICROTOKENS_PER_TOKEN // 2), 0.01
    )
    actions = cache.handle(
        make_grant(requests[1], MICROTOKENS_PER_TOKEN // 2), 0.01
    )
    assert actions[0] == AdmitWaitingCall('vitrina', 1)
    spent = {action.holder: action.request.reports for action in actions[1:]}
    half = (GrantReport(7, MICROTOKENS_PER_TOKEN // 2, 0),)
    assert spent == {NEAR: half, FAR: half}


def test_unspent_tokens_are_returned_after_half_the_term():
    """Unspent tokens must be returned, so that other nodes can use them."""
    cache = make_ready_cache()
    sent_request = only(cache.handle(CallWaiting('vitrina', 1), 0))
    cache.handle(make_grant(sent_request, 3 * MICROTOKENS_PER_TOKEN), 0.01)
    cache.handle(Tick(), 0.9)
    actions = cache.handle(Tick(), 1.1)
    report = next(
        action for action in actions if isinstance(action, SendTokenRequest)
    )
    assert report.request.reports == (
        GrantReport(7, MICROTOKENS_PER_TOKEN, 2 * MICROTOKENS_PER_TOKEN),
    )
    assert not cache.spend('vitrina', 1.2)
