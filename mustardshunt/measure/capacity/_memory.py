"""Memory of a node's state, traced in one process."""

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

_SMALL: Final = 100
_MORE: Final = 1000
_RECORDS: Final = 500
_CALLS: Final = 2000
_WALLETS: Final = 100
_OWN: Final = Incarnation('0' * 16)


def measure_memory(size: DesignSize, link: float) -> MemoryCosts:
    """Trace what each kind of state takes.

    Parameters
    ----------
    size : DesignSize
        Gives data centres and services.
    link : float
        Bytes of one link.
    """
    sheet = _trace_sheet(make_draft(_SMALL, _SMALL, _SMALL))
    many_organisations = make_draft(_SMALL + _MORE, _SMALL, _SMALL)
    many_keys = make_draft(_SMALL, _SMALL + _MORE, _SMALL)
    many_routes = make_draft(_SMALL, _SMALL, _SMALL + _MORE)
    return MemoryCosts(
        member=trace_memory(lambda: _make_members(size)) / _RECORDS,
        organisation=(_trace_sheet(many_organisations) - sheet) / _MORE,
        key=(_trace_sheet(many_keys) - sheet) / _MORE,
        route=(_trace_sheet(many_routes) - sheet) / _MORE,
        wallet=(
            trace_memory(lambda: _make_wallet(size, _WALLETS))
            - trace_memory(lambda: _make_wallet(size, 0))
        )
        / _WALLETS,
        outcome=trace_memory(_make_outcomes) / _CALLS,
        link=link,
    )


class MemoryTracer:
    """Traces what is allocated and kept from its start."""

    def __init__(self) -> None:
        gc.collect()
        tracemalloc.start()
        self._before = tracemalloc.get_traced_memory()[0]

    def stop(self) -> float:
        """Return the bytes that are still in use."""
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return float(after - self._before)


def trace_memory(make: Callable[[], object]) -> float:
    """Return the bytes that what is made keeps."""
    tracer = MemoryTracer()
    kept = make()
    used = tracer.stop()
    del kept
    return used


def _make_members(size: DesignSize) -> object:
    records = list_records(size, _RECORDS)
    fleet = make_membership(records[0], random.Random(1))
    fleet.handle(RecordsArrived(records), 0.0)
    router = make_router(records[0].incarnation, records[0].data_centre)
    for record in records:
        router.handle(MemberUpdated(record), 0.0)
    return fleet, router


def _trace_sheet(draft: SheetDraft) -> float:
    return trace_memory(functools.partial(_take_sheet, *split_sheet(draft, 1)))


def _take_sheet(
    head: SheetHead,
    content_by_digest: Mapping[str, bytes],
) -> object:
    registry = make_sheet_replica()
    registry.handle(HeadReceived(head), 0.0)
    for digest, content in content_by_digest.items():
        # A copy, as a node that has read it from a peer has.
        copied = bytes(bytearray(content))
        registry.handle(SectionArrived(digest, copied), 0.0)
    return registry


def _make_wallet(size: DesignSize, used: int) -> object:
    wallet = make_token_cache(_OWN, 'region-0')
    draft = make_draft(size.organisations, 1, 1)
    wallet.handle(RateLimitsChanged(draft.organisation_by_name), 0.0)
    for row in make_share_rows(size.data_centres):
        wallet.handle(ShareRowRead(row), 0.0)
    for number in range(used):
        wallet.handle(CallWaiting(f'organisation-{number}', number), 0.0)
    return wallet


def _make_outcomes() -> object:
    log = make_outcome_log()
    log.register_link(_OWN, 1, 0.0)
    for number in range(_CALLS):
        call_id = CallId(_OWN, number + 1000)
        log.begin(call_id, 1, 0.0)
        headers = (('content-type', f'application/json;v={number}'),)
        log.finish(call_id, Outcome(Answer(200, headers, b'')), 0.0)
    return log
