"""Sends calls to this node's backend server or over links to other nodes."""

import asyncio

from mustardshunt.base import Reason
from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendServerStatusUpdate,
    Call,
    LargeBody,
    NotRun,
)
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._peer_ports import PeerEvents
from mustardshunt.sidecar._waiting_calls import CallResult
from mustardshunt.upstream import AdmissionRequest


class LocalSession:
    """Session for calls from this node to the backend server beside it.

    These calls are passed on in this process, without a link.

    Parameters
    ----------
    name : str
        Name of this node.
    callee : Callee
        Runs the calls.
    events : PeerEvents
        Receives status updates of the backend server, like updates from
        peers.
    """

    def __init__(self, name: str, callee: Callee, events: PeerEvents) -> None:
        self._name = name
        self._callee = callee
        self._events = events
        self._future_by_number: dict[int, asyncio.Future[CallResult]] = {}
        self._ticket_by_number: dict[int, AdmissionRequest] = {}

    def call(
        self, call: Call, large_body: LargeBody | None = None
    ) -> asyncio.Future[CallResult]:
        """Start a call and return a future for its result."""
        loop = asyncio.get_running_loop()
        result: asyncio.Future[CallResult] = loop.create_future()
        self._future_by_number[call.number] = result
        ticket = self._callee.accept(call, self, large_body)
        if ticket is not None:
            self._ticket_by_number[call.number] = ticket
        return result

    def cancel(self, number: int) -> None:
        """Cancel a call whose caller no longer waits."""
        self._future_by_number.pop(number, None)
        ticket = self._ticket_by_number.pop(number, None)
        if ticket is not None:
            self._callee.cancel(ticket, 'sender no longer waits')

    def deliver(
        self, number: int, frame: Answered | NotRun | AnswerLost
    ) -> None:
        """Set the result of a call on the future that its caller awaits."""
        self._ticket_by_number.pop(number, None)
        future = self._future_by_number.pop(number, None)
        if future is not None and not future.done():
            future.set_result(frame)

    def update_status(self, update: BackendServerStatusUpdate) -> None:
        """Pass a status update of this node's backend server to ``events``."""
        self._events.peer_status(self._name, update)


class CallSender:
    """Sends calls to members by name.

    Parameters
    ----------
    name : str
        Name of this node.
    local : LocalSession
        Session for calls to this node's backend server.
    links : LinkManager
        Links to the other nodes.
    """

    def __init__(
        self,
        name: str,
        local: LocalSession,
        links: LinkManager,
    ) -> None:
        self._name = name
        self._local = local
        self._links = links

    def send(
        self, name: str, call: Call, large_body: LargeBody | None = None
    ) -> asyncio.Future[CallResult]:
        """Send a call to a member and return a future for its result.

        The result is ``NotRun`` if there is no link to the member.
        """
        if name == self._name:
            return self._local.call(call, large_body)
        link = self._links.find(name)
        if link is not None:
            return link.call(call, large_body)
        loop = asyncio.get_running_loop()
        result: asyncio.Future[CallResult] = loop.create_future()
        result.set_result(NotRun(call.number, Reason.LINK_LOST.value, -1, 0))
        return result

    def cancel(self, name: str, number: int) -> None:
        """Cancel a call that was sent to a member."""
        if name == self._name:
            self._local.cancel(number)
            return
        link = self._links.find(name)
        if link is not None:
            link.cancel(number)
