"""Types of calls, members and errors, and parameter checks.

The other subpackages share these types and checks.
"""

from mustardshunt.base._calls import (
    MAX_CHILD_CALLS,
    MAX_DEPTH,
    MAX_RETRIES_PER_REQUEST,
    Answer,
    CallContext,
    CallId,
    CallRequest,
    Headers,
)
from mustardshunt.base._clock import Clock, RandomSource
from mustardshunt.base._errors import (
    ErrorCode,
    MustardshuntError,
    ParameterError,
)
from mustardshunt.base._identifiers import (
    Incarnation,
    VmAddress,
    make_vm_address,
    rendezvous_order,
)
from mustardshunt.base._importance import Importance
from mustardshunt.base._members import MemberRecord, MemberState
from mustardshunt.base._parameters import check_choice, check_range
from mustardshunt.base._ranking import rank_of
from mustardshunt.base._refusals import Effect, Reason, Refusal
from mustardshunt.base._revisions import NO_REVISION, Revision
from mustardshunt.base._validation import ValidationIssue, nearest_name

__all__ = [
    'MAX_CHILD_CALLS',
    'MAX_DEPTH',
    'MAX_RETRIES_PER_REQUEST',
    'NO_REVISION',
    'Answer',
    'CallContext',
    'CallId',
    'CallRequest',
    'Clock',
    'Effect',
    'ErrorCode',
    'Headers',
    'Importance',
    'Incarnation',
    'MemberRecord',
    'MemberState',
    'MustardshuntError',
    'ParameterError',
    'RandomSource',
    'Reason',
    'Refusal',
    'Revision',
    'ValidationIssue',
    'VmAddress',
    'check_choice',
    'check_range',
    'make_vm_address',
    'nearest_name',
    'rank_of',
    'rendezvous_order',
]
