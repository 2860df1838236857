"""Log of received non-idempotent calls and of their outcomes."""

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

# Time for which the outcome of a call is kept. This time is longer than any
# timeout of a route. A sender that still waits for a call can therefore request
# the outcome.
RETENTION_SECONDS = 60.0
MAX_RECORDS = 20_000
# Limit on the total size of stored answer bodies: a quarter of the memory that
# a node may use for control data.
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
    """State of one sender of calls.

    ``dropped_up_to`` is the highest number of a call whose record was dropped
    or never stored. A call that has no record may have run if its number is not
    above ``dropped_up_to``. ``has_full_history`` is false when the log may have
    dropped an earlier state of this sender. ``link`` is the number of the
    newest link. ``heard_at`` is the time of the last call or new link, in
    seconds.
    """

    has_full_history: bool
    dropped_up_to: int = -1
    link: int = -1
    heard_at: float = 0.0


@dataclass(frozen=True, slots=True)
class OutcomeLogView:
    """Number of records and senders in an outcome log, and size of its bodies.

    Parameters
    ----------
    records : int
        Calls with a record. A recorded call is running, done or barred. A
        barred call had not begun when its sender requested its status; if the
        call arrives later, it is refused.
    body_bytes : int
        Size of the bodies of all recorded answers, in bytes.
    senders : int
        Senders whose state is kept.
    """

    records: int
    body_bytes: int
    senders: int


