"""Frames for calls whose body is too large for one frame.

Parts of a body alternate with the frames of other calls, so that a large body
delays neither them nor the pings of the link.
"""

from dataclasses import dataclass
from typing import Final

# Bytes of a body in one frame. The frame is a small one, which needs no
# reservation where it arrives.
BODY_PART_BYTES: Final = 61440


@dataclass(frozen=True, slots=True)
class LargeCall:
    """Call whose body follows in parts over the same link.

    Parameters
    ----------
    number : int
        Number of the call.
    body_bytes : int
        Length of the body.
    call : bytes
        Encoded ``Call`` with the same number and an empty body.
    """

    number: int
    body_bytes: int
    call: bytes


@dataclass(frozen=True, slots=True)
class BodyPart:
    """Next bytes of the body of a ``LargeCall``.

    Parameters
    ----------
    number : int
        Number of the call.
    content : bytes
        Bytes of the body.
    """

    number: int
    content: bytes
