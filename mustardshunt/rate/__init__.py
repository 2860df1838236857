"""Rights to spend each organisation's rate across the fleet."""

from mustardshunt.rate._rows import (
    ShareChange,
    ShareRow,
    decode_row,
    encode_shares,
    row_key,
)
from mustardshunt.rate._table import (
    FleetView,
    choose_reclaimer,
    first_change,
    ideal_shares,
    plan_gift,
    plan_reclaim,
)
from mustardshunt.rate._units import (
    LEASE,
    MARGIN,
    PARTITIONS,
    RECLAIM_MARGIN,
    TERM,
    TOKEN,
    WHOLE,
    partition_of,
)

__all__ = [
    'LEASE',
    'MARGIN',
    'PARTITIONS',
    'RECLAIM_MARGIN',
    'TERM',
    'TOKEN',
    'WHOLE',
    'FleetView',
    'ShareChange',
    'ShareRow',
    'choose_reclaimer',
    'decode_row',
    'encode_shares',
    'first_change',
    'ideal_shares',
    'partition_of',
    'plan_gift',
    'plan_reclaim',
    'row_key',
]
