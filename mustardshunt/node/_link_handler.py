"""Passes the frames, openings and closings of links to the components."""

import functools
from collections.abc import Callable
from typing import Any

from loguru import logger

from mustardshunt.base import (
    CallId,
    Clock,
    Incarnation,
    MustardshuntError,
    VmAddress,
)
from mustardshunt.node._call_frames import make_reply_frame, read_call_frame
from mustardshunt.node._callee import Callee
from mustardshunt.node._remote import RemoteCalls
from mustardshunt.observability import NodeMetrics
from mustardshunt.outcomes import CallState, Outcome
from mustardshunt.routing import MemberReachable, MemberUnreachable, Router
from mustardshunt.transport import (
    AnswerFrame,
    CallFrame,
    CallStatusFrame,
    CallStatusRequestFrame,
    CancelFrame,
    Link,
    RefusalFrame,
)


class NodeLinkHandler:
    """Passes the frames, openings and closings of all links to the components.

    Parameters
    ----------
    own : Incarnation
        This node.
    callee : Callee
        Serves calls of peers.
    remote : RemoteCalls
        Tracks the calls sent to peers.
    router : Router
        Avoids peers that do not answer.
    metrics : NodeMetrics
        Counters.
    clock : Clock
        Source of the time.
    """

    def __init__(
        self,
        own: Incarnation,
        callee: Callee,
        remote: RemoteCalls,
        router: Router,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self._own = own
        self._callee = callee
        self._remote = remote
        self._router = router
        self._metrics = metrics
        self._clock = clock
        self._open_callbacks: list[Callable[[Link], None]] = []
        self._close_callbacks: list[Callable[[Link], None]] = []
        self._handler_by_type: dict[type, Callable[[Link, Any], None]] = {
            CallFrame: self._handle_call,
            AnswerFrame: self._handle_answer,
            RefusalFrame: self._handle_answer,
            CancelFrame: self._handle_cancel,
            CallStatusRequestFrame: self._handle_call_status_request,
            CallStatusFrame: self._handle_call_status,
        }

    def subscribe(
        self,
        frame_type: type,
        handler: Callable[[Link, Any], None],
    ) -> None:
        """Call a function for each frame of a type that arrives."""
        self._handler_by_type[frame_type] = handler

    def subscribe_links(
        self,
        on_open: Callable[[Link], None],
        on_close: Callable[[Link], None],
    ) -> None:
        """Call functions with each link.

        ``on_open`` is called when a link has opened, ``on_close`` when a link
        has closed.
        """
        self._open_callbacks.append(on_open)
        self._close_callbacks.append(on_close)

    def handle_frame(self, link: Link, frame: object) -> None:
        """Pass a frame to the subscriber of its type.

        A frame of a type without a subscriber is counted as a fault.
        """
        handler = self._handler_by_type.get(type(frame))
        if handler is None:
            self._metrics.count_fault('unexpected-frame')
            return
        handler(link, frame)

    def handle_open(self, link: Link) -> None:
        """Report a link that has opened to the components."""
        self._metrics.count_event('link-opened')
        if link.dialed:
            self._remote.handle_open(link)
            self._update_router(MemberReachable(link.incarnation))
        else:
            self._callee.open_link(link.incarnation, link.number)
        for on_open in self._open_callbacks:
            on_open(link)

    def handle_close(self, link: Link) -> None:
        """Report a link that has closed to the components."""
        self._metrics.count_event('link-closed')
        if link.dialed:
            if link.is_silent(self._clock.now()):
                self._metrics.count_event('link-silent')
                self._update_router(MemberUnreachable(link.incarnation))
            self._remote.handle_close(link)
        for on_close in self._close_callbacks:
            on_close(link)

    def handle_unreachable(self, address: VmAddress) -> None:
        """Count a failed attempt to open a link."""
        self._metrics.count_event('peer-unreachable')

    def handle_fault(self, fault: MustardshuntError) -> None:
        """Count and log an invalid frame or a failed handshake."""
        self._metrics.count_fault(fault.code.value)
        logger.debug('frame or handshake of a peer failed: {}', fault)

    def _update_router(
        self, event: MemberReachable | MemberUnreachable
    ) -> None:
        self._router.handle(event, self._clock.now())

    def _handle_call(self, link: Link, frame: CallFrame) -> None:
        context, request = read_call_frame(
            frame,
            link.incarnation,
            self._clock.now(),
        )
        reply = functools.partial(
            self._reply,
            link,
            frame.number,
            frame.route,
        )
        self._callee.accept(context, request, link.number, reply)

    def _reply(
        self,
        link: Link,
        number: int,
        route: str,
        outcome: Outcome,
    ) -> None:
        threshold = self._callee.find_shedding_threshold(route)
        link.send(make_reply_frame(number, outcome, threshold))

    def _handle_answer(
        self,
        link: Link,
        frame: AnswerFrame | RefusalFrame,
    ) -> None:
        self._remote.handle_answer(self._own, link, frame)

    def _handle_cancel(self, link: Link, frame: CancelFrame) -> None:
        self._callee.cancel(CallId(link.incarnation, frame.number))

    def _handle_call_status_request(
        self, link: Link, frame: CallStatusRequestFrame
    ) -> None:
        call_id = CallId(link.incarnation, frame.number)
        status = self._callee.resolve(call_id)
        if status.kind is CallState.DONE and status.outcome is not None:
            self._reply(link, frame.number, '', status.outcome)
            return
        if status.kind is CallState.RUNNING:
            reply = functools.partial(self._reply, link, frame.number, '')
            self._callee.redirect(call_id, reply)
        link.send(CallStatusFrame(frame.number, status.kind))

    def _handle_call_status(self, link: Link, frame: CallStatusFrame) -> None:
        self._remote.handle_call_status(self._own, link, frame)