class OutcomeLog:
    """Calls that have begun at this node, by sender, and their outcomes.

    After the record of a call was dropped, the log never reports the call as
    not run and never lets the call run again.

    Parameters
    ----------
    retention : float
        Seconds for which an outcome is kept.
    max_records : int
        Limit on recorded calls.
    max_body_bytes : int
        Limit on the total size of recorded answer bodies, in bytes.
    max_senders : int
        Limit on senders whose state is kept.
    """

    def __init__(
        self,
        retention: float,
        max_records: int,
        max_body_bytes: int,
        max_senders: int,
    ) -> None:
        self._retention = retention
        self._max_records = max_records
        self._max_body_bytes = max_body_bytes
        self._max_senders = max_senders
        self._status_by_id: dict[CallId, CallStatus] = {}
        self._ended: deque[tuple[float, CallId]] = deque()
        self._sender_by_id: dict[Incarnation, _Sender] = {}
        self._sender_dropped = False
        self._bodies: deque[tuple[CallId, int]] = deque()
        self._body_bytes = 0

    def register_link(self, sender: Incarnation, link: int, now: float) -> None:
        """Register a sender's new link, which supersedes its older ones.

        Calls of a sender are accepted only on its newest registered link.
        ``max_senders`` limits the senders whose state is kept. After the state
        of a sender was dropped, its calls are rejected until the sender opens a
        new link: without the state, the log cannot tell which calls may have
        run, so a call repeated on the old link could run again.

        Parameters
        ----------
        sender : Incarnation
            Node that sends calls.
        link : int
            Number of the link, which increases with each link of that
            sender.
        now : float
            Time, in seconds.
        """
        state = self._sender_by_id.get(sender)
        if state is None:
            state = self._add_sender(sender)
        state.link = max(state.link, link)
        state.heard_at = now

    def begin(self, call_id: CallId, link: int, now: float) -> BeginResult:
        """Record an arrived call, and decide whether it may run.

        Parameters
        ----------
        call_id : CallId
            Identity of the call.
        link : int
            Number of the link on which the call arrived.
        now : float
            Time, in seconds.

        Returns
        -------
        BeginResult
            ``BEGUN`` when the call may be queued or sent to the backend server.
            With any other value, the call must not run.
        """
        self._expire(now)
        state = self._sender_by_id.get(call_id.sender)
        if state is None or link != state.link:
            return BeginResult.STALE_LINK
        state.heard_at = now
        status = self._status_by_id.get(call_id)
        if status is not None:
            barred = status.kind is CallState.BARRED
            return BeginResult.BARRED if barred else BeginResult.REPEATED
        if call_id.number <= state.dropped_up_to:
            return BeginResult.FORGOTTEN
        if not self._make_room():
            # The refusal tells the sender that this call has not run. The call
            # must therefore not run later when its frame is repeated.
            state.dropped_up_to = call_id.number
            return BeginResult.FULL
        self._status_by_id[call_id] = _RUNNING
        return BeginResult.BEGUN

    def finish(self, call_id: CallId, outcome: Outcome, now: float) -> bool:
        """Record the outcome of a call that has begun.

        Parameters
        ----------
        call_id : CallId
            Identity of the call.
        outcome : Outcome
            Outcome that the sender receives. The outcome is a refusal when the
            call was not run after all.
        now : float
            Time, in seconds.

        Returns
        -------
        bool
            True when the call was running and its outcome is now recorded.
            False when the call was not running; nothing has changed.
        """
        if self._status_by_id.get(call_id) is not _RUNNING:
            return False
        self._status_by_id[call_id] = CallStatus(CallState.DONE, outcome)
        self._ended.append((now, call_id))
        if isinstance(outcome.reply, Answer):
            self._record_body_size(call_id, len(outcome.reply.body))
        return True

    def resolve(self, call_id: CallId, now: float) -> CallStatus:
        """Return the status of a call; bar a call that has certainly not begun.

        A barred call is refused if it arrives later, so that it never runs. The
        sender may therefore retry a barred call on another node.

        Parameters
        ----------
        call_id : CallId
            Identity of the call.
        now : float
            Time, in seconds.

        Returns
        -------
        CallStatus
            Status of the call. The status is forgotten when the call has no
            record but may have run.
        """
        self._expire(now)
        status = self._status_by_id.get(call_id)
        if status is not None:
            return status
        state = self._sender_by_id.get(call_id.sender)
        if state is None or call_id.number <= state.dropped_up_to:
            return _FORGOTTEN
        if not state.has_full_history or not self._make_room():
            state.dropped_up_to = call_id.number
            return _BARRED if state.has_full_history else _FORGOTTEN
        self._status_by_id[call_id] = _BARRED
        self._ended.append((now, call_id))
        return _BARRED

    def snapshot(self) -> OutcomeLogView:
        """Return the number of records and senders, and the size of bodies."""
        return OutcomeLogView(
            len(self._status_by_id),
            self._body_bytes,
            len(self._sender_by_id),
        )

    def _add_sender(self, sender: Incarnation) -> _Sender:
        if len(self._sender_by_id) >= self._max_senders:
            self._drop_least_recent_sender()
        state = _Sender(has_full_history=not self._sender_dropped)
        self._sender_by_id[sender] = state
        return state

    def _drop_least_recent_sender(self) -> None:
        least_recent = min(
            self._sender_by_id,
            key=lambda sender: self._sender_by_id[sender].heard_at,
        )
        self._sender_by_id.pop(least_recent)
        self._sender_dropped = True

    def _expire(self, now: float) -> None:
        while self._ended and self._ended[0][0] + self._retention <= now:
            self._drop_oldest_record()

    def _make_room(self) -> bool:
        if len(self._status_by_id) < self._max_records:
            return True
        if not self._ended:
            return False
        self._drop_oldest_record()
        return True

    def _drop_oldest_record(self) -> None:
        """Drop the record of the call that ended first.

        ``dropped_up_to`` of the sender is raised to the number of the call. A
        repeat of the call then does not run.
        """
        call_id = self._ended.popleft()[1]
        self._status_by_id.pop(call_id)
        if self._bodies and self._bodies[0][0] == call_id:
            self._body_bytes -= self._bodies.popleft()[1]
        state = self._sender_by_id.get(call_id.sender)
        if state is not None:
            state.dropped_up_to = max(state.dropped_up_to, call_id.number)

    def _record_body_size(self, call_id: CallId, size: int) -> None:
        """Add the size of a body; drop the oldest bodies above the limit."""
        self._bodies.append((call_id, size))
        self._body_bytes += size
        while self._body_bytes > self._max_body_bytes:
            oldest, size_dropped = self._bodies.popleft()
            self._body_bytes -= size_dropped
            self._status_by_id[oldest] = CallStatus(
                CallState.DONE, _BODY_DROPPED
            )


def make_outcome_log(
    retention: float = RETENTION_SECONDS,
    max_records: int = MAX_RECORDS,
    max_body_bytes: int = MAX_BODY_BYTES,
    max_senders: int = MAX_SENDERS,
) -> OutcomeLog:
    """Check the parameters and return an empty outcome log.

    Parameters
    ----------
    retention : float, default=60.0
        Seconds for which an outcome is kept.
    max_records : int, default=20000
        Limit on recorded calls.
    max_body_bytes : int, default=33554432
        Limit on the total size of recorded answer bodies, in bytes.
    max_senders : int, default=10000
        Limit on senders whose state is kept.

    Raises
    ------
    ParameterError
        A limit or the retention is too small.
    """
    check_range('retention', retention, 1)
    check_range('max_records', max_records, 1)
    check_range('max_body_bytes', max_body_bytes, 0)
    check_range('max_senders', max_senders, 1)
    return OutcomeLog(retention, max_records, max_body_bytes, max_senders)
