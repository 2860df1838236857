"""Sample sheets, member records and share rows of a given size."""

import hashlib

from mustardshunt.base import (
    Importance,
    Incarnation,
    MemberRecord,
    MemberState,
    VmAddress,
)
from mustardshunt.rate import FULL_SHARE_PPM, PARTITIONS, ShareRow
from mustardshunt.sheet import Organisation, Route, SheetDraft

_HOLDERS_PER_DATA_CENTRE = 3


def make_incarnation(number: int) -> Incarnation:
    """Return an incarnation with the length of a real incarnation."""
    digest = hashlib.blake2b(str(number).encode(), digest_size=8)
    return Incarnation(digest.hexdigest())


def make_record(number: int, data_centres: int, services: int) -> MemberRecord:
    """Return the member record of a ready node."""
    return MemberRecord(
        make_incarnation(number),
        5,
        f'region-{number % data_centres}',
        f'service-{number % services}',
        MemberState.READY,
        VmAddress(f'10.2.{number // 250}.{number % 250}', 7000),
    )


def make_draft(organisations: int, keys: int, routes: int) -> SheetDraft:
    """Return a sheet draft with given numbers of entries.

    A draft is a sheet that operators have not accepted yet.
    """
    names = [f'organisation-{number}' for number in range(organisations)]
    organisation_by_digest = {
        hashlib.sha256(f'{number}'.encode()).hexdigest(): names[
            number % organisations
        ]
        for number in range(keys)
    }
    route_by_name = {
        f'route-{number}': Route(
            f'route-{number}',
            'GET',
            f'/service-{number}/items/*',
            f'service-{number % 46}',
            Importance.NORMAL,
            idempotent=True,
        )
        for number in range(routes)
    }
    return SheetDraft(
        {name: Organisation(name, 100.0, 100.0) for name in names},
        organisation_by_digest,
        route_by_name,
        {},
    )


def make_share_rows(data_centres: int) -> list[ShareRow]:
    """Return the share rows of all partitions, with equal shares."""
    holders = data_centres * _HOLDERS_PER_DATA_CENTRE
    return [
        ShareRow(
            partition,
            9,
            {
                make_incarnation(partition * holders + position): FULL_SHARE_PPM
                // holders
                for position in range(holders)
            },
        )
        for partition in range(PARTITIONS)
    ]
