"""Calls from one process of another node, over all of its links."""

from collections import OrderedDict
from typing import Final

from mustardshunt.base import Reason
from mustardshunt.memory import HeldPart, MemoryAccount
from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendServerStatusUpdate,
    BodyPart,
    Call,
    FailureKind,
    FrameStream,
    LargeBody,
    LargeCall,
    NotRun,
)
from mustardshunt.sidecar._arriving_bodies import ArrivingBodies
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._waiting_calls import CallResult
from mustardshunt.upstream import AdmissionRequest

# Largest total size of the call results stored for one sending node. The
# results of the last few seconds fit into this size.
MAX_STORED_RESULT_BYTES: Final = 262144
STORED_RESULT_STEP_BYTES: Final = 16384
_FRAME_OVERHEAD_BYTES: Final = 200


class PeerSession:
    """Calls from one process of another node, over all of its links.

    Stores results, so that a sender whose link was lost can request the
    statuses of its calls on the next link.

    Parameters
    ----------
    incarnation : str
        Identifier of the process of the sending node.
    callee : Callee
        Runs the calls.
    memory : MemoryAccount
        Account to which stored results are charged.
    is_complete : bool
        Whether the session knows all calls that the process has sent, including
        the calls on earlier links.
    """

    def __init__(
        self,
        incarnation: str,
        callee: Callee,
        memory: MemoryAccount,
        is_complete: bool = True,
    ) -> None:
        self.incarnation = incarnation
        self._is_complete = is_complete
        self.stream: FrameStream | None = None
        self.link = 0
        self._callee = callee
        self._ticket_by_number: dict[int, AdmissionRequest] = {}
        # Results stay stored after they are sent, because a sent result may not
        # arrive if its link is lost.
        self._result_by_number: OrderedDict[int, CallResult] = OrderedDict()
        self._stored = memory.open(HeldPart.RESULTS)
        self._stored_bytes = 0
        self._highest_number = 0
        self._barred_numbers: set[int] = set()
        self._arriving = ArrivingBodies(memory)
        # Bodies of calls that the callee has accepted.
        self._large_body_by_number: dict[int, LargeBody] = {}

    @property
    def name(self) -> str:
        """Name of the sending node."""
        return self.incarnation.rpartition('-')[0]

    @property
    def has_arriving(self) -> bool:
        """Whether a call has begun to arrive and its body is incomplete."""
        return bool(self._arriving)

    def deliver(self, number: int, frame: CallResult) -> None:
        """Store the result of a call, and send it if a link is open.

        An answer for which the link has no room is lost: the call has run.
        """
        self._ticket_by_number.pop(number, None)
        if self._large_body_by_number:
            self._close_body(number)
        stream = self.stream
        if (
            stream is not None
            and isinstance(frame, Answered)
            and not stream.can_send(_result_bytes(frame))
        ):
            frame = AnswerLost(number, FailureKind.NO_MEMORY.value)
        self._store_result(number, frame)
        if stream is not None:
            stream.send(frame)

    def update_status(self, update: BackendServerStatusUpdate) -> None:
        """Send the status of the backend server if a link is open."""
        if self.stream is not None:
            self.stream.send(update)

    def start(self, call: Call) -> None:
        """Run a call, unless its sender was told that the call has not run."""
        if call.number in self._barred_numbers:
            return
        self._highest_number = max(self._highest_number, call.number)
        ticket = self._callee.accept(call, self)
        if ticket is not None:
            self._ticket_by_number[call.number] = ticket

    def start_large(self, frame: LargeCall, now: float) -> None:
        """Begin a call whose body follows, or refuse it without room.

        Raises
        ------
        FrameError
            The frame does not contain a call without a body.
        """
        if frame.number in self._barred_numbers:
            return
        self._highest_number = max(self._highest_number, frame.number)
        if not self._arriving.begin(frame, now):
            self.refuse(frame.number)

    def add_part(self, part: BodyPart, now: float) -> None:
        """Add a part of a body, and run its call if the body is complete.

        Raises
        ------
        FrameError
            The body is longer than announced.
        """
        complete = self._arriving.add(part, now)
        if complete is None:
            return
        self._large_body_by_number[part.number] = complete.body
        ticket = self._callee.accept(complete.call, self, complete.body)
        if ticket is not None:
            self._ticket_by_number[part.number] = ticket

    def lose_link(self) -> None:
        """Report calls whose bodies are incomplete as not run.

        Must be called when a link is lost or replaced: the sender sends the
        rest of a body on no other link, and requests the status of the call.
        """
        self.stream = None
        self._refuse_all(self._arriving.drop_all(), Reason.LINK_LOST)

    def check(self, now: float) -> None:
        """Report calls as not run whose bodies are late.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        late = self._arriving.drop_late(now)
        self._refuse_all(late, Reason.DEADLINE_EXCEEDED)

    def refuse(self, number: int) -> None:
        """Refuse a call whose body this node had no room for."""
        self._highest_number = max(self._highest_number, number)
        self.deliver(number, NotRun(number, Reason.OVERLOADED.value, -1, 0))

    def cancel(self, number: int) -> None:
        """Cancel a call for which its sender no longer waits."""
        if self._arriving.drop(number):
            return
        ticket = self._ticket_by_number.pop(number, None)
        if ticket is not None:
            self._callee.cancel(ticket, 'sender no longer waits')
        self._close_body(number)

    def report_call_statuses(self, numbers: tuple[int, ...]) -> None:
        """Send the results of requested calls and cancel all other calls.

        The result of a requested call that still runs is sent when it ends.

        Parameters
        ----------
        numbers : tuple of int
            Numbers of the calls for which the sender waits.
        """
        requested_numbers = set(numbers)
        self._refuse_all(self._arriving.drop_all(), Reason.LINK_LOST)
        for number in numbers:
            if number in self._ticket_by_number:
                continue
            result = self._result_by_number.get(number)
            self.deliver(number, result or self._result_of_unknown_call(number))
        for number in list(self._ticket_by_number):
            if number not in requested_numbers:
                self.cancel(number)

    def cancel_all(self) -> None:
        """Cancel all calls of a sender that has not reconnected in time."""
        self._arriving.drop_all()
        for number in list(self._ticket_by_number):
            self.cancel(number)
        self._result_by_number.clear()
        self._stored_bytes = 0
        self._stored.clear()

    def _refuse_all(self, numbers: tuple[int, ...], reason: Reason) -> None:
        for number in numbers:
            self.deliver(number, NotRun(number, reason.value, -1, 0))

    def _close_body(self, number: int) -> None:
        body = self._large_body_by_number.pop(number, None)
        if body is not None:
            body.close()

    def _result_of_unknown_call(self, number: int) -> CallResult:
        if number <= self._highest_number or not self._is_complete:
            return AnswerLost(number, 'the answer is no longer known')
        # Calls arrive in the order of their numbers, so this call has not
        # arrived yet. Its number is barred: the sender is told that the call
        # has not run, so the call must not run if its frame arrives later.
        self._barred_numbers.add(number)
        return NotRun(number, Reason.LINK_LOST.value, -1, 0)

    def _store_result(self, number: int, frame: CallResult) -> None:
        replaced = self._result_by_number.pop(number, None)
        if replaced is not None:
            self._stored_bytes -= _result_bytes(replaced)
        size = _result_bytes(frame)
        if size > MAX_STORED_RESULT_BYTES:
            # It would not fit, however many other results were discarded.
            return
        self._stored_bytes += size
        self._result_by_number[number] = frame
        while not self._has_room():
            _, oldest = self._result_by_number.popitem(last=False)
            self._stored_bytes -= _result_bytes(oldest)

    def _has_room(self) -> bool:
        if self._stored_bytes <= self._stored.held or not self._stored_bytes:
            return True
        if self._stored_bytes > MAX_STORED_RESULT_BYTES:
            return False
        # Charged in steps, since most results take a few hundred bytes.
        step = STORED_RESULT_STEP_BYTES
        steps = -(-self._stored_bytes // step)
        return self._stored.reserve(steps * step)


def _result_bytes(frame: CallResult) -> int:
    if isinstance(frame, Answered):
        return _FRAME_OVERHEAD_BYTES + len(frame.head) + len(frame.body)
    return _FRAME_OVERHEAD_BYTES
