"""Bytes of frames and of rows, from the real codec and the real stores."""

import asyncio
import dataclasses
import json
from collections.abc import Sequence
from typing import Final

import cbor2

from mustardshunt.base import Answer, CallId
from mustardshunt.measure.capacity._design_size import DesignSize
from mustardshunt.measure.capacity._measurements import MessageSizes
from mustardshunt.measure.capacity._samples import (
    make_draft,
    make_incarnation,
    make_record,
    make_share_rows,
)
from mustardshunt.node._confirm_sync import VersionFrame
from mustardshunt.node._frame_numbers import make_codec
from mustardshunt.node._member_sync import MembersFrame
from mustardshunt.rate import GrantReport, TokenGrant, TokenRequest
from mustardshunt.sheet import (
    SheetDraft,
    SheetHead,
    encode_head,
    split_sheet,
)
from mustardshunt.stores import (
    Claimed,
    IdempotencyClaim,
    IdempotencyKey,
    IdempotencyStore,
    MemoryPlatform,
    Row,
    ShareRowStore,
    StoredShareRow,
    VmRecord,
    VmRegistry,
    Write,
    encode_row,
    encode_rows,
)
from mustardshunt.transport import PingFrame

_RECORDS: Final = 100
_TOKENS: Final = 5_714_285


class SizedTable:
    """Table in memory that notes the bytes of each request's body."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        self.listed: list[int] = []
        self.written: list[int] = []

    async def read_row(self, key: str) -> Row | None:
        """Return a row, None when it is absent."""
        return await self.platform.read_row(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, by key."""
        rows = await self.platform.list_rows(prefix)
        self.listed.append(len(json.dumps(encode_rows(rows))))
        return rows

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows or none."""
        bodies = [dataclasses.asdict(write) for write in writes]
        self.written.append(len(json.dumps({'writes': bodies})))
        await self.platform.commit(writes)


def measure_sizes(size: DesignSize) -> MessageSizes:
    """Encode one of each.

    Parameters
    ----------
    size : DesignSize
        Gives the data centres and the answers' bodies.
    """
    codec = make_codec()
    ask = TokenRequest(
        make_incarnation(1),
        12_345,
        'organisation-12',
        _TOKENS,
        (GrantReport(4321, _TOKENS, 0),),
    )
    grant = TokenGrant(
        make_incarnation(2), 12_345, 'organisation-12', 4322, _TOKENS, 2.0
    )
    head, _ = split_sheet(make_draft(2, 2, 2), int(size.config_changes_per_day))
    records = tuple(
        make_record(number, size.data_centres, size.services)
        for number in range(_RECORDS)
    )
    share_row = make_share_rows(size.data_centres)[0]
    rows = asyncio.run(_measure_rows(size))
    head_row = Row('config/head', 530, encode_head(head))
    return MessageSizes(
        ping=len(codec.encode(PingFrame(1000))),
        record=len(codec.encode(MembersFrame(records))) / _RECORDS,
        head=len(codec.encode(head)),
        version_alone=len(codec.encode(SheetHead(head.version, {}))),
        key=_grow(make_draft(100, 1100, 100), 1000),
        organisation=_grow(make_draft(1100, 100, 100), 1000),
        route=_grow(make_draft(100, 100, 1100), 1000),
        confirmation=len(
            codec.encode(VersionFrame({make_incarnation(1): 530}))
        ),
        share_row=len(codec.encode(share_row)),
        share_list=rows.listed[0],
        head_row=len(json.dumps(encode_row(head_row))),
        vm_row=rows.written[0],
        order_row=(rows.written[-2] + rows.written[-1]) // 2,
        ask=len(codec.encode(ask)),
        grant=len(codec.encode(grant)),
        bare_ask=len(cbor2.dumps(_strip(ask))),
    )


def _grow(draft: SheetDraft, more: int) -> float:
    """Return the bytes that one more entry adds to the sections."""
    _, large = split_sheet(draft)
    _, small = split_sheet(make_draft(100, 100, 100))
    return (_sum_sizes(large) - _sum_sizes(small)) / more


def _sum_sizes(content_by_digest: dict[str, bytes]) -> int:
    return sum(len(content) for content in content_by_digest.values())


def _strip(frame: TokenRequest) -> list[object]:
    reports = [
        [report.grant_id, report.spent, report.returned]
        for report in frame.reports
    ]
    return [
        20,
        frame.wallet,
        frame.number,
        frame.organisation,
        frame.wanted,
        reports,
    ]


async def _measure_rows(size: DesignSize) -> SizedTable:
    """Write a node's row, all share rows and an order; list the shares."""
    table = SizedTable()
    record = make_record(1, size.data_centres, size.services)
    boot_id = '4a1b8f0c-52a2-4a9a-9a6c-0d8a3c2f1e77'
    await VmRegistry(table).write(
        VmRecord(
            record.incarnation,
            record.address,
            record.data_centre,
            record.service,
            boot_id,
            0,
        ),
    )
    shares = ShareRowStore(table, record.incarnation)
    for row in make_share_rows(size.data_centres):
        expected = StoredShareRow(row.partition, 0, {})
        await shares.compare_and_set(expected, row.share_by_holder)
    await shares.list_all()
    orders = IdempotencyStore(table)
    claimed = await orders.claim(
        IdempotencyClaim(
            IdempotencyKey('organisation-12', 'f3a9c1d2e4b5'),
            'ab' * 32,
            CallId(record.incarnation, 77),
        ),
    )
    if isinstance(claimed, Claimed):
        headers = (('content-type', 'application/json'),)
        answer = Answer(200, headers, bytes(size.answer_bytes))
        await orders.finish(claimed, answer)
    return table
