"""Stores of sheets, VMs, shares and idempotency records on the platform.

The platform offers a table service and an object store.
"""

from mustardshunt.stores._config import ConfigStore
from mustardshunt.stores._config_rows import VmView
from mustardshunt.stores._confirmations import Confirmation, ConfirmationStore
from mustardshunt.stores._group_commit import (
    GroupCommitTable,
    make_group_commit_table,
)
from mustardshunt.stores._http import (
    HttpObjectStore,
    HttpTableService,
    PlatformSession,
    make_platform_session,
)
from mustardshunt.stores._idempotency_records import (
    AlreadyClaimed,
    Claimed,
    ClaimOutcome,
    IdempotencyClaim,
    IdempotencyStore,
    RequestMismatch,
)
from mustardshunt.stores._idempotency_rows import (
    IdempotencyKey,
    IdempotencyRecord,
    IdempotencyState,
)
from mustardshunt.stores._memory import (
    MemoryPlatform,
    PlatformBehaviour,
    PlatformCounters,
    PlatformMode,
)
from mustardshunt.stores._protocols import (
    ConflictError,
    ObjectStore,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Row,
    TableService,
    Write,
)
from mustardshunt.stores._shares import (
    FULL_SHARE_PPM,
    CommitOutcome,
    ShareRowStore,
    StoredShareRow,
)
from mustardshunt.stores._sheet_commit import AcceptResult, SheetConflictError
from mustardshunt.stores._verified_writes import commit_verified
from mustardshunt.stores._vms import VmLease, VmRecord, VmRegistry
from mustardshunt.stores._wire import (
    decode_writes,
    encode_row,
    encode_rows,
    parse_body,
)

__all__ = [
    'FULL_SHARE_PPM',
    'AcceptResult',
    'AlreadyClaimed',
    'ClaimOutcome',
    'Claimed',
    'CommitOutcome',
    'ConfigStore',
    'Confirmation',
    'ConfirmationStore',
    'ConflictError',
    'GroupCommitTable',
    'HttpObjectStore',
    'HttpTableService',
    'IdempotencyClaim',
    'IdempotencyKey',
    'IdempotencyRecord',
    'IdempotencyState',
    'IdempotencyStore',
    'MemoryPlatform',
    'ObjectStore',
    'OutcomeUnknownError',
    'PlatformBehaviour',
    'PlatformCounters',
    'PlatformMode',
    'PlatformSession',
    'PlatformUnavailableError',
    'RequestMismatch',
    'Row',
    'ShareRowStore',
    'SheetConflictError',
    'StoredShareRow',
    'TableService',
    'VmLease',
    'VmRecord',
    'VmRegistry',
    'VmView',
    'Write',
    'commit_verified',
    'decode_writes',
    'encode_row',
    'encode_rows',
    'make_group_commit_table',
    'make_platform_session',
    'parse_body',
]
