"""Large bodies of calls that arrive in parts over the link of one peer."""

from dataclasses import dataclass, replace
from typing import Final

from mustardshunt.memory import HeldPart, MemoryAccount
from mustardshunt.relay import (
    BodyPart,
    Call,
    FrameError,
    LargeBody,
    LargeCall,
    take_large_body,
    unwrap_large_call,
)

_MS_PER_SECOND: Final = 1000


@dataclass(frozen=True, slots=True)
class CompleteCall:
    """Call whose large body has arrived completely.

    Parameters
    ----------
    call : Call
        The call, without its body; its remaining time counts from now on.
    body : LargeBody
        The body. Whoever gets the call closes it.
    """

    call: Call
    body: LargeBody


@dataclass(frozen=True, slots=True)
class _ArrivingCall:
    call: Call
    body: LargeBody
    began_at: float


class ArrivingBodies:
    """Assembles the bodies of calls; none of the calls has run.

    Parameters
    ----------
    memory : MemoryAccount
        Account beside which a large body is kept.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self._memory = memory
        self._arriving_by_number: dict[int, _ArrivingCall] = {}

    def __len__(self) -> int:
        return len(self._arriving_by_number)

    def begin(self, frame: LargeCall, now: float) -> bool:
        """Begin to assemble the body of a call.

        Parameters
        ----------
        frame : LargeCall
            Announces the call. A repeated one changes nothing.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            False if there is no room; the parts are dropped then.

        Raises
        ------
        FrameError
            The frame does not contain a call without a body.
        """
        call = unwrap_large_call(frame)
        if call.number in self._arriving_by_number:
            return True
        room = self._memory.large_bodies
        body = take_large_body(room, frame.body_bytes, is_repeatable=False)
        if body is None:
            self._memory.record_refusal(HeldPart.CALLS, frame.body_bytes)
            return False
        self._arriving_by_number[call.number] = _ArrivingCall(call, body, now)
        return True

    def add(self, part: BodyPart, now: float) -> CompleteCall | None:
        """Add a part; return the call when its body is complete.

        A part of a call that is not known is dropped: the call was refused or
        cancelled.

        Raises
        ------
        FrameError
            The body is longer than announced.
        """
        arriving = self._arriving_by_number.get(part.number)
        if arriving is None:
            return None
        body = arriving.body
        if not body.append(part.content):
            raise FrameError(
                f'expected a body of {body.size} bytes, found more'
            )
        if len(body) < body.size:
            return None
        self._arriving_by_number.pop(part.number)
        elapsed_ms = int((now - arriving.began_at) * _MS_PER_SECOND)
        remaining_ms = arriving.call.remaining_ms - elapsed_ms
        return CompleteCall(
            replace(arriving.call, remaining_ms=remaining_ms), body
        )

    def drop(self, number: int) -> bool:
        """Drop the body of a call; tell whether it was arriving."""
        arriving = self._arriving_by_number.pop(number, None)
        if arriving is None:
            return False
        arriving.body.close()
        return True

    def drop_all(self) -> tuple[int, ...]:
        """Drop all bodies; return the numbers of their calls."""
        numbers = tuple(self._arriving_by_number)
        for number in numbers:
            self.drop(number)
        return numbers

    def drop_late(self, now: float) -> tuple[int, ...]:
        """Drop the bodies of calls past their deadline; return the numbers.

        Their sender cancels them, but the message may be lost.
        """
        late = tuple(
            number
            for number, arriving in self._arriving_by_number.items()
            if now - arriving.began_at
            > arriving.call.remaining_ms / _MS_PER_SECOND
        )
        for number in late:
            self.drop(number)
        return late
