"""Measures the sizes of frames and rows with the real codec and stores."""

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

_RECORD_COUNT: Final = 100
_TOKENS: Final = 5_714_285


class SizedTable:
    """In-memory table that records the sizes of request and answer bodies."""

    def __init__(self) -> None:
        self.platform = MemoryPlatform()
        self.listed: list[int] = []
        self.written: list[int] = []

    async def read_row(self, key: str) -> Row | None:
        """Return the row with a key, None if the table has no such row."""
        return await self.platform.read_row(key)

    async def list_rows(self, prefix: str) -> Sequence[Row]:
        """Return all rows whose key starts with a prefix, ordered by key.

        Records the size of the answer's body.
        """
        rows = await self.platform.list_rows(prefix)
        self.listed.append(len(json.dumps(encode_rows(rows))))
        return rows

    async def commit(self, writes: Sequence[Write]) -> None:
        """Write all rows in one transaction and record the size of the body."""
        bodies = [dataclasses.asdict(write) for write in writes]
        self.written.append(len(json.dumps({'writes': bodies})))
        await self.platform.commit(writes)


def measure_sizes(size: DesignSize) -> MessageSizes:
    """Encode one message and one row of each kind.

    Parameters
    ----------
    size : DesignSize
        Size that gives the numbers of data centres and services, and the
        bytes of the answers' bodies.
    """
    codec = make_codec()
    token_request = TokenRequest(
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
        for number in range(_RECORD_COUNT)
    )
    share_row = make_share_rows(size.data_centres)[0]
    table = asyncio.run(_measure_rows(size))
    head_row = Row('config/head', 530, encode_head(head))
    return MessageSizes(
        ping=len(codec.encode(PingFrame(1000))),
        record=len(codec.encode(MembersFrame(records))) / _RECORD_COUNT,
        head=len(codec.encode(head)),
        version_alone=len(codec.encode(SheetHead(head.version, {}))),
        key=_measure_entry(make_draft(100, 1100, 100), 1000),
        organisation=_measure_entry(make_draft(1100, 100, 100), 1000),
        route=_measure_entry(make_draft(100, 100, 1100), 1000),
        confirmation=len(
            codec.encode(VersionFrame({make_incarnation(1): 530}))
        ),
        share_row=len(codec.encode(share_row)),
        share_list=table.listed[0],
        head_row=len(json.dumps(encode_row(head_row))),
        vm_row=table.written[0],
        order_row=(table.written[-2] + table.written[-1]) // 2,
        ask=len(codec.encode(token_request)),
        grant=len(codec.encode(grant)),
        bare_ask=len(cbor2.dumps(_to_array(token_request))),
    )


def _measure_entry(draft: SheetDraft, added_count: int) -> float:
    """Return the bytes that one additional entry adds to the sections."""
    _, large = split_sheet(draft)
    _, small = split_sheet(make_draft(100, 100, 100))
    return (_sum_sizes(large) - _sum_sizes(small)) / added_count


def _sum_sizes(content_by_digest: dict[str, bytes]) -> int:
    return sum(len(content) for content in content_by_digest.values())


def _to_array(frame: TokenRequest) -> list[object]:
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
    """Write a VM row, share rows and an order, and list the share rows."""
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
