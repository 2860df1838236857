"""Processor time of the aggregates, in one process and without I/O."""

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
_SMALL_FLEET: Final = 20
_SMALL: Final = 100
_MORE: Final = 2000
_WALLETS: Final = 100
_DICTIONARY_STEPS: Final = 100_000


def measure_processor_time(size: DesignSize, message: float) -> ProcessorCosts:
    """Time each piece of work at two sizes.

    Parameters
    ----------
    size : DesignSize
        Gives the larger size of the fleet.
    message : float
        Seconds for one message on a link.
    """
    small = _make_fleet(size, _SMALL_FLEET)
    large = _make_fleet(size, size.nodes)
    tick_small = time_call(lambda: _tick(small))
    tick_large = time_call(lambda: _tick(large))
    tick_member = (tick_large - tick_small) / (size.nodes - _SMALL_FLEET)
    join = _time_join(make_draft(_SMALL, _SMALL, _SMALL))
    return ProcessorCosts(
        baseline=time_call(_change_dictionary) / _DICTIONARY_STEPS,
        tick=tick_small - _SMALL_FLEET * tick_member,
        tick_member=tick_member,
        wallet_tick=_time_wallet(size),
        fleet_update=_time_fleet_update(size),
        record=_time_records(size) / size.nodes,
        confirm=_time_confirm(size) / size.nodes_per_data_centre,
        join=join,
        join_key=_grow(make_draft(_SMALL, _SMALL + _MORE, _SMALL), join),
        join_organisation=_grow(
            make_draft(_SMALL + _MORE, _SMALL, _SMALL), join
        ),
        join_route=_grow(make_draft(_SMALL, _SMALL, _SMALL + _MORE), join),
        message=message,
    )


def time_call(action: Callable[[], object]) -> float:
    """Return the least processor seconds of some calls."""
    times = []
    for _ in range(_REPEATS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)


def list_records(size: DesignSize, count: int) -> tuple[MemberRecord, ...]:
    """Return the records of some nodes."""
    return tuple(
        make_record(number, size.data_centres, size.services)
        for number in range(count)
    )


def _change_dictionary() -> None:
    found: dict[int, int] = {}
    for step in range(_DICTIONARY_STEPS):
        found[step] = step
        found.pop(step)


def _make_fleet(size: DesignSize, count: int) -> Membership:
    records = list_records(size, count)
    fleet = make_membership(records[0], random.Random(1))
    fleet.handle(RecordsArrived(records), 0.0)
    for peer in fleet.neighbours():
        record = fleet.find(peer)
        if record is not None:
            opened = PeerLinked(peer, record.address, opened_here=True)
            fleet.handle(opened, 0.0)
    return fleet


def _tick(fleet: Membership) -> None:
    for peer in fleet.neighbours():
        fleet.handle(PeerHeard(peer), 0.0)
    fleet.handle(MembershipTick(), 0.0)


def _time_records(size: DesignSize) -> float:
    records = list_records(size, size.nodes)
    return time_call(
        lambda: make_membership(records[0], random.Random(1)).handle(
            RecordsArrived(records), 0.0
        ),
    )


def _time_confirm(size: DesignSize) -> float:
    """Time what each node does each second for the confirmations."""
    near = [
        record.incarnation
        for record in list_records(size, round(size.nodes_per_data_centre))
    ]
    return time_call(lambda: rendezvous_order('confirm/region-1', near))


def _make_rates(
    size: DesignSize, own: Incarnation
) -> tuple[Holder, TokenCache]:
    holder = make_holder(own)
    wallet = make_token_cache(own, 'region-0')
    draft = make_draft(size.organisations, 1, 1)
    rates = RateLimitsChanged(draft.organisation_by_name)
    holder.handle(rates, 0.0)
    wallet.handle(rates, 0.0)
    for row in make_share_rows(size.data_centres):
        wallet.handle(ShareRowRead(row), 0.0)
    for number in range(_WALLETS):
        wallet.handle(CallWaiting(f'organisation-{number}', number), 0.0)
    return holder, wallet


def _time_wallet(size: DesignSize) -> float:
    own = list_records(size, 1)[0].incarnation
    _, wallet = _make_rates(size, own)
    return time_call(lambda: wallet.handle(Tick(), 0.01)) / _WALLETS


def _time_fleet_update(size: DesignSize) -> float:
    records = list_records(size, size.nodes)
    holder, wallet = _make_rates(size, records[0].incarnation)
    event = EligibleHoldersChanged(
        EligibleHolders({
            record.incarnation: record.data_centre for record in records
        }),
    )
    return time_call(
        lambda: (holder.handle(event, 0.01), wallet.handle(event, 0.01)),
    )


def _time_join(draft: SheetDraft) -> float:
    head, content_by_digest = split_sheet(draft, 1)
    return time_call(lambda: join_sections(head, content_by_digest))


def _grow(draft: SheetDraft, small: float) -> float:
    return (_time_join(draft) - small) / _MORE
