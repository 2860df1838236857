"""Group membership: member records, failure detection and gossip."""

from mustardshunt.membership._check_turns import (
    CHECK_INTERVAL_SECONDS,
    CheckTurns,
)
from mustardshunt.membership._data_centre_watch import DataCentreWatch
from mustardshunt.membership._events import (
    CloseLink,
    MemberChanged,
    MembershipAction,
    MembershipEvent,
    MembershipTick,
    OpenLink,
    OwnStateChanged,
    PeerHeard,
    PeerLinked,
    PeerUnlinked,
    PingPeer,
    RecordsArrived,
    SendRecords,
)
from mustardshunt.membership._follower_role import (
    REPORT_TIMEOUT_SECONDS,
    FollowerRole,
)
from mustardshunt.membership._members import MembershipSnapshot
from mustardshunt.membership._membership import Membership, make_membership
from mustardshunt.membership._ring import record_order
from mustardshunt.membership._search import AddressSearch, make_address_search

__all__ = [
    'CHECK_INTERVAL_SECONDS',
    'REPORT_TIMEOUT_SECONDS',
    'AddressSearch',
    'CheckTurns',
    'CloseLink',
    'DataCentreWatch',
    'FollowerRole',
    'MemberChanged',
    'Membership',
    'MembershipAction',
    'MembershipEvent',
    'MembershipSnapshot',
    'MembershipTick',
    'OpenLink',
    'OwnStateChanged',
    'PeerHeard',
    'PeerLinked',
    'PeerUnlinked',
    'PingPeer',
    'RecordsArrived',
    'SendRecords',
    'make_address_search',
    'make_membership',
    'record_order',
]
