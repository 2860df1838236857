"""Frames of all links, each handed to the part of the node it concerns."""

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
    """Takes the frames and the state changes of all links.

    Parameters
    ----------
    own : Incarnation
        This node.
    callee : Callee
        Serves calls of peers.
    remote : RemoteCalls
        Calls sent to peers.
    router : Router
        Keeps off peers that do not answer.
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
        self._opened: list[Callable[[Link], None]] = []
        self._closed: list[Callable[[Link], None]] = []
        self._handler_by_type: dict[type, Callable[[Link, Any], None]] = {
            CallFrame: self._handle_call,
            AnswerFrame: self._handle_answer,
            RefusalFrame: self._handle_answer,
            CancelFrame: self._handle_cancel,
            CallStatusRequestFrame: self._handle_fate_ask,
            CallStatusFrame: self._handle_fate,
        }

    def subscribe(
        self,
        frame_type: type,
        handler: Callable[[Link, Any], None],
    ) -> None:
        """Hand the frames of a type to a part of the node."""
        self._handler_by_type[frame_type] = handler

    def subscribe_links(
        self,
        opened: Callable[[Link], None],
        closed: Callable[[Link], None],
    ) -> None:
        """Tell a part of the node of links that open and close."""
        self._opened.append(opened)
        self._closed.append(closed)

    def handle_frame(self, link: Link, frame: object) -> None:
        """Take one frame."""
        handler = self._handler_by_type.get(type(frame))
        if handler is None:
            self._metrics.count_fault('unexpected-frame')
            return
        handler(link, frame)

    def handle_open(self, link: Link) -> None:
        """Take notice that a link is open."""
        self._metrics.count_event('link-opened')
        if link.dialed:
            self._remote.handle_open(link)
            self._tell_router(MemberReachable(link.incarnation))
        else:
            self._callee.open_link(link.incarnation, link.number)
        for opened in self._opened:
            opened(link)

    def handle_close(self, link: Link) -> None:
        """Take notice that a link is closed for good."""
        self._metrics.count_event('link-closed')
        if link.dialed:
            if link.is_silent(self._clock.now()):
                self._metrics.count_event('link-silent')
                self._tell_router(MemberUnreachable(link.incarnation))
            self._remote.handle_close(link)
        for closed in self._closed:
            closed(link)

    def handle_unreachable(self, address: VmAddress) -> None:
        """Count an address at which nobody could be reached."""
        self._metrics.count_event('peer-unreachable')

    def handle_fault(self, fault: MustardshuntError) -> None:
        """Count a frame or a proof that was not accepted."""
        self._metrics.count_fault(fault.code.value)
        logger.debug('link fault: {}', fault)

    def _tell_router(self, event: MemberReachable | MemberUnreachable) -> None:
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
        level = self._callee.find_shedding_threshold(route)
        link.send(make_reply_frame(number, outcome, level))

    def _handle_answer(
        self,
        link: Link,
        frame: AnswerFrame | RefusalFrame,
    ) -> None:
        self._remote.handle_answer(self._own, link, frame)

    def _handle_cancel(self, link: Link, frame: CancelFrame) -> None:
        self._callee.cancel(CallId(link.incarnation, frame.number))

    def _handle_fate_ask(
        self, link: Link, frame: CallStatusRequestFrame
    ) -> None:
        call_id = CallId(link.incarnation, frame.number)
        fate = self._callee.resolve(call_id)
        if fate.kind is CallState.DONE and fate.outcome is not None:
            self._reply(link, frame.number, '', fate.outcome)
            return
        if fate.kind is CallState.RUNNING:
            reply = functools.partial(self._reply, link, frame.number, '')
            self._callee.redirect(call_id, reply)
        link.send(CallStatusFrame(frame.number, fate.kind))

    def _handle_fate(self, link: Link, frame: CallStatusFrame) -> None:
        self._remote.handle_call_status(self._own, link, frame)
