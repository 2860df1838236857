"""Numbers that identify the frame types on the wire."""

from typing import Final

from mustardshunt.node._config_sync import SectionFrame, SectionRequestFrame
from mustardshunt.node._confirm_sync import VersionFrame
from mustardshunt.node._member_sync import MembersFrame
from mustardshunt.node._rate_sync import ShareRowsRequestFrame
from mustardshunt.quarantine import CrashReport
from mustardshunt.rate import HolderGone, ShareRow, TokenGrant, TokenRequest
from mustardshunt.sheet import SheetHead
from mustardshunt.transport import (
    AnswerFrame,
    CallFrame,
    CallStatusFrame,
    CallStatusRequestFrame,
    CancelFrame,
    CborCodec,
    Hello,
    PingFrame,
    PongFrame,
    Proof,
    RefusalFrame,
)

# The number of a removed frame type is never given to another frame type.
FRAME_BY_NUMBER: Final[dict[int, type]] = {
    1: Hello,
    2: Proof,
    3: PingFrame,
    4: PongFrame,
    10: CallFrame,
    11: AnswerFrame,
    12: RefusalFrame,
    13: CancelFrame,
    14: CallStatusRequestFrame,
    15: CallStatusFrame,
    20: TokenRequest,
    21: TokenGrant,
    22: ShareRow,
    23: ShareRowsRequestFrame,
    24: HolderGone,
    30: SheetHead,
    31: SectionRequestFrame,
    32: SectionFrame,
    33: VersionFrame,
    40: MembersFrame,
    41: CrashReport,
}


def make_codec() -> CborCodec:
    """Return a CBOR codec for all frame types that nodes exchange."""
    return CborCodec(FRAME_BY_NUMBER)
