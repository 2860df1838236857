"""Fuzz tests of the decoders: malformed input must not raise.

An exception that a decoder does not expect would end the task that reads the
store, the heartbeats or the requests. ``make fuzz`` runs the tests with fresh
seeds.
"""

import asyncio
import copy
import json
import math
import os
from dataclasses import fields
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.base import Revision, VmAddress
from mustardshunt.load_balancing import Member
from mustardshunt.platform import (
    PlatformHeaderCodec,
    PlatformHeartbeatCodec,
    StoreMemberDirectory,
    StoreOperatorSource,
    decode_policy,
)
from mustardshunt.platform._store import Row, Rows
from mustardshunt.platform.tests.test_translation import (
    POLICY_DOCUMENT,
    make_heartbeat_body,
    make_request,
)
from mustardshunt.relay import AnswerHead

EXAMPLES = os.environ.get('FUZZ_EXAMPLES')
FUZZ = settings(
    max_examples=int(EXAMPLES or 300),
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
)
HUGE = 10**400
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([HUGE, -HUGE, 2**63, -1]),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(['nans', 'infms', '1e999s', '-1s', '\ud800', 's', 'ms']),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


def paths_of(found: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    paths = [path] if path else []
    items: list[tuple[Any, Any]] = []
    if isinstance(found, dict):
        items = list(found.items())
    elif isinstance(found, list):
        items = list(enumerate(found))
    for key, inner in items:
        paths.extend(paths_of(inner, (*path, key)))
    return paths


@st.composite
def changed_documents(draw: Any) -> bytes:
    """Draw a policy document in which some values are replaced."""
    document = copy.deepcopy(POLICY_DOCUMENT)
    for _ in range(draw(st.integers(1, 3))):
        *parents, last = draw(st.sampled_from(paths_of(document)))
        target: Any = document
        for key in parents:
            target = target[key]
        target[last] = draw(ODD_VALUES)
        if not isinstance(document['version'], int):
            break
    return json.dumps(document).encode()


def numbers_of(found: Any) -> list[float]:
    if isinstance(found, bool | str | bytes) or found is None:
        return []
    if isinstance(found, int | float):
        return [found]
    if isinstance(found, tuple | list):
        return [number for inner in found for number in numbers_of(inner)]
    if hasattr(found, 'items'):
        return numbers_of(list(found.values()))
    return [
        number
        for field in fields(found)
        for number in numbers_of(getattr(found, field.name))
    ]


@FUZZ
@given(document=changed_documents())
def test_changed_policy_document_is_decoded_or_left_out(document: bytes):
    """Every number of a decoded policy must be usable in arithmetic."""
    policy = decode_policy(document)
    if policy is None:
        return
    for number in numbers_of(policy):
        assert math.isfinite(float(number))
        assert number >= 0


@pytest.mark.parametrize('found', [math.nan, math.inf, HUGE, -1, 1e300])
@pytest.mark.parametrize(
    ('table', 'entry', 'name'),
    [
        ('tenants', 't', 'rate_per_s'),
        ('tenants', 't', 'burst'),
        ('tenants', 't', 'priority'),
        ('routes', 'good', 'priority'),
        ('routes', 'good', 'max_attempts'),
        ('services', 'x', 'cold_per_s'),
    ],
)
def test_entry_with_an_unusable_number_is_left_out(
    table: str, entry: str, name: str, found: float
):
    document = copy.deepcopy(POLICY_DOCUMENT)
    document[table][entry][name] = found
    policy = decode_policy(json.dumps(document).encode())
    assert policy is not None
    entry_by_name = {
        'tenants': policy.organisation_by_name,
        'routes': policy.route_by_name,
        'services': policy.service_by_name,
    }[table]
    assert entry not in entry_by_name


@pytest.mark.parametrize(
    'document',
    [
        b'',
        b'\xff\xfe',
        b'[' * 100000,
        b'{"version": 1, "routes": ' + b'{"a":' * 100000,
        b'{"version": NaN}',
        b'{"version": 1e999}',
        b'{"version": ' + b'9' * 5000 + b'}',
    ],
)
def test_document_that_is_no_policy_is_left_out(document: bytes):
    assert decode_policy(document) is None


@FUZZ
@given(document=st.binary(max_size=60))
def test_bytes_are_no_policy(document: bytes):
    assert decode_policy(document) is None


@FUZZ
@given(
    name=st.sampled_from([
        'service',
        'slots',
        'state',
        'cold_remaining',
        'sequence',
        'born',
    ]),
    found=ODD_VALUES,
)
def test_changed_heartbeat_is_decoded_or_rejected(name: str, found: Any):
    """The numbers of a heartbeat must be usable in arithmetic."""
    codec = PlatformHeartbeatCodec('s')
    body = make_heartbeat_body(**{name: found})
    heartbeat = codec.read_heartbeat(make_request('PUT', '/instances/i', body))
    if heartbeat is not None:
        assert math.isfinite(heartbeat.cold_for)
        assert float(heartbeat.slots) >= 0


@pytest.mark.parametrize('body', [b'[' * 100000, b'\xff', b'{}', b'', b'7'])
def test_body_that_is_no_heartbeat_is_rejected(body: bytes):
    codec = PlatformHeartbeatCodec('s')
    request = make_request('PUT', '/instances/i', body)
    assert codec.read_heartbeat(request) is None


@pytest.mark.parametrize('name', ['i%0d%0aX: y', 'i%00', 'i%0a'])
def test_instance_name_cannot_add_a_header_line(name: str):
    """The name of the instance is sent in a header of each call."""
    codec = PlatformHeartbeatCodec('s')
    body = make_heartbeat_body()
    request = make_request('PUT', f'/instances/{name}', body)
    assert codec.read_heartbeat(request) is None
    departure = make_request('DELETE', f'/instances/{name}')
    assert codec.read_departure(departure) is None


@pytest.mark.parametrize('name', ['a\r\nX: y', 'a\n', '\ud800', 'a\x00'])
def test_organisation_name_cannot_add_a_header_line(name: str):
    """The name of the organisation is sent in a header of each call."""
    document = dict(POLICY_DOCUMENT, tenants={name: {'api_keys': ['k']}})
    policy = decode_policy(json.dumps(document).encode())
    assert policy is not None
    assert not policy.organisation_by_name
    assert not policy.organisation_by_key


@FUZZ
@given(text=st.one_of(st.text(max_size=12), st.floats().map(str)))
def test_deadline_header_is_a_finite_time_or_not_set(text: str):
    """An infinite deadline would keep a call for ever."""
    request = make_request('GET', '/')
    headers = {'mustardshunt-deadline-ms': text}
    metadata = PlatformHeaderCodec().read_request(
        type(request)('GET', '/', (), headers, b'')
    )
    if metadata.seconds_left is not None:
        assert math.isfinite(metadata.seconds_left)


@FUZZ
@given(
    pairs=st.lists(
        st.tuples(st.binary(max_size=30), st.binary(max_size=8)), max_size=4
    )
)
def test_headers_of_an_answer_are_read(pairs: list[tuple[bytes, bytes]]):
    codec = PlatformHeaderCodec()
    codec.read_answer(200, tuple(pairs))
    head = AnswerHead(200, tuple(pairs), {})
    assert not codec.matches_request(head, 'a')


class RowStore:
    """Returns the given rows for every request."""

    def __init__(self, rows: list[Row]) -> None:
        self._rows = Rows(tuple(rows), Revision(0, 9))

    async def read(self, table: str) -> Rows:
        return self._rows

    async def changes(
        self, table: str, revision: Revision, wait: float
    ) -> Rows:
        return self._rows


ROWS = st.lists(
    st.builds(
        Row,
        key=st.sampled_from(['config', 'evacuate/z', 'evacuate/', 'n', '']),
        content=st.one_of(
            st.binary(max_size=20),
            ODD_VALUES.map(lambda found: json.dumps(found).encode()),
            st.just(b'[' * 100000),
            changed_documents(),
        ),
        revision=st.integers(0, 9).map(lambda number: Revision(0, number)),
        is_removed=st.booleans(),
    ),
    max_size=3,
)


@FUZZ
@given(rows=ROWS)
def test_malformed_rows_do_not_hide_the_others(rows: list[Row]):
    """A row of another writer may hold anything."""
    own = Member('good', 'good-1', 's', 'z', VmAddress('10.0.0.1', 1))
    entry = {
        'run': own.incarnation,
        'service': own.service,
        'zone': own.data_centre,
        'host': own.address.host,
        'port': own.address.port,
    }
    good = Row('good', json.dumps(entry).encode(), Revision(0, 9), False)
    store: Any = RowStore([*rows, good])
    update = asyncio.run(StoreMemberDirectory(store).read())
    assert own in update.changed
    asyncio.run(StoreOperatorSource(store).changes(Revision(0, 0), 0.0))


@pytest.mark.parametrize(
    ('name', 'found'),
    [
        ('port', 0),
        ('port', 65536),
        ('port', 2**40),
        ('host', 'a..b'),
        ('host', 'x\x00y'),
        ('host', 'backend'),
        ('host', '\ud800'),
        ('service', 'a\nb'),
        ('run', '\ud800'),
    ],
)
def test_entry_that_names_no_usable_node_is_left_out(name: str, found: object):
    """An odd entry of another writer must not end what connects to nodes."""
    entry = {'run': 'n-1', 'service': 's', 'zone': 'z', 'host': '10.0.0.1'}
    content = json.dumps({**entry, 'port': 1, name: found}).encode()
    store: Any = RowStore([Row('n', content, Revision(0, 9), False)])
    update = asyncio.run(StoreMemberDirectory(store).read())
    assert update.changed == ()
