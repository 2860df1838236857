"""Measures the memory of a node's state with tracemalloc."""

import functools
import gc
import random
import tracemalloc
from collections.abc import Callable, Mapping
from typing import Final

from mustardshunt.base import Answer, CallId, Incarnation
from mustardshunt.measure.capacity._design_size import DesignSize
from mustardshunt.measure.capacity._measurements import MemoryCosts
from mustardshunt.measure.capacity._processor_time import list_records
from mustardshunt.measure.capacity._samples import (
    make_draft,
    make_share_rows,
)
from mustardshunt.membership import RecordsArrived, make_membership
from mustardshunt.outcomes import Outcome, make_outcome_log
from mustardshunt.rate import (
    CallWaiting,
    RateLimitsChanged,
    ShareRowRead,
    make_token_cache,
)
from mustardshunt.routing import MemberUpdated, make_router
from mustardshunt.sheet import (
    HeadReceived,
    SectionArrived,
    SheetDraft,
    SheetHead,
    make_sheet_replica,
    split_sheet,
)

_BASE_COUNT: Final = 100
_ADDED_COUNT: Final = 1000
_RECORD_COUNT: Final = 500
_CALL_COUNT: Final = 2000
_ORGANISATIONS_IN_USE: Final = 100
_OWN_INCARNATION: Final = Incarnation('0' * 16)


def measure_memory(size: DesignSize, link: float) -> MemoryCosts:
    """Measure the memory of each kind of state.

    Parameters
    ----------
    size : DesignSize
        Size that gives the numbers of data centres, services and
        organisations.
    link : float
        Bytes of one link, both ends together.
    """
    base_sheet = _trace_sheet(make_draft(_BASE_COUNT, _BASE_COUNT, _BASE_COUNT))
    more_organisations = make_draft(
        _BASE_COUNT + _ADDED_COUNT, _BASE_COUNT, _BASE_COUNT
    )
    more_keys = make_draft(_BASE_COUNT, _BASE_COUNT + _ADDED_COUNT, _BASE_COUNT)
    more_routes = make_draft(
        _BASE_COUNT, _BASE_COUNT, _BASE_COUNT + _ADDED_COUNT
    )
    return MemoryCosts(
        member=trace_memory(lambda: _make_members(size)) / _RECORD_COUNT,
        organisation=(_trace_sheet(more_organisations) - base_sheet)
        / _ADDED_COUNT,
        key=(_trace_sheet(more_keys) - base_sheet) / _ADDED_COUNT,
        route=(_trace_sheet(more_routes) - base_sheet) / _ADDED_COUNT,
        wallet=(
            trace_memory(lambda: _make_token_cache(size, _ORGANISATIONS_IN_USE))
            - trace_memory(lambda: _make_token_cache(size, 0))
        )
        / _ORGANISATIONS_IN_USE,
        outcome=trace_memory(_make_outcomes) / _CALL_COUNT,
        link=link,
    )


class MemoryTracer:
    """Measures memory that was allocated after the tracer was created.

    Memory that was released again is not counted.
    """

    def __init__(self) -> None:
        gc.collect()
        tracemalloc.start()
        self._before = tracemalloc.get_traced_memory()[0]

    def stop(self) -> float:
        """Stop tracing and return the bytes that are still in use."""
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return float(after - self._before)


def trace_memory(make: Callable[[], object]) -> float:
    """Call a callable, and return the bytes that its result retains."""
    tracer = MemoryTracer()
    retained = make()
    retained_bytes = tracer.stop()
    del retained
    return retained_bytes


def _make_members(size: DesignSize) -> object:
    records = list_records(size, _RECORD_COUNT)
    membership = make_membership(records[0], random.Random(1))
    membership.handle(RecordsArrived(records), 0.0)
    router = make_router(records[0].incarnation, records[0].data_centre)
    for record in records:
        router.handle(MemberUpdated(record), 0.0)
    return membership, router


def _trace_sheet(draft: SheetDraft) -> float:
    return trace_memory(functools.partial(_load_sheet, *split_sheet(draft, 1)))


def _load_sheet(
    head: SheetHead,
    content_by_digest: Mapping[str, bytes],
) -> object:
    replica = make_sheet_replica()
    replica.handle(HeadReceived(head), 0.0)
    for digest, content in content_by_digest.items():
        # The section is copied, because a node stores a separate copy of each
        # section that a peer sends.
        copy = bytes(bytearray(content))
        replica.handle(SectionArrived(digest, copy), 0.0)
    return replica


def _make_token_cache(size: DesignSize, organisations_in_use: int) -> object:
    token_cache = make_token_cache(_OWN_INCARNATION, 'region-0')
    draft = make_draft(size.organisations, 1, 1)
    token_cache.handle(RateLimitsChanged(draft.organisation_by_name), 0.0)
    for row in make_share_rows(size.data_centres):
        token_cache.handle(ShareRowRead(row), 0.0)
    for number in range(organisations_in_use):
        token_cache.handle(CallWaiting(f'organisation-{number}', number), 0.0)
    return token_cache


def _make_outcomes() -> object:
    log = make_outcome_log()
    log.register_link(_OWN_INCARNATION, 1, 0.0)
    for number in range(_CALL_COUNT):
        call_id = CallId(_OWN_INCARNATION, number + 1000)
        log.begin(call_id, 1, 0.0)
        headers = (('content-type', f'application/json;v={number}'),)
        log.finish(call_id, Outcome(Answer(200, headers, b'')), 0.0)
    return log
