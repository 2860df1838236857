"""Tracking of calls without a result, at the node that sent the calls."""

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

# Time after which an unanswered status request counts as lost and is sent
# again. On a working link, the answer takes only a few round trips.
STATUS_REQUEST_INTERVAL_SECONDS = 1.0

_LOST = Outcome(Refusal(Reason.LINK_LOST, Effect.UNKNOWN))
_BARRED = Outcome(Refusal(Reason.LINK_LOST, Effect.NOT_RUN))


@dataclass(slots=True)
class _PendingCall:
    """A call whose result has not arrived yet.

    ``requested_at`` is the time of the last status request, in seconds. While
    the link of the call works, ``requested_at`` is None. After the link has
    failed, ``requested_at`` stays None until the first status request is sent.
    """

    link: int
    idempotent: bool
    requested_at: float | None = None


@dataclass(slots=True)
class _Peer:
    """Calls to one peer that have no result yet, and the links to the peer.

    ``link`` is the number of the working link, None while no link works.
    ``reopen_requested_at`` is the time of the last request for a new link, in
    seconds.
    """

    pending_by_id: dict[CallId, _PendingCall]
    link: int | None = None
    newest_link: int = -1
    reopen_requested_at: float | None = None


class CallTracker:
    """Calls without a result, and the status requests that resolve them.

    When the link of a call is lost, the tracker requests the status of the call
    on a new link, and the call gets its result from that status. An idempotent
    call is instead resolved as lost at once, so that it can be retried.

    Parameters
    ----------
    ask_interval : float
        Seconds after which an unanswered status request is repeated.
    """

    def __init__(self, ask_interval: float) -> None:
        self._request_interval = ask_interval
        self._peer_by_id: dict[Incarnation, _Peer] = {}
        # Number of received answers and statuses that match no tracked call. A
        # metric reports this number.
        self.unmatched_count = 0

    def __len__(self) -> int:
        return sum(
            len(peer.pending_by_id) for peer in self._peer_by_id.values()
        )

    def handle(
        self, event: CallTrackerEvent, now: float
    ) -> list[CallTrackerAction]:
        """Handle one event and return the actions to carry out.

        Parameters
        ----------
        event : CallTrackerEvent
            Event to handle.
        now : float
            Time, in seconds.

        Returns
        -------
        list of CallTrackerAction
            Actions, in the order in which they are to be carried out.
        """
        match event:
            case CallSent():
                return self._handle_sent(event, now)
            case AnswerArrived(call_id, peer, outcome) | CallAbandoned(
                call_id, peer, outcome
            ):
                return self._resolve(call_id, peer, outcome)
            case CallStatusArrived(call_id, peer, status):
                return self._handle_status(call_id, peer, status)
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
        pending = _PendingCall(event.link, event.idempotent)
        peer.pending_by_id[event.call_id] = pending
        if peer.link == event.link:
            return []
        # The link chosen for the call failed before the call was written to it.
        return self._request_statuses(event.peer, peer, now)

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

    def _handle_status(
        self,
        call_id: CallId,
        peer: Incarnation,
        status: CallStatus,
    ) -> list[CallTrackerAction]:
        match status.kind:
            case CallState.DONE:
                return self._resolve(call_id, peer, status.outcome or _LOST)
            case CallState.BARRED:
                return self._resolve(call_id, peer, _BARRED)
            case CallState.FORGOTTEN:
                return self._resolve(call_id, peer, _LOST)
            case CallState.RUNNING:
                self._move_to_newest_link(call_id, peer)
                return []

    def _move_to_newest_link(self, call_id: CallId, peer: Incarnation) -> None:
        """Expect the answer to a running call on the newest link."""
        state = self._peer_by_id.get(peer)
        pending = state.pending_by_id.get(call_id) if state else None
        if state is None or pending is None:
            self.unmatched_count += 1
            return
        if state.link is not None:
            pending.link = state.link
            pending.requested_at = None

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
        return self._request_statuses(peer, state, now)

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
        return self._request_statuses(peer, state, now)

    def _handle_tick(self, now: float) -> list[CallTrackerAction]:
        actions: list[CallTrackerAction] = []
        for peer, state in self._peer_by_id.items():
            if state.pending_by_id:
                actions.extend(
                    self._request_statuses(peer, state, now, repeat=True)
                )
        return actions

    def _request_statuses(
        self,
        peer: Incarnation,
        state: _Peer,
        now: float,
        *,
        repeat: bool = False,
    ) -> list[CallTrackerAction]:
        """Request the status of each call whose link no longer works.

        An idempotent call is resolved as lost instead. While no link to the
        peer works, a new link is requested first. With ``repeat``, a request is
        sent again only if the last request is at least one interval old.
        """
        due = now - self._request_interval if repeat else now
        without_link = [
            (call_id, pending)
            for call_id, pending in state.pending_by_id.items()
            if pending.link != state.link
        ]
        actions: list[CallTrackerAction] = []
        for call_id, pending in without_link:
            if pending.idempotent:
                # An idempotent call may run twice. A retry on another node is
                # faster than a status request, so no status is requested.
                state.pending_by_id.pop(call_id)
                actions.append(CallResolved(call_id, _LOST))
            elif state.link is None:
                pending.requested_at = None
            elif _is_due(pending.requested_at, due):
                pending.requested_at = now
                actions.append(RequestCallStatus(peer, state.link, call_id))
        if state.link is not None or not state.pending_by_id:
            return actions
        if _is_due(state.reopen_requested_at, due):
            state.reopen_requested_at = now
            actions.append(ReopenLink(peer))
        return actions


def _is_due(last: float | None, due: float) -> bool:
    return last is None or last <= due


def make_call_tracker(
    ask_interval: float = STATUS_REQUEST_INTERVAL_SECONDS,
) -> CallTracker:
    """Check the parameter and return an empty call tracker.

    Parameters
    ----------
    ask_interval : float, default=1.0
        Seconds after which an unanswered status request is repeated.

    Raises
    ------
    ParameterError
        ``ask_interval`` is below 0.01 s.
    """
    check_range('ask_interval', ask_interval, 0.01)
    return CallTracker(ask_interval)
