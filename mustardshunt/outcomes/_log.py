"""Record of non-idempotent calls at the callee's node."""

from collections import deque
from dataclasses import dataclass

from mustardshunt.base import (
    Answer,
    CallId,
    Effect,
    Incarnation,
    Reason,
    Refusal,
    check_range,
)
from mustardshunt.outcomes._model import (
    BeginResult,
    CallState,
    CallStatus,
    Outcome,
)

# Longer than any timeout of a route, so that a sender that still waits finds
# its outcome.
RETENTION_SECONDS = 60.0
MAX_RECORDS = 20_000
# A quarter of the memory that a node may use for control.
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_SENDERS = 10_000

_RUNNING = CallStatus(CallState.RUNNING)
_BARRED = CallStatus(CallState.BARRED)
_FORGOTTEN = CallStatus(CallState.FORGOTTEN)
_BODY_DROPPED = Outcome(
    Refusal(Reason.DUPLICATE, Effect.RAN, 'the answer is no longer kept'),
)


@dataclass(slots=True)
class _Sender:
    """What is known of one sender.

    ``floor`` is the highest number whose record was dropped. ``complete`` is
    false when an earlier state of this sender may have been dropped.
    """

    complete: bool
    floor: int = -1
    link: int = -1
    heard: float = 0.0


@dataclass(frozen=True, slots=True)
class OutcomeLogView:
    """Size of the log.

    Parameters
    ----------
    records : int
        Calls that are running, done or barred.
    body_bytes : int
        Bytes of the answers' bodies.
    senders : int
        Senders with a floor.
    """

    records: int
    body_bytes: int
    senders: int


