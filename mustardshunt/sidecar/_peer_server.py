"""Serves links on which other nodes send calls: one task for each link."""

import asyncio
import socket
from typing import Final

from mustardshunt.base import VmAddress
from mustardshunt.connections import (
    ConnectionTable,
    ProgressLimits,
    Shortage,
    choose_slow,
    is_late,
)
from mustardshunt.memory import MemoryAccount
from mustardshunt.observability import EventLog
from mustardshunt.relay import (
    Acceptor,
    BodyPart,
    Call,
    CallStatusRequest,
    Cancel,
    CrashReportFrame,
    DroppedFrame,
    Frame,
    FrameError,
    FrameStream,
    Hello,
    LargeCall,
    LiftFrame,
    MemberState,
    OperatorState,
    Ping,
    Pong,
    RolloutReportFrame,
    RolloutStageFrame,
    ServerLeaving,
    ServerLimit,
    StateRequest,
    TokenGrantFrame,
    TokenRequestFrame,
    VerdictFrame,
    listen_at,
)
from mustardshunt.sidecar._callee import Callee
from mustardshunt.sidecar._peer_services import PeerServices
from mustardshunt.sidecar._peer_session import PeerSession
from mustardshunt.sidecar._server_run_codec import decode_limit, decode_run

# Time within which a sending node must reconnect after a lost link. A sender
# that reconnects later does not wait for the results of its earlier calls any
# more.
RECONNECT_SECONDS: Final = 1.5
# Time without a frame after which a link is closed: the node at the other end
# has ended or cannot be reached.
MAX_SILENCE_SECONDS: Final = 8.0
# Times within which a peer names itself and a frame makes progress.
_FRAME_LIMITS: Final = ProgressLimits(
    header_timeout=MAX_SILENCE_SECONDS, idle_timeout=MAX_SILENCE_SECONDS
)


