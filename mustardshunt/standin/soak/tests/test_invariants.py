"""The soak sees each promise that is broken."""

import pytest

from mustardshunt.standin.sidecar_backend_server import ReceivedRequest
from mustardshunt.standin.soak._invariants import (
    Execution,
    History,
    ReceivedReply,
    SentRequest,
)

WHOLE = b'whole'
KEY = 'soak-key'


def make_ledger() -> History:
    """One order that ran once and was answered whole."""
    ledger = History(WHOLE)
    ledger.request_by_id['q1'] = SentRequest('q1', 'troupe', False, b'body')
    ledger.executions.append(make_run())
    ledger.reply_by_id['q1'] = ReceivedReply(200, 'q1', True, WHOLE)
    return ledger


def make_run(
    request_id: str = 'q1',
    tenant: str = 'troupe',
    body: bytes = b'body',
    at: float = 1.0,
    **headers: str,
) -> Execution:
    seen = {'Mustardshunt-Tenant': tenant, **headers}
    return Execution(at, 'i-1', ReceivedRequest(request_id, seen, body))


def promises_of(ledger: History) -> set[str]:
    found = ledger.find_violations(KEY, 2.0, 1.0, 'troupe')
    return {breach.invariant for breach in found}


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
def test_false_run_is_seen(run: Execution, promise: str):
    ledger = make_ledger()
    ledger.left_at_by_instance['i-1'] = 2.0
    ledger.executions = [run]
    assert promises_of(ledger) == {promise}


@pytest.mark.parametrize(
    ('reply', 'promise'),
    [
        (ReceivedReply(200, 'q2', True, WHOLE), 'own answer'),
        (ReceivedReply(200, 'q1', True, WHOLE[:-1]), 'whole answer'),
        (ReceivedReply(200, 'q1', False, WHOLE), 'whole answer'),
        (ReceivedReply(503, '', False, b''), 'not run'),
        (ReceivedReply(429, '', False, b''), 'not run'),
    ],
)
def test_false_reply_is_seen(reply: ReceivedReply, promise: str):
    ledger = make_ledger()
    ledger.reply_by_id['q1'] = reply
    assert promises_of(ledger) == {promise}


def test_order_that_ran_twice_is_seen():
    ledger = make_ledger()
    ledger.executions.append(make_run(at=1.5))
    assert promises_of(ledger) == {'at most once'}


def test_cap_is_counted_over_any_window():
    ledger = History(WHOLE)
    # 2 a second and 1 at once: (2 x 5 + 1) x 1.1 + 20 in 5 s.
    for number in range(33):
        request_id = f'q{number}'
        asked = SentRequest(request_id, 'troupe', True, b'body')
        ledger.request_by_id[request_id] = asked
        ledger.executions.append(make_run(request_id, at=3.0 + number * 0.1))
    assert promises_of(ledger) == {'cap'}
    ledger.executions.pop()
    assert promises_of(ledger) == set()
