"""Numbers of the frames on the wire."""

from typing import Final

from mustardshunt.node._config_sync import SectionAskFrame, SectionFrame
from mustardshunt.node._confirm_sync import VersionFrame
from mustardshunt.node._member_sync import MembersFrame
from mustardshunt.node._rate_sync import RowsAskFrame
from mustardshunt.rate import Grant, GrantAsk, HolderGone, ShareRow
from mustardshunt.sheet import SheetHead
from mustardshunt.suspects import CrashReport
from mustardshunt.transport import (
    AnswerFrame,
    CallFrame,
    CancelFrame,
    CborCodec,
    FateAskFrame,
    FateFrame,
    Hello,
    PingFrame,
    PongFrame,
    Proof,
    RefusalFrame,
)

# Numbers are never used again for another frame.
FRAME_BY_NUMBER: Final[dict[int, type]] = {
    1: Hello,
    2: Proof,
    3: PingFrame,
    4: PongFrame,
    10: CallFrame,
    11: AnswerFrame,
    12: RefusalFrame,
    13: CancelFrame,
    14: FateAskFrame,
    15: FateFrame,
    20: GrantAsk,
    21: Grant,
    22: ShareRow,
    23: RowsAskFrame,
    24: HolderGone,
    30: SheetHead,
    31: SectionAskFrame,
    32: SectionFrame,
    33: VersionFrame,
    40: MembersFrame,
    41: CrashReport,
}


def make_codec() -> CborCodec:
    """Return the codec of all frames."""
    return CborCodec(FRAME_BY_NUMBER)