class OutcomeLog:
    """Which calls of which sender have begun, and how they ended.

    Parameters
    ----------
    memory : float
        Seconds for which an outcome is kept.
    max_records : int
        Calls that are remembered at most.
    max_body_bytes : int
        Bytes of answers that are kept at most.
    max_senders : int
        Senders whose floor is kept at most.
    """

    def __init__(
        self,
        memory: float,
        max_records: int,
        max_body_bytes: int,
        max_senders: int,
    ) -> None:
        self._memory = memory
        self._max_records = max_records
        self._max_body_bytes = max_body_bytes
        self._max_senders = max_senders
        self._fate_by_id: dict[CallId, CallStatus] = {}
        self._ended: deque[tuple[float, CallId]] = deque()
        self._sender_by_id: dict[Incarnation, _Sender] = {}
        self._sender_dropped = False
        self._bodies: deque[tuple[CallId, int]] = deque()
        self._body_bytes = 0

    def register_link(self, sender: Incarnation, link: int, now: float) -> None:
        """Note a sender's link, which supersedes its older ones.

        Frames count only after this. A sender that was dropped for want of
        room is not heard until it opens a new link, because its floor is not
        known any more.

        Parameters
        ----------
        sender : Incarnation
            Sender of calls.
        link : int
            Number of the link, rising with each link of that sender.
        now : float
            Time, in seconds.
        """
        state = self._sender_by_id.get(sender)
        if state is None:
            state = self._add_sender(sender)
        state.link = max(state.link, link)
        state.heard = now

    def begin(self, call_id: CallId, link: int, now: float) -> BeginResult:
        """Record a call before it is queued or sent to the backend server.

        Parameters
        ----------
        call_id : CallId
            Identity of the call.
        link : int
            Link on which it came.
        now : float
            Time, in seconds.

        Returns
        -------
        BeginResult
            Only after ``BEGUN`` may the call go on.
        """
        self._expire(now)
        state = self._sender_by_id.get(call_id.sender)
        if state is None or link != state.link:
            return BeginResult.STALE_LINK
        state.heard = now
        fate = self._fate_by_id.get(call_id)
        if fate is not None:
            barred = fate.kind is CallState.BARRED
            return BeginResult.BARRED if barred else BeginResult.REPEATED
        if call_id.number <= state.floor:
            return BeginResult.FORGOTTEN
        if not self._has_room():
            # The floor keeps the refusal true for a late repeat.
            state.floor = call_id.number
            return BeginResult.FULL
        self._fate_by_id[call_id] = _RUNNING
        return BeginResult.BEGUN

    def finish(self, call_id: CallId, outcome: Outcome, now: float) -> bool:
        """Record how a begun call ended.

        Parameters
        ----------
        call_id : CallId
            Identity of the call.
        outcome : Outcome
            What goes to the sender; a refusal when it did not run after all.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            False when the call is not running, and nothing changes.
        """
        if self._fate_by_id.get(call_id) is not _RUNNING:
            return False
        self._fate_by_id[call_id] = CallStatus(CallState.DONE, outcome)
        self._ended.append((now, call_id))
        if isinstance(outcome.reply, Answer):
            self._keep_body(call_id, len(outcome.reply.body))
        return True

    def resolve(self, call_id: CallId, now: float) -> CallStatus:
        """Tell the fate of a call; one that was never seen is barred.

        Parameters
        ----------
        call_id : CallId
            Identity of the call.
        now : float
            Time, in seconds.
        """
        self._expire(now)
        fate = self._fate_by_id.get(call_id)
        if fate is not None:
            return fate
        state = self._sender_by_id.get(call_id.sender)
        if state is None or call_id.number <= state.floor:
            return _FORGOTTEN
        if not state.complete or not self._has_room():
            state.floor = call_id.number
            return _BARRED if state.complete else _FORGOTTEN
        self._fate_by_id[call_id] = _BARRED
        self._ended.append((now, call_id))
        return _BARRED

    def snapshot(self) -> OutcomeLogView:
        """Return the size of the log."""
        return OutcomeLogView(
            len(self._fate_by_id),
            self._body_bytes,
            len(self._sender_by_id),
        )

    def _add_sender(self, sender: Incarnation) -> _Sender:
        if len(self._sender_by_id) >= self._max_senders:
            self._drop_quietest_sender()
        state = _Sender(complete=not self._sender_dropped)
        self._sender_by_id[sender] = state
        return state

    def _drop_quietest_sender(self) -> None:
        quietest = min(
            self._sender_by_id,
            key=lambda sender: self._sender_by_id[sender].heard,
        )
        self._sender_by_id.pop(quietest)
        self._sender_dropped = True

    def _expire(self, now: float) -> None:
        while self._ended and self._ended[0][0] + self._memory <= now:
            self._drop_oldest()

    def _has_room(self) -> bool:
        if len(self._fate_by_id) < self._max_records:
            return True
        if not self._ended:
            return False
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        """Drop the call that ended first, and let the floor stand for it."""
        call_id = self._ended.popleft()[1]
        self._fate_by_id.pop(call_id)
        if self._bodies and self._bodies[0][0] == call_id:
            self._body_bytes -= self._bodies.popleft()[1]
        state = self._sender_by_id.get(call_id.sender)
        if state is not None:
            state.floor = max(state.floor, call_id.number)

    def _keep_body(self, call_id: CallId, size: int) -> None:
        """Count a body; the oldest are dropped beyond the bound."""
        self._bodies.append((call_id, size))
        self._body_bytes += size
        while self._body_bytes > self._max_body_bytes:
            oldest, freed = self._bodies.popleft()
            self._body_bytes -= freed
            self._fate_by_id[oldest] = CallStatus(CallState.DONE, _BODY_DROPPED)


def make_outcome_log(
    retention: float = RETENTION_SECONDS,
    max_records: int = MAX_RECORDS,
    max_body_bytes: int = MAX_BODY_BYTES,
    max_senders: int = MAX_SENDERS,
) -> OutcomeLog:
    """Return an empty log after a check of its parameters.

    Parameters
    ----------
    retention : float, default=60.0
        Seconds for which an outcome is kept.
    max_records : int, default=20000
        Calls that are remembered at most.
    max_body_bytes : int, default=33554432
        Bytes of answers that are kept at most.
    max_senders : int, default=10000
        Senders whose floor is kept at most.
    """
    check_range('retention', retention, 1)
    check_range('max_records', max_records, 1)
    check_range('max_body_bytes', max_body_bytes, 0)
    check_range('max_senders', max_senders, 1)
    return OutcomeLog(retention, max_records, max_body_bytes, max_senders)