class PeerServer:
    """Accepts links from other nodes and assigns them to sessions.

    Parameters
    ----------
    callee : Callee
        Runs the calls.
    services : PeerServices
        Functions that serve requests other than calls.
    log : EventLog
        Log of links that are closed for a protocol error.
    memory : MemoryAccount
        Account to which frames and stored results are charged.
    table : ConnectionTable
        Decides which connections are open.
    """

    def __init__(
        self,
        callee: Callee,
        services: PeerServices,
        log: EventLog,
        memory: MemoryAccount,
        table: ConnectionTable[FrameStream],
    ) -> None:
        self.table = table
        self._memory = memory
        self._callee = callee
        self._services = services
        self._log = log
        self._session_by_incarnation: dict[str, PeerSession] = {}
        self._acceptor: Acceptor[FrameStream] | None = None
        self._streams: set[FrameStream] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def acceptor(self) -> Acceptor[FrameStream] | None:
        """The acceptor of links, None before the socket is open."""
        return self._acceptor

    async def listen(self, address: VmAddress) -> None:
        """Start to accept links at an address.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        self.serve(listen_at(address))

    def serve(self, listening: socket.socket) -> None:
        """Start to accept links on a listening socket, and own the socket."""
        self._acceptor = Acceptor(
            listening,
            self.table,
            lambda: FrameStream(self._memory, self._accept),
        )

    def check(self, now: float) -> None:
        """Close links on which no frame has arrived for too long.

        A link whose frame arrives slowly gives way while room is short.
        """
        for stream in list(self._streams):
            transfer = stream.transfer
            if now - stream.last_received_at > MAX_SILENCE_SECONDS or (
                transfer is not None and is_late(transfer, now, _FRAME_LIMITS)
            ):
                stream.abort()
        for session in self._session_by_incarnation.values():
            session.check(now)
        shortage = Shortage(
            self._memory.missing_bytes(), self.table.missing_connections
        )
        if not shortage:
            return
        transfers = [
            (stream, transfer)
            for stream in self._streams
            if (transfer := stream.transfer) is not None
        ]
        slow = choose_slow(transfers, now, shortage)
        for stream in slow:
            stream.abort()
        if slow:
            self.table.record_slow(len(slow))

    def has_unsent(self) -> bool:
        """Tell whether results of calls wait to be sent to other nodes."""
        return any(stream.has_unsent for stream in self._streams)

    def has_arriving(self) -> bool:
        """Tell whether bodies of calls are arriving from other nodes."""
        sessions = self._session_by_incarnation.values()
        return any(session.has_arriving for session in sessions)

    async def end_links(self, seconds: float) -> None:
        """Accept no more links, and wait until peers have read all results.

        A link that is closed at once resets the peer's next frame, and what the
        peer has not read by then is lost.

        Parameters
        ----------
        seconds : float
            Longest wait for the peers.
        """
        if self._acceptor is not None:
            self._acceptor.close()
        for stream in self._streams:
            stream.end()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=max(0.0, seconds))

    def close(self) -> None:
        """Stop accepting links and close the open ones."""
        if self._acceptor is not None:
            self._acceptor.close()
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
        except Exception as error:
            # One frame that cannot be handled ends its link, which the peer
            # opens again.
            now = asyncio.get_running_loop().time()
            self._log.record('link-invalid', now, error=repr(error))
        finally:
            stream.abort()
            self._streams.discard(stream)
            self.table.discard(stream)

    async def _read(self, stream: FrameStream) -> None:
        session: PeerSession | None = None
        try:
            async for frame in stream.frames():
                if session is None:
                    session = self._open(frame, stream)
                elif session.stream is not stream:
                    # A newer link from the same process has replaced this link.
                    return
                else:
                    self._handle(frame, session, stream)
                # An idle link must not keep the body of its last call.
                del frame
        finally:
            if session is not None and session.stream is stream:
                session.lose_link()
                self._services.relay.lose_peer(session.name)
                self._services.crashes.lose_peer(session.name)
                self._services.rollouts.lose_peer(session.name)
                self._callee.status_publisher.unsubscribe(session)
                loop = asyncio.get_running_loop()
                loop.call_later(
                    RECONNECT_SECONDS,
                    self._expire_session,
                    session,
                    session.link,
                )

    def _open(
        self, frame: Frame | DroppedFrame, stream: FrameStream
    ) -> PeerSession:
        if not isinstance(frame, Hello):
            raise FrameError(
                f'expected Hello as first frame, found {type(frame).__name__}'
            )
        stream.is_link = True
        session = self._session_by_incarnation.get(frame.incarnation)
        if session is None:
            session = PeerSession(
                frame.incarnation,
                self._callee,
                self._memory,
                frame.is_first,
            )
            self._session_by_incarnation[frame.incarnation] = session
        if frame.link <= session.link:
            raise FrameError(
                f'outdated link: expected a link number above {session.link}, '
                f'found {frame.link}'
            )
        replaced_stream = session.stream
        session.lose_link()
        session.link = frame.link
        session.stream = stream
        if replaced_stream is not None:
            replaced_stream.abort()
            self._callee.status_publisher.unsubscribe(session)
        self._callee.status_publisher.subscribe(session, self._callee.status())
        self._services.crashes.greet(stream)
        self._services.rollouts.greet(stream)
        return session

    def _handle(
        self,
        frame: Frame | DroppedFrame,
        session: PeerSession,
        stream: FrameStream,
    ) -> None:
        match frame:
            case Call():
                session.start(frame)
            case DroppedFrame(is_call=True, number=number):
                session.refuse(number)
            case Cancel():
                session.cancel(frame.number)
            case Ping():
                self._handle_ping(frame, session.name, stream)
            case CallStatusRequest():
                session.report_call_statuses(frame.numbers)
            case TokenRequestFrame() | TokenGrantFrame():
                self._handle_tokens(frame, session.name, stream)
            case _:
                self._handle_report(frame, session, stream)

    def _handle_report(
        self,
        frame: Frame | DroppedFrame,
        session: PeerSession,
        stream: FrameStream,
    ) -> None:
        match frame:
            case LargeCall() | BodyPart():
                self._handle_body(frame, session)
            case CrashReportFrame() | VerdictFrame() | LiftFrame():
                self._services.crashes.receive(frame, session.name)
            case RolloutStageFrame() | RolloutReportFrame():
                self._services.rollouts.receive(frame, session.name)
            case ServerLeaving() | ServerLimit():
                self._handle_forgotten(frame, session.name)
            case _:
                self._handle_state(frame, stream)

    def _handle_body(
        self, frame: LargeCall | BodyPart, session: PeerSession
    ) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(frame, LargeCall):
            session.start_large(frame, now)
        else:
            session.add_part(frame, now)

    def _handle_ping(self, ping: Ping, name: str, stream: FrameStream) -> None:
        relay = self._services.relay
        missing = relay.hear_ping(name, ping)
        if missing is not None:
            stream.send(missing)
        stream.send(Pong(*relay.changes()))
        self._services.crashes.hear_ping(name, ping.is_follower, stream)
        self._services.rollouts.hear_ping(name, ping.is_follower, stream)

    def _handle_tokens(
        self,
        frame: TokenRequestFrame | TokenGrantFrame,
        name: str,
        stream: FrameStream,
    ) -> None:
        tokens = self._services.tokens
        if isinstance(frame, TokenGrantFrame):
            tokens.take_back(frame.organisation, frame.amount)
            return
        amount = tokens.grant(frame.organisation, name, frame.wanted)
        stream.send(TokenGrantFrame(frame.organisation, amount))

    def _handle_forgotten(
        self, frame: ServerLeaving | ServerLimit, name: str
    ) -> None:
        run = decode_run(frame.instance, frame.started_at)
        if run is None:
            return
        if isinstance(frame, ServerLeaving):
            self._callee.reports.mark_leaving(run, f'report of {name}')
            return
        rate = decode_limit(frame.rate)
        if rate is not None:
            self._callee.reports.adopt_limit(run, rate, f'report of {name}')

    def _handle_state(
        self,
        frame: Frame | DroppedFrame,
        stream: FrameStream,
    ) -> None:
        relay = self._services.relay
        match frame:
            case StateRequest():
                relay.answer(frame, stream)
            case OperatorState():
                relay.receive_operators(frame)
            case MemberState():
                missing = relay.receive_members(frame)
                if missing is not None:
                    stream.send(missing)

    def _expire_session(self, session: PeerSession, link: int) -> None:
        # If a later link of the session has been opened and lost meanwhile, the
        # timer of that link decides when the session ends.
        if session.stream is None and session.link == link:
            session.cancel_all()
            self._session_by_incarnation.pop(session.incarnation, None)
