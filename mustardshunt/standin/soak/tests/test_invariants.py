"""The soak sees each promise that is broken."""

import pytest

from mustardshunt.standin.deployment_server import ServerRun
from mustardshunt.standin.soak._promises import Asked, Ledger, Ran, Replied

WHOLE = b'whole'
KEY = 'soak-key'


def make_ledger() -> Ledger:
    """One order that ran once and was answered whole."""
    ledger = Ledger(WHOLE)
    ledger.asked_by_id['q1'] = Asked('q1', 'troupe', False, b'body')
    ledger.ran.append(make_run())
    ledger.replied_by_id['q1'] = Replied(200, 'q1', True, WHOLE)
    return ledger


def make_run(
    request_id: str = 'q1',
    tenant: str = 'troupe',
    body: bytes = b'body',
    at: float = 1.0,
    **headers: str,
) -> Ran:
    seen = {'Mustardshunt-Tenant': tenant, **headers}
    return Ran(at, 'i-1', ServerRun(request_id, seen, body))


def promises_of(ledger: Ledger) -> set[str]:
    found = ledger.breaches(KEY, 2.0, 1.0, 'troupe')
    return {breach.promise for breach in found}


def test_request_that_went_well_breaks_nothing():
    assert promises_of(make_ledger()) == set()


@pytest.mark.parametrize(
    ('run', 'promise'),
    [
        (make_run(request_id='other'), 'asked for'),
        (make_run(tenant='aquarium'), 'owner of the key'),
        (make_run(body=b'bod'), 'body unchanged'),
        (make_run(Authorization=f'Bearer {KEY}-troupe'), 'key kept back'),
        (make_run(at=9.0), 'drain'),
    ],
)
def test_false_run_is_seen(run: Ran, promise: str):
    ledger = make_ledger()
    ledger.left_at_by_instance['i-1'] = 2.0
    ledger.ran = [run]
    assert promises_of(ledger) == {promise}


@pytest.mark.parametrize(
    ('reply', 'promise'),
    [
        (Replied(200, 'q2', True, WHOLE), 'own answer'),
        (Replied(200, 'q1', True, WHOLE[:-1]), 'whole answer'),
        (Replied(200, 'q1', False, WHOLE), 'whole answer'),
        (Replied(503, '', False, b''), 'not run'),
        (Replied(429, '', False, b''), 'not run'),
    ],
)
def test_false_reply_is_seen(reply: Replied, promise: str):
    ledger = make_ledger()
    ledger.replied_by_id['q1'] = reply
    assert promises_of(ledger) == {promise}


def test_order_that_ran_twice_is_seen():
    ledger = make_ledger()
    ledger.ran.append(make_run(at=1.5))
    assert promises_of(ledger) == {'at most once'}


def test_cap_is_counted_over_any_window():
    ledger = Ledger(WHOLE)
    # 2 a second and 1 at once: (2 x 5 + 1) x 1.1 + 20 in 5 s.
    for number in range(33):
        request_id = f'q{number}'
        asked = Asked(request_id, 'troupe', True, b'body')
        ledger.asked_by_id[request_id] = asked
        ledger.ran.append(make_run(request_id, at=3.0 + number * 0.1))
    assert promises_of(ledger) == {'cap'}
    ledger.ran.pop()
    assert promises_of(ledger) == set()
