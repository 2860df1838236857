"""Unresolved calls at the sender."""

from dataclasses import dataclass

from mustardshunt.base import (
    CallId,
    Effect,
    Incarnation,
    Reason,
    Refusal,
    check_range,
)
from mustardshunt.outcomes._events import (
    AnswerArrived,
    CallAbandoned,
    CallResolved,
    CallSent,
    CallStatusArrived,
    CallTrackerAction,
    CallTrackerEvent,
    CallTrackerTick,
    LinkFailed,
    LinkOpened,
    PeerGone,
    ReopenLink,
    RequestCallStatus,
)
from mustardshunt.outcomes._model import CallState, CallStatus, Outcome

# A question on a link that works is answered within a few round trips.
STATUS_REQUEST_INTERVAL_SECONDS = 1.0

_LOST = Outcome(Refusal(Reason.LINK_LOST, Effect.UNKNOWN))
_BARRED = Outcome(Refusal(Reason.LINK_LOST, Effect.NOT_RUN))


@dataclass(slots=True)
class _Pending:
    """A call without a result; ``asked`` is None while its link works."""

    link: int
    idempotent: bool
    asked: float | None = None


@dataclass(slots=True)
class _Peer:
    """Calls at one peer; ``link`` is None while no link works."""

    pending_by_id: dict[CallId, _Pending]
    link: int | None = None
    newest_link: int = -1
    link_wanted: float | None = None


class CallTracker:
    """Which calls have no result yet, on which link, and what to ask.

    Parameters
    ----------
    ask_interval : float
        Seconds after which a question is repeated.
    """

    def __init__(self, ask_interval: float) -> None:
        self._ask_interval = ask_interval
        self._peer_by_id: dict[Incarnation, _Peer] = {}
        # Answers and fates that found no call, for a metric.
        self.unmatched_count = 0

    def __len__(self) -> int:
        return sum(
            len(peer.pending_by_id) for peer in self._peer_by_id.values()
        )

    def handle(
        self, event: CallTrackerEvent, now: float
    ) -> list[CallTrackerAction]:
        """Take one event and return what to do.

        Parameters
        ----------
        event : CallTrackerEvent
            What has happened.
        now : float
            Time, in seconds.
        """
        match event:
            case CallSent():
                return self._handle_sent(event, now)
            case AnswerArrived(call_id, peer, outcome) | CallAbandoned(
                call_id, peer, outcome
            ):
                return self._resolve(call_id, peer, outcome)
            case CallStatusArrived(call_id, peer, fate):
                return self._handle_fate(call_id, peer, fate)
            case LinkOpened(peer, link):
                return self._handle_link_opened(peer, link, now)
            case LinkFailed(peer, link):
                return self._handle_link_failed(peer, link, now)
            case PeerGone(peer):
                gone = self._peer_by_id.pop(peer, None)
                lost = gone.pending_by_id if gone else ()
                return [CallResolved(call_id, _LOST) for call_id in lost]
            case CallTrackerTick():
                return self._handle_tick(now)

    def _find_peer(self, peer: Incarnation) -> _Peer:
        state = self._peer_by_id.get(peer)
        if state is None:
            state = _Peer({})
            self._peer_by_id[peer] = state
        return state

    def _handle_sent(
        self, event: CallSent, now: float
    ) -> list[CallTrackerAction]:
        peer = self._find_peer(event.peer)
        pending = _Pending(event.link, event.idempotent)
        peer.pending_by_id[event.call_id] = pending
        if peer.link == event.link:
            return []
        # The link failed before the call was written to it.
        return self._question(event.peer, peer, now)

    def _resolve(
        self,
        call_id: CallId,
        peer: Incarnation,
        outcome: Outcome,
    ) -> list[CallTrackerAction]:
        state = self._peer_by_id.get(peer)
        if state is None or state.pending_by_id.pop(call_id, None) is None:
            self.unmatched_count += 1
            return []
        return [CallResolved(call_id, outcome)]

    def _handle_fate(
        self,
        call_id: CallId,
        peer: Incarnation,
        fate: CallStatus,
    ) -> list[CallTrackerAction]:
        match fate.kind:
            case CallState.DONE:
                return self._resolve(call_id, peer, fate.outcome or _LOST)
            case CallState.BARRED:
                return self._resolve(call_id, peer, _BARRED)
            case CallState.FORGOTTEN:
                return self._resolve(call_id, peer, _LOST)
            case CallState.RUNNING:
                self._attach(call_id, peer)
                return []

    def _attach(self, call_id: CallId, peer: Incarnation) -> None:
        """Wait for the answer, which comes on the newest link."""
        state = self._peer_by_id.get(peer)
        pending = state.pending_by_id.get(call_id) if state else None
        if state is None or pending is None:
            self.unmatched_count += 1
            return
        if state.link is not None:
            pending.link = state.link
            pending.asked = None

    def _handle_link_opened(
        self,
        peer: Incarnation,
        link: int,
        now: float,
    ) -> list[CallTrackerAction]:
        state = self._find_peer(peer)
        if link <= state.newest_link:
            return []
        state.link = link
        state.newest_link = link
        return self._question(peer, state, now)

    def _handle_link_failed(
        self,
        peer: Incarnation,
        link: int,
        now: float,
    ) -> list[CallTrackerAction]:
        state = self._find_peer(peer)
        if state.link != link:
            return []
        state.link = None
        return self._question(peer, state, now)

    def _handle_tick(self, now: float) -> list[CallTrackerAction]:
        actions: list[CallTrackerAction] = []
        for peer, state in self._peer_by_id.items():
            if state.pending_by_id:
                actions.extend(self._question(peer, state, now, repeat=True))
        return actions

    def _question(
        self,
        peer: Incarnation,
        state: _Peer,
        now: float,
        *,
        repeat: bool = False,
    ) -> list[CallTrackerAction]:
        """Ask for every call whose link is not the one that works."""
        due = now - self._ask_interval if repeat else now
        astray = [
            (call_id, pending)
            for call_id, pending in state.pending_by_id.items()
            if pending.link != state.link
        ]
        actions: list[CallTrackerAction] = []
        for call_id, pending in astray:
            if pending.idempotent:
                # A repeat elsewhere is quicker than an answer from here.
                state.pending_by_id.pop(call_id)
                actions.append(CallResolved(call_id, _LOST))
            elif state.link is None:
                pending.asked = None
            elif _is_due(pending.asked, due):
                pending.asked = now
                actions.append(RequestCallStatus(peer, state.link, call_id))
        if state.link is not None or not state.pending_by_id:
            return actions
        if _is_due(state.link_wanted, due):
            state.link_wanted = now
            actions.append(ReopenLink(peer))
        return actions


def _is_due(last: float | None, due: float) -> bool:
    return last is None or last <= due


def make_call_tracker(
    ask_interval: float = STATUS_REQUEST_INTERVAL_SECONDS,
) -> CallTracker:
    """Return an empty tracker after a check of its parameter.

    Parameters
    ----------
    ask_interval : float, default=1.0
        Seconds after which a question is repeated.
    """
    check_range('ask_interval', ask_interval, 0.01)
    return CallTracker(ask_interval)
