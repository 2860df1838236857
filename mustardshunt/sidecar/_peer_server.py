"""Links on which other nodes send calls to this one: one task each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from mustardshunt.base import Reason, VmAddress
from mustardshunt.observability import EventLog
from mustardshunt.relay import (
    Answered,
    Call,
    Cancel,
    FateAsk,
    Frame,
    FrameError,
    FrameStream,
    Hello,
    Lost,
    NotRun,
    Ping,
    PolicyAsk,
    PolicyDocument,
    Pong,
    State,
)
from mustardshunt.sidecar._callee import Callee
from mustardshunt.upstream import Ticket

# A sender that does not come back within this time has given its calls up.
RETURN_SECONDS: Final = 1.5
# Links without any frame for this long belong to senders that are gone.
SILENCE_SECONDS: Final = 6.0
CHECK_SECONDS: Final = 1.0
BACKLOG: Final = 512

CallResult: TypeAlias = Answered | NotRun | Lost


@dataclass(frozen=True, slots=True)
class PolicyExchange:
    """How the links share what is known of the operators' changes.

    Parameters
    ----------
    revision : callable
        Returns the newest change that this node knows.
    document : callable
        Returns the text of the policy in force, with its version.
    """

    revision: Callable[[], int]
    document: Callable[[], tuple[int, bytes]]


class PeerSession:
    """Calls of one run of another node, over all of its links.

    Parameters
    ----------
    incarnation : str
        Run of the sending node.
    callee : Callee
        Runs the calls.
    """

    def __init__(self, incarnation: str, callee: Callee) -> None:
        self.incarnation = incarnation
        self.stream: FrameStream | None = None
        self.link = 0
        self._callee = callee
        self._ticket_by_number: dict[int, Ticket] = {}
        self._undelivered: dict[int, CallResult] = {}
        self._barred: set[int] = set()

    def deliver(self, number: int, frame: CallResult) -> None:
        """Send the result of a call, or keep it for the next link."""
        self._ticket_by_number.pop(number, None)
        if self.stream is not None and self.stream.is_open:
            self.stream.send(frame)
        else:
            self._undelivered[number] = frame

    def show(self, state: State) -> None:
        """Send the state of the backend server."""
        if self.stream is not None:
            self.stream.send(state)

    def start(self, call: Call) -> None:
        """Run a call, unless its sender was told that it never will."""
        if call.number in self._barred:
            return
        ticket = self._callee.accept(call, self)
        if ticket is not None:
            self._ticket_by_number[call.number] = ticket

    def cancel(self, number: int) -> None:
        """Give up a call that its sender no longer waits for."""
        ticket = self._ticket_by_number.pop(number, None)
        if ticket is not None:
            self._callee.cancel(ticket, 'the caller has gone')

    def tell_fates(self, numbers: tuple[int, ...]) -> None:
        """Answer what became of the calls of older links."""
        asked = set(numbers)
        for number in numbers:
            result = self._undelivered.pop(number, None)
            if result is not None:
                self.deliver(number, result)
                continue
            if number in self._ticket_by_number:
                continue
            # It never came here and, being barred, never will run.
            self._barred.add(number)
            self.deliver(number, NotRun(number, Reason.LINK_LOST.value, 0, -1))
        for number in list(self._ticket_by_number):
            if number not in asked:
                self.cancel(number)
        self._undelivered.clear()

    def give_up(self) -> None:
        """Give up all calls, because their sender does not come back."""
        for number in list(self._ticket_by_number):
            self.cancel(number)
        self._undelivered.clear()


class PeerServer:
    """Accepts links of other nodes.

    Parameters
    ----------
    callee : Callee
        Runs the calls.
    exchange : PolicyExchange
        Shares the operators' changes.
    on_revision : callable
        Takes the newest change that a peer knows, and how to ask for it.
    log : EventLog
        Takes invalid links.
    """

    def __init__(
        self,
        callee: Callee,
        exchange: PolicyExchange,
        on_document: Callable[[bytes], None],
        log: EventLog,
    ) -> None:
        self._callee = callee
        self._exchange = exchange
        self._on_document = on_document
        self._log = log
        self._session_by_incarnation: dict[str, PeerSession] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: VmAddress) -> None:
        """Start to accept links."""
        self._server = await asyncio.start_server(
            self._serve,
            address.host,
            address.port,
            backlog=BACKLOG,
        )

    def close(self) -> None:
        """Close all links."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        stream = FrameStream(reader, writer)
        keeper = asyncio.create_task(_end_silent(stream), name='link watch')
        try:
            await self._read(stream)
        except FrameError as error:
            now = asyncio.get_running_loop().time()
            self._log.record('link-invalid', now, error=error.message)
        finally:
            keeper.cancel()
            stream.abort()

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
                self._callee.detach(session)
                loop = asyncio.get_running_loop()
                loop.call_later(RETURN_SECONDS, self._forget, session)

    def _open(self, frame: Frame, stream: FrameStream) -> PeerSession:
        if not isinstance(frame, Hello):
            raise FrameError(f'expected hello, found {type(frame).__name__}')
        session = self._session_by_incarnation.get(frame.incarnation)
        if session is None:
            session = PeerSession(frame.incarnation, self._callee)
            self._session_by_incarnation[frame.incarnation] = session
        if frame.link <= session.link:
            raise FrameError('a newer link is open')
        former = session.stream
        session.link = frame.link
        session.stream = stream
        if former is not None:
            former.abort()
            self._callee.detach(session)
        self._callee.attach(session)
        return session

    def _handle(
        self,
        frame: Frame,
        session: PeerSession,
        stream: FrameStream,
    ) -> None:
        if isinstance(frame, Call):
            session.start(frame)
        elif isinstance(frame, Cancel):
            session.cancel(frame.number)
        elif isinstance(frame, Ping):
            stream.send(Pong(self._exchange.revision()))
        elif isinstance(frame, FateAsk):
            session.tell_fates(frame.numbers)
        elif isinstance(frame, PolicyAsk):
            version, document = self._exchange.document()
            if version > frame.above:
                stream.send(PolicyDocument(document))
        elif isinstance(frame, PolicyDocument):
            self._on_document(frame.document)

    def _forget(self, session: PeerSession) -> None:
        if session.stream is None:
            session.give_up()
            self._session_by_incarnation.pop(session.incarnation, None)


async def _end_silent(stream: FrameStream) -> None:
    loop = asyncio.get_running_loop()
    while stream.is_open:
        await asyncio.sleep(CHECK_SECONDS)
        if loop.time() - stream.heard_at > SILENCE_SECONDS:
            stream.abort()
