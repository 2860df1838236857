"""Measures the processor time of the decisions, without I/O."""

import random
import time
from collections.abc import Callable
from typing import Final

from mustardshunt.base import Incarnation, MemberRecord, rendezvous_order
from mustardshunt.measure.capacity._design_size import DesignSize
from mustardshunt.measure.capacity._measurements import ProcessorCosts
from mustardshunt.measure.capacity._samples import (
    make_draft,
    make_record,
    make_share_rows,
)
from mustardshunt.membership import (
    Membership,
    MembershipTick,
    PeerHeard,
    PeerLinked,
    RecordsArrived,
    make_membership,
)
from mustardshunt.rate import (
    CallWaiting,
    EligibleHolders,
    EligibleHoldersChanged,
    Holder,
    RateLimitsChanged,
    ShareRowRead,
    Tick,
    TokenCache,
    make_holder,
    make_token_cache,
)
from mustardshunt.sheet import SheetDraft, join_sections, split_sheet

_REPEATS: Final = 5
_SMALL_NODE_COUNT: Final = 20
_BASE_COUNT: Final = 100
_ADDED_COUNT: Final = 2000
_ORGANISATIONS_IN_USE: Final = 100
_DICTIONARY_OPERATIONS: Final = 100_000


def measure_processor_time(size: DesignSize, message: float) -> ProcessorCosts:
    """Measure the processor time of each unit of work.

    Some units are measured with small and with large state. The difference
    gives the increase for each additional item.

    Parameters
    ----------
    size : DesignSize
        Design size, at which the large state is measured.
    message : float
        Processor seconds of one message on a link.
    """
    small = _make_linked_membership(size, _SMALL_NODE_COUNT)
    large = _make_linked_membership(size, size.nodes)
    tick_small = time_call(lambda: _tick(small))
    tick_large = time_call(lambda: _tick(large))
    tick_member = (tick_large - tick_small) / (size.nodes - _SMALL_NODE_COUNT)
    join = _time_join(make_draft(_BASE_COUNT, _BASE_COUNT, _BASE_COUNT))
    return ProcessorCosts(
        baseline=time_call(_change_dictionary) / _DICTIONARY_OPERATIONS,
        tick=tick_small - _SMALL_NODE_COUNT * tick_member,
        tick_member=tick_member,
        wallet_tick=_time_token_cache_tick(size),
        fleet_update=_time_holder_update(size),
        record=_time_records(size) / size.nodes,
        confirm=_time_reporter_selection(size) / size.nodes_per_data_centre,
        join=join,
        join_key=_time_added_entry(
            make_draft(_BASE_COUNT, _BASE_COUNT + _ADDED_COUNT, _BASE_COUNT),
            join,
        ),
        join_organisation=_time_added_entry(
            make_draft(_BASE_COUNT + _ADDED_COUNT, _BASE_COUNT, _BASE_COUNT),
            join,
        ),
        join_route=_time_added_entry(
            make_draft(_BASE_COUNT, _BASE_COUNT, _BASE_COUNT + _ADDED_COUNT),
            join,
        ),
        message=message,
    )


def time_call(action: Callable[[], object]) -> float:
    """Time several calls of an action; return the least processor seconds."""
    times = []
    for _ in range(_REPEATS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)


def list_records(size: DesignSize, count: int) -> tuple[MemberRecord, ...]:
    """Return sample member records of a number of nodes."""
    return tuple(
        make_record(number, size.data_centres, size.services)
        for number in range(count)
    )


def _change_dictionary() -> None:
    entries: dict[int, int] = {}
    for step in range(_DICTIONARY_OPERATIONS):
        entries[step] = step
        entries.pop(step)


def _make_linked_membership(size: DesignSize, count: int) -> Membership:
    records = list_records(size, count)
    membership = make_membership(records[0], random.Random(1))
    membership.handle(RecordsArrived(records), 0.0)
    for peer in membership.neighbours():
        record = membership.find(peer)
        if record is not None:
            opened = PeerLinked(peer, record.address, opened_here=True)
            membership.handle(opened, 0.0)
    return membership


def _tick(membership: Membership) -> None:
    for peer in membership.neighbours():
        membership.handle(PeerHeard(peer), 0.0)
    membership.handle(MembershipTick(), 0.0)


def _time_records(size: DesignSize) -> float:
    records = list_records(size, size.nodes)
    return time_call(
        lambda: make_membership(records[0], random.Random(1)).handle(
            RecordsArrived(records), 0.0
        ),
    )


def _time_reporter_selection(size: DesignSize) -> float:
    """Time the selection of the reporter, which each node does every second."""
    near = [
        record.incarnation
        for record in list_records(size, round(size.nodes_per_data_centre))
    ]
    return time_call(lambda: rendezvous_order('confirm/region-1', near))


def _make_holder_and_cache(
    size: DesignSize, own: Incarnation
) -> tuple[Holder, TokenCache]:
    holder = make_holder(own)
    token_cache = make_token_cache(own, 'region-0')
    draft = make_draft(size.organisations, 1, 1)
    rate_limits = RateLimitsChanged(draft.organisation_by_name)
    holder.handle(rate_limits, 0.0)
    token_cache.handle(rate_limits, 0.0)
    for row in make_share_rows(size.data_centres):
        token_cache.handle(ShareRowRead(row), 0.0)
    for number in range(_ORGANISATIONS_IN_USE):
        token_cache.handle(CallWaiting(f'organisation-{number}', number), 0.0)
    return holder, token_cache


def _time_token_cache_tick(size: DesignSize) -> float:
    own = list_records(size, 1)[0].incarnation
    _, token_cache = _make_holder_and_cache(size, own)
    return (
        time_call(lambda: token_cache.handle(Tick(), 0.01))
        / _ORGANISATIONS_IN_USE
    )


def _time_holder_update(size: DesignSize) -> float:
    records = list_records(size, size.nodes)
    holder, token_cache = _make_holder_and_cache(size, records[0].incarnation)
    event = EligibleHoldersChanged(
        EligibleHolders({
            record.incarnation: record.data_centre for record in records
        }),
    )
    return time_call(
        lambda: (holder.handle(event, 0.01), token_cache.handle(event, 0.01)),
    )


def _time_join(draft: SheetDraft) -> float:
    head, content_by_digest = split_sheet(draft, 1)
    return time_call(lambda: join_sections(head, content_by_digest))


def _time_added_entry(draft: SheetDraft, small: float) -> float:
    return (_time_join(draft) - small) / _ADDED_COUNT
