"""The sheet: a versioned table that operators accept.

The sheet lists organisations, their keys, routes and data centres. The planner
exports it as a file. The platform stores each accepted version as a head
(version and digests) and as sections.
"""

from mustardshunt.sheet._columns import (
    MAX_ROUTE_TIMEOUT_SECONDS,
    OPEN_ORGANISATION,
)
from mustardshunt.sheet._compare import SheetChange, compare_sheets
from mustardshunt.sheet._edits import (
    issue_key,
    merge_export,
    revoke_key,
    set_data_centre,
)
from mustardshunt.sheet._format import format_sheet
from mustardshunt.sheet._model import (
    Access,
    DataCentreState,
    Organisation,
    Route,
    Sheet,
    SheetDraft,
    SheetEdits,
    digest_key,
)
from mustardshunt.sheet._parse import parse_sheet
from mustardshunt.sheet._replica import (
    PLATFORM_SOURCE,
    ActivateSheet,
    AnnounceHead,
    FetchSection,
    HeadReceived,
    ReportRejectedHead,
    SectionArrived,
    SheetAction,
    SheetEvent,
    SheetReplica,
    make_sheet_replica,
)
from mustardshunt.sheet._sections import (
    SheetHead,
    decode_head,
    digest_content,
    encode_head,
    join_sections,
    split_sheet,
)

__all__ = [
    'MAX_ROUTE_TIMEOUT_SECONDS',
    'OPEN_ORGANISATION',
    'PLATFORM_SOURCE',
    'Access',
    'ActivateSheet',
    'AnnounceHead',
    'DataCentreState',
    'FetchSection',
    'HeadReceived',
    'Organisation',
    'ReportRejectedHead',
    'Route',
    'SectionArrived',
    'Sheet',
    'SheetAction',
    'SheetChange',
    'SheetDraft',
    'SheetEdits',
    'SheetEvent',
    'SheetHead',
    'SheetReplica',
    'compare_sheets',
    'decode_head',
    'digest_content',
    'digest_key',
    'encode_head',
    'format_sheet',
    'issue_key',
    'join_sections',
    'make_sheet_replica',
    'merge_export',
    'parse_sheet',
    'revoke_key',
    'set_data_centre',
    'split_sheet',
]
