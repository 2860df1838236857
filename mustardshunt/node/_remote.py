"""Sends calls to other nodes and waits for their outcomes."""

import asyncio
from collections.abc import Iterable
from typing import Final

from mustardshunt.base import (
    CallContext,
    CallId,
    CallRequest,
    Clock,
    Effect,
    Incarnation,
    Reason,
    Refusal,
)
from mustardshunt.node._call_frames import make_call_frame, read_reply_frame
from mustardshunt.outcomes import (
    AnswerArrived,
    CallAbandoned,
    CallResolved,
    CallSent,
    CallStatus,
    CallStatusArrived,
    CallTracker,
    CallTrackerAction,
    CallTrackerTick,
    LinkFailed,
    LinkOpened,
    Outcome,
    PeerGone,
    RequestCallStatus,
)
from mustardshunt.routing import Target
from mustardshunt.transport import (
    AnswerFrame,
    CallStatusFrame,
    CallStatusRequestFrame,
    CancelFrame,
    Link,
    LinkPool,
    RefusalFrame,
)

# When no link to a peer opens within this time, the call is not sent.
OPEN_LINK_TIMEOUT_SECONDS: Final = 0.25
# The sender waits this long after the deadline of a call. The callee refuses a
# queued call within one tick after the deadline, with the effect "not run". A
# sender that did not wait could report only the effect "unknown".
DEADLINE_GRACE_SECONDS: Final = 0.15

_CANCELLED_OUTCOME: Final = Outcome(Refusal(Reason.CANCELLED, Effect.UNKNOWN))
_NOT_SENT_OUTCOME: Final = Outcome(Refusal(Reason.LINK_LOST, Effect.NOT_RUN))


class RemoteCalls:
    """Sends calls to other nodes, and gives each call exactly one outcome.

    Parameters
    ----------
    links : LinkPool
        Links of this node.
    tracker : CallTracker
        Decides how calls end, and when to request the status of calls whose
        link was lost.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        links: LinkPool,
        tracker: CallTracker,
        clock: Clock,
    ) -> None:
        self._links = links
        self._tracker = tracker
        self._clock = clock
        self._future_by_id: dict[CallId, asyncio.Future[Outcome]] = {}
        self._threshold_by_call: dict[CallId, int] = {}

    async def execute(
        self,
        context: CallContext,
        request: CallRequest,
        target: Target,
    ) -> tuple[Outcome, int | None]:
        """Send a call to a member and wait for its outcome.

        Parameters
        ----------
        context : CallContext
            Context of the call.
        request : CallRequest
            Request for the backend server.
        target : Target
            Member that is to serve the call.

        Returns
        -------
        Outcome
            Answer or refusal.
        int or None
            Shedding threshold of the member for the route, None when no reply
            came.
        """
        remaining = context.deadline - self._clock.now()
        peer = target.incarnation
        link = await self._links.find_or_open(
            peer,
            target.address,
            min(remaining, OPEN_LINK_TIMEOUT_SECONDS),
        )
        if link is None:
            return _NOT_SENT_OUTCOME, None
        future = asyncio.get_running_loop().create_future()
        self._future_by_id[context.call_id] = future
        self._links.pending_count_by_incarnation[peer] += 1
        try:
            self._send(context, request, link)
            reply_deadline = context.deadline + DEADLINE_GRACE_SECONDS
            async with asyncio.timeout(reply_deadline - self._clock.now()):
                outcome = await future
                return outcome, self._threshold_by_call.pop(
                    context.call_id, None
                )
        except TimeoutError:
            outcome = Outcome(
                Refusal(Reason.DEADLINE_EXCEEDED, Effect.UNKNOWN),
            )
            self._abandon(context, peer, outcome)
            return outcome, None
        except asyncio.CancelledError:
            self._abandon(context, peer, _CANCELLED_OUTCOME)
            raise
        finally:
            self._links.pending_count_by_incarnation[peer] -= 1
            self._future_by_id.pop(context.call_id, None)
            self._threshold_by_call.pop(context.call_id, None)

    def handle_answer(
        self,
        sender: Incarnation,
        link: Link,
        frame: AnswerFrame | RefusalFrame,
    ) -> None:
        """Record the reply to a call, which ends the wait for its outcome.

        Parameters
        ----------
        sender : Incarnation
            This node, because it sent the call that the reply answers. The call
            id consists of this node and the number in the frame.
        link : Link
            Link on which the reply came.
        frame : AnswerFrame or RefusalFrame
            Reply.
        """
        call_id = CallId(sender, frame.number)
        if call_id in self._future_by_id:
            self._threshold_by_call[call_id] = frame.level
        event = AnswerArrived(
            call_id, link.incarnation, read_reply_frame(frame)
        )
        self._apply(self._tracker.handle(event, self._clock.now()))

    def handle_call_status(
        self,
        sender: Incarnation,
        link: Link,
        frame: CallStatusFrame,
    ) -> None:
        """Tell the call tracker the status of a call at a peer.

        A peer that has an outcome of the call sends the outcome instead.
        """
        call_id = CallId(sender, frame.number)
        event = CallStatusArrived(
            call_id, link.incarnation, CallStatus(frame.kind)
        )
        self._apply(self._tracker.handle(event, self._clock.now()))

    def handle_open(self, link: Link) -> None:
        """Tell the call tracker that a link dialed by this node has opened."""
        event = LinkOpened(link.incarnation, link.number)
        self._apply(self._tracker.handle(event, self._clock.now()))

    def handle_close(self, link: Link) -> None:
        """Tell the call tracker that a link dialed by this node was lost."""
        event = LinkFailed(link.incarnation, link.number)
        self._apply(self._tracker.handle(event, self._clock.now()))

    def handle_gone(self, peer: Incarnation) -> None:
        """Tell the call tracker that a peer is gone and will not return."""
        event = PeerGone(peer)
        self._apply(self._tracker.handle(event, self._clock.now()))

    def tick(self) -> None:
        """Repeat the call status requests that got no reply."""
        self._apply(self._tracker.handle(CallTrackerTick(), self._clock.now()))

    def _send(
        self,
        context: CallContext,
        request: CallRequest,
        link: Link,
    ) -> None:
        now = self._clock.now()
        event = CallSent(
            context.call_id,
            link.incarnation,
            link.number,
            context.idempotent,
        )
        self._apply(self._tracker.handle(event, now))
        link.send(make_call_frame(context, request, now))

    def _abandon(
        self,
        context: CallContext,
        peer: Incarnation,
        outcome: Outcome,
    ) -> None:
        event = CallAbandoned(context.call_id, peer, outcome)
        self._apply(self._tracker.handle(event, self._clock.now()))
        link = self._links.find(peer)
        if link is not None:
            link.send(CancelFrame(context.call_id.number))

    def _apply(self, actions: Iterable[CallTrackerAction]) -> None:
        for action in actions:
            if isinstance(action, CallResolved):
                self._resolve(action)
                continue
            if isinstance(action, RequestCallStatus):
                self._request_call_status(action)
            # ReopenLink needs no action: the link pool reopens lost links.

    def _request_call_status(self, action: RequestCallStatus) -> None:
        link = self._links.find(action.peer)
        if link is not None:
            link.send(CallStatusRequestFrame(action.call_id.number))

    def _resolve(self, action: CallResolved) -> None:
        future = self._future_by_id.get(action.call_id)
        if future is not None and not future.done():
            future.set_result(action.outcome)
