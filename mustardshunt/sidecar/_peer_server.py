"""Links on which other nodes send calls to this one: one task each."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from mustardshunt.base import Reason, VmAddress
from mustardshunt.observability import EventLog
from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendServerStatusUpdate,
    Call,
    CallStatusRequest,
    Cancel,
    Frame,
    FrameError,
    FrameStream,
    Hello,
    NotRun,
    Ping,
    PolicyDocument,
    PolicyRequest,
    Pong,
    TokenGrantFrame,
    TokenRequestFrame,
    listen,
)
from mustardshunt.sidecar._callee import Callee
from mustardshunt.upstream import AdmissionRequest

# A sender that does not come back within this time has given its calls up.
RETURN_SECONDS: Final = 1.5
# Links without any frame for this long belong to senders that are gone.
SILENCE_SECONDS: Final = 6.0
BACKLOG: Final = 512
# Results that are kept for each sender, enough for those of its last seconds.
MAX_KEPT_BYTES: Final = 262144
_FRAME_BYTES: Final = 200

CallResult: TypeAlias = Answered | NotRun | AnswerLost


@dataclass(frozen=True, slots=True)
class PeerServices:
    """What a node does for others besides running their calls.

    Parameters
    ----------
    revision : callable
        Returns the newest change that this node knows.
    policy_document : callable
        Returns the text of the policy in force, with its version.
    grant_tokens : callable
        Takes tokens of an organisation out of this node's share.
    """

    revision: Callable[[], int]
    policy_document: Callable[[], tuple[int, bytes]]
    grant_tokens: Callable[[str, int], int]


class PeerSession:
    """Calls of one run of another node, over all of its links.

    Parameters
    ----------
    incarnation : str
        Run of the sending node.
    callee : Callee
        Runs the calls.
    is_complete : bool
        Whether all calls of the run are known, those of earlier links
        included.
    """

    def __init__(
        self,
        incarnation: str,
        callee: Callee,
        is_complete: bool = True,
    ) -> None:
        self.incarnation = incarnation
        self._is_whole = is_complete
        self.stream: FrameStream | None = None
        self.link = 0
        self._callee = callee
        self._ticket_by_number: dict[int, AdmissionRequest] = {}
        # Results are kept after they were sent: what was written to a link
        # that is lost may never have arrived.
        self._result_by_number: OrderedDict[int, CallResult] = OrderedDict()
        self._kept_bytes = 0
        self._highest = 0
        self._barred: set[int] = set()

    def deliver(self, number: int, frame: CallResult) -> None:
        """Send the result of a call, or keep it for the next link."""
        self._ticket_by_number.pop(number, None)
        self._keep(number, frame)
        if self.stream is not None:
            self.stream.send(frame)

    def update_status(self, state: BackendServerStatusUpdate) -> None:
        """Send the state of the backend server."""
        if self.stream is not None:
            self.stream.send(state)

    def start(self, call: Call) -> None:
        """Run a call, unless its sender was told that it never will."""
        if call.number in self._barred:
            return
        self._highest = max(self._highest, call.number)
        ticket = self._callee.accept(call, self)
        if ticket is not None:
            self._ticket_by_number[call.number] = ticket

    def cancel(self, number: int) -> None:
        """Give up a call that its sender no longer waits for."""
        ticket = self._ticket_by_number.pop(number, None)
        if ticket is not None:
            self._callee.cancel(ticket, 'the caller has gone')

    def report_call_statuses(self, numbers: tuple[int, ...]) -> None:
        """Answer what became of the calls of older links."""
        asked = set(numbers)
        for number in numbers:
            if number in self._ticket_by_number:
                continue
            result = self._result_by_number.get(number)
            self.deliver(number, result or self._missing(number))
        for number in list(self._ticket_by_number):
            if number not in asked:
                self.cancel(number)

    def cancel_all(self) -> None:
        """Give up all calls, because their sender does not come back."""
        for number in list(self._ticket_by_number):
            self.cancel(number)
        self._result_by_number.clear()

    def _missing(self, number: int) -> CallResult:
        if number <= self._highest or not self._is_whole:
            return AnswerLost(number, 'the answer is no longer known')
        # Calls come in the order of their numbers, so this one never came;
        # being barred, it never will run.
        self._barred.add(number)
        return NotRun(number, Reason.LINK_LOST.value, -1, 0)

    def _keep(self, number: int, frame: CallResult) -> None:
        self._result_by_number[number] = frame
        self._kept_bytes += _size(frame)
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._kept_bytes -= _size(self._result_by_number.popitem(False)[1])


class PeerServer:
    """Accepts links of other nodes.

    Parameters
    ----------
    callee : Callee
        Runs the calls.
    services : PeerServices
        What is done for other nodes besides.
    log : EventLog
        Takes invalid links.
    """

    def __init__(
        self,
        callee: Callee,
        services: PeerServices,
        log: EventLog,
    ) -> None:
        self._callee = callee
        self._services = services
        self._log = log
        self._session_by_incarnation: dict[str, PeerSession] = {}
        self._server: asyncio.Server | None = None
        self._streams: set[FrameStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: VmAddress) -> None:
        """Start to accept links."""
        self._server = await listen(address, self._accept, BACKLOG)

    def check(self, now: float) -> None:
        """Close the links of senders that are gone."""
        for stream in list(self._streams):
            if now - stream.last_received_at > SILENCE_SECONDS:
                stream.abort()

    def close(self) -> None:
        """Close all links."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams):
            stream.abort()

    def _accept(self, stream: FrameStream) -> None:
        task = asyncio.create_task(self._serve(stream), name='link')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, stream: FrameStream) -> None:
        self._streams.add(stream)
        try:
            await self._read(stream)
        except FrameError as error:
            now = asyncio.get_running_loop().time()
            self._log.record('link-invalid', now, error=error.message)
        finally:
            stream.abort()
            self._streams.discard(stream)

    async def _read(self, stream: FrameStream) -> None:
        session: PeerSession | None = None
        try:
            async for frame in stream.frames():
                if session is None:
                    session = self._open(frame, stream)
                elif session.stream is not stream:
                    # A newer link of the same run has replaced this one.
                    return
                else:
                    self._handle(frame, session, stream)
        finally:
            if session is not None and session.stream is stream:
                session.stream = None
                self._callee.status_publisher.unsubscribe(session)
                loop = asyncio.get_running_loop()
                loop.call_later(
                    RETURN_SECONDS, self._forget, session, session.link
                )

    def _open(self, frame: Frame, stream: FrameStream) -> PeerSession:
        if not isinstance(frame, Hello):
            raise FrameError(f'expected hello, found {type(frame).__name__}')
        session = self._session_by_incarnation.get(frame.incarnation)
        if session is None:
            session = PeerSession(
                frame.incarnation,
                self._callee,
                frame.is_first,
            )
            self._session_by_incarnation[frame.incarnation] = session
        if frame.link <= session.link:
            raise FrameError('a newer link is open')
        former = session.stream
        session.link = frame.link
        session.stream = stream
        if former is not None:
            former.abort()
            self._callee.status_publisher.unsubscribe(session)
        self._callee.status_publisher.subscribe(session, self._callee.status())
        return session

    def _handle(
        self,
        frame: Frame,
        session: PeerSession,
        stream: FrameStream,
    ) -> None:
        match frame:
            case Call():
                session.start(frame)
            case Cancel():
                session.cancel(frame.number)
            case Ping():
                stream.send(Pong(self._services.revision()))
            case CallStatusRequest():
                session.report_call_statuses(frame.numbers)
            case TokenRequestFrame() | PolicyRequest():
                self._serve_other(frame, stream)

    def _serve_other(
        self,
        frame: TokenRequestFrame | PolicyRequest,
        stream: FrameStream,
    ) -> None:
        if isinstance(frame, TokenRequestFrame):
            amount = self._services.grant_tokens(
                frame.organisation,
                frame.wanted,
            )
            stream.send(TokenGrantFrame(frame.organisation, amount))
            return
        version, document = self._services.policy_document()
        if version > frame.newer_than:
            stream.send(PolicyDocument(document))

    def _forget(self, session: PeerSession, link: int) -> None:
        # A later link may have been opened and lost meanwhile, and its own
        # time to return runs still.
        if session.stream is None and session.link == link:
            session.cancel_all()
            self._session_by_incarnation.pop(session.incarnation, None)


def _size(frame: CallResult) -> int:
    if isinstance(frame, Answered):
        return _FRAME_BYTES + len(frame.head) + len(frame.body)
    return _FRAME_BYTES
