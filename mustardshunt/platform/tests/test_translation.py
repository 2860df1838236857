"""Forms of the platform as the project's types."""

import json

import pytest

from mustardshunt.platform import (
    PlatformHeaderCodec,
    PlatformHeartbeatCodec,
    decode_policy,
)
from mustardshunt.platform._values import MalformedError, read_seconds
from mustardshunt.relay import HttpRequest

DOCUMENT = {
    'version': 7,
    'routes': {
        'good': {
            'host': 'H.example',
            'prefix': '/a/',
            'kind': 'idempotent',
            'timeout': '1500ms',
            'target_latency': '1.2s',
            'priority': 2,
            'weighted_targets': [
                {'service': 'x', 'weight': 90},
                {'service': 'y', 'weight': 10},
            ],
            'max_attempts': 3,
            'auth_exempt': False,
            'new_field': [1],
        },
        'bad': {'host': 7},
        'unknown-kind': {
            'host': 'h',
            'prefix': '/b/',
            'kind': 'later',
            'timeout': '1s',
            'service': 'x',
        },
    },
    'services': {'x': {'cold_per_s': 45.0}, 'y': 3},
    'tenants': {
        't': {'api_keys': ['k', 5], 'priority': 1, 'rate_per_s': 2},
        'u': 'x',
    },
    'limits': {'max_body_bytes': 5},
}


def make_request(method: str, target: str, body: bytes = b'') -> HttpRequest:
    return HttpRequest(method, target, (), {}, body)


def make_report(**changes: object) -> bytes:
    report: dict[str, object] = {
        'service': 's',
        'address': 'h:1',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_remaining': '1500ms',
        'sequence': 3,
        'born': 1234,
    }
    report.update(changes)
    return json.dumps(report).encode()


def test_policy_is_read_and_unreadable_entries_harm_nothing_else():
    policy = decode_policy(json.dumps(DOCUMENT).encode())
    assert policy is not None
    assert policy.version == 7
    assert sorted(policy.route_by_name) == ['good', 'unknown-kind']
    route = policy.route_by_name['good']
    assert (route.host, route.timeout, route.latency_objective) == (
        'h.example',
        1.5,
        1.2,
    )
    assert [part.weight for part in route.weighted_services] == [90, 10]
    assert list(policy.service_by_name) == ['x']
    assert policy.organisation_by_key == {'k': 't'}
    assert policy.limits.max_body_bytes == 5


def test_unknown_kind_is_never_repeated():
    policy = decode_policy(json.dumps(DOCUMENT).encode())
    assert policy is not None
    assert not policy.route_by_name['unknown-kind'].is_idempotent


@pytest.mark.parametrize('text', [b'', b'[]', b'{"version": "7"}', b'\xff'])
def test_text_that_is_no_configuration(text: bytes):
    assert decode_policy(text) is None


def test_heartbeat_is_read():
    calls = PlatformHeartbeatCodec('s')
    report = calls.read_heartbeat(
        make_request('PUT', '/instances/i-1', make_report())
    )
    assert report is not None
    assert (report.instance, report.started_at, report.cold_for) == (
        'i-1',
        1234,
        1.5,
    )


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'odd'},
        {'service': 'other'},
        {'slots': '4'},
        {'sequence': None},
        {'cold_remaining': 5},
    ],
)
def test_heartbeat_of_another_writer_is_none(changes: dict[str, object]):
    request = make_request('PUT', '/instances/i-1', make_report(**changes))
    assert PlatformHeartbeatCodec('s').read_heartbeat(request) is None


def test_departure_is_read():
    calls = PlatformHeartbeatCodec('s')
    assert (
        calls.read_departure(make_request('DELETE', '/instances/i-1')) == 'i-1'
    )
    assert calls.read_departure(make_request('DELETE', '/instances/')) is None


def test_answer_facts():
    dialect = PlatformHeaderCodec()
    stamped = ((b'mustardshunt-response-stamp', b'x'),)
    assert dialect.read_answer(200, stamped).is_stamped
    not_run = ((b'Mustardshunt-Not-Executed', b'1'),)
    assert dialect.read_answer(503, not_run).says_not_run
    assert dialect.read_answer(421, ()).is_wrong_instance
    encoded = ((b'Content-Encoding', b'gzip'),)
    assert dialect.read_answer(200, encoded).is_encoded


@pytest.mark.parametrize('text', ['5', '5m', 'xs', '-1s', 5])
def test_times_need_a_number_and_a_unit(text: object):
    with pytest.raises(MalformedError):
        read_seconds({'t': text}, 't', 1.0)
