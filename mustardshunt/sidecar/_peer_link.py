"""Link to another node, over which this node sends calls: one task each."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from mustardshunt.base import Reason
from mustardshunt.load_balancing import Member
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
    dial,
)
from mustardshunt.sidecar._metrics import SidecarMetrics

# Pauses between attempts to reach a node that does not answer.
FIRST_PAUSE: Final = 0.1
LONGEST_PAUSE: Final = 1.0
# A link that is silent for this long while calls wait is replaced: a usual
# answer of any other call would have arrived meanwhile.
WAITING_SILENCE: Final = 0.7
WAITING_PING: Final = 0.25
# The same for a link without waiting calls.
IDLE_SILENCE: Final = 2.5
IDLE_PING: Final = 1.2
# Calls on a lost link wait this long for the new one to tell their fate.
CALL_STATUS_TIMEOUT_SECONDS: Final = 1.2

# All links of a process are numbered together, so that the later one to a
# node is known also when a link is made anew.
_LINK_NUMBERS: Final = itertools.count(1)

CallResult: TypeAlias = Answered | NotRun | AnswerLost


class PeerEvents(Protocol):
    """Takes what a peer tells."""

    def peer_status(self, name: str, state: BackendServerStatusUpdate) -> None:
        """Take the state of a peer's backend server."""
        ...

    def peer_lost(self, name: str) -> None:
        """Note that a peer cannot be called."""
        ...

    def peer_revision(self, name: str, revision: int) -> None:
        """Take the newest change that a peer knows."""
        ...

    def peer_tokens(self, name: str, grant: TokenGrantFrame) -> None:
        """Take tokens that a peer has given, none included."""
        ...

    def peer_policy(self, document: bytes) -> None:
        """Take the policy in force at a peer."""
        ...

    def revision(self) -> int:
        """Return the newest change that this node knows."""
        ...


class PeerLink:
    """Sends calls to one node and waits for their results.

    Parameters
    ----------
    member : Member
        Node at the other end.
    incarnation : str
        Run of this node.
    events : PeerEvents
        Takes what the peer tells.
    log : EventLog
        Takes losses and returns of the link.
    metrics : SidecarMetrics
        Counts losses.
    """

    def __init__(
        self,
        member: Member,
        incarnation: str,
        events: PeerEvents,
        log: EventLog,
        metrics: SidecarMetrics,
    ) -> None:
        self.member = member
        self._incarnation = incarnation
        self._events = events
        self._log = log
        self._metrics = metrics
        self._stream: FrameStream | None = None
        self._dialled: FrameStream | None = None
        self._has_opened = False
        self._peer_incarnation = ''
        self._waiting: dict[int, asyncio.Future[CallResult]] = {}
        self._pause = FIRST_PAUSE
        self._pinged_at = 0.0
        self._loop = asyncio.get_running_loop()

    @property
    def is_open(self) -> bool:
        """Whether the peer has answered on the link that is open."""
        return self._stream is not None

    def call(self, call: Call) -> asyncio.Future[CallResult]:
        """Send a call; the future takes its result."""
        result: asyncio.Future[CallResult] = self._loop.create_future()
        stream = self._stream
        if stream is None or not stream.is_open:
            result.set_result(
                NotRun(call.number, Reason.LINK_LOST.value, -1, 0)
            )
            return result
        self._waiting[call.number] = result
        stream.send(call)
        return result

    def cancel(self, number: int) -> None:
        """Stop waiting for a call."""
        if self._waiting.pop(number, None) is not None and self._stream:
            self._stream.send(Cancel(number))

    def request_tokens(self, organisation: str, wanted: int) -> None:
        """Ask the peer for tokens."""
        if self._stream is not None:
            self._stream.send(TokenRequestFrame(organisation, wanted))

    def request_policy(self, newer_than: int) -> None:
        """Ask the peer for its policy."""
        if self._stream is not None:
            self._stream.send(PolicyRequest(newer_than))

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        try:
            while True:
                await self._run_once()
                await asyncio.sleep(self._pause)
        finally:
            self._fail_all('node is gone')

    async def _run_once(self) -> None:
        try:
            stream = await dial(self.member.address)
        except ConnectionRefusedError:
            # Nobody listens: the process that had the calls has ended.
            self._fail_all('process has ended')
            self._slow_down()
            return
        except (OSError, TimeoutError):
            self._fail_all('node is out of reach')
            self._slow_down()
            return
        link = next(_LINK_NUMBERS)
        stream.send(Hello(self._incarnation, link, not self._has_opened))
        self._has_opened = True
        if self._waiting:
            stream.send(CallStatusRequest(tuple(self._waiting)))
        self._dialled = stream
        try:
            await self._read(stream)
        finally:
            self._dialled = None
            self._lose(stream)

    async def _read(self, stream: FrameStream) -> None:
        try:
            async for frame in stream.frames():
                self._handle(frame, stream)
        except FrameError as error:
            self._log.record(
                'link-invalid',
                self._loop.time(),
                peer=self.member.name,
                error=error.message,
            )

    def _handle(self, frame: Frame, stream: FrameStream) -> None:
        if isinstance(frame, Answered | NotRun | AnswerLost):
            waiting = self._waiting.pop(frame.number, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(frame)
            return
        if isinstance(frame, BackendServerStatusUpdate):
            self._take_state(frame, stream)
            return
        if isinstance(frame, Pong):
            self._events.peer_revision(self.member.name, frame.revision)
            return
        if isinstance(frame, TokenGrantFrame):
            self._events.peer_tokens(self.member.name, frame)
            return
        if isinstance(frame, PolicyDocument):
            self._events.peer_policy(frame.document)

    def _take_state(
        self, state: BackendServerStatusUpdate, stream: FrameStream
    ) -> None:
        if state.name != self.member.name:
            # The address has gone to another node.
            stream.abort()
            return
        if self._stream is not stream:
            if state.incarnation != self._peer_incarnation:
                # The run that had the calls has ended.
                self._fail_all('process has ended')
            self._peer_incarnation = state.incarnation
            self._stream = stream
            self._pause = FIRST_PAUSE
            self._log.record(
                'link-open',
                self._loop.time(),
                peer=self.member.name,
                incarnation=state.incarnation,
            )
        self._events.peer_status(self.member.name, state)
        self._events.peer_revision(self.member.name, state.revision)

    def check(self, now: float) -> None:
        """Ping a silent peer, and give up the link of one that stays so."""
        stream = self._dialled
        if stream is None:
            return
        silent = now - stream.last_received_at
        has_calls = bool(self._waiting)
        limit = WAITING_SILENCE if has_calls else IDLE_SILENCE
        if silent > limit:
            self._log.record(
                'link-silent',
                now,
                peer=self.member.name,
                silent_for=round(silent, 3),
                waiting=len(self._waiting),
            )
            stream.abort()
            return
        pause = WAITING_PING if has_calls else IDLE_PING
        if silent > pause and now - self._pinged_at > pause:
            self._pinged_at = now
            stream.send(Ping(self._events.revision()))

    def _lose(self, stream: FrameStream) -> None:
        stream.abort()
        if self._stream is not stream:
            self._slow_down()
            return
        self._stream = None
        self._metrics.link_losses.inc()
        self._events.peer_lost(self.member.name)
        self._log.record(
            'link-lost',
            self._loop.time(),
            peer=self.member.name,
            waiting=len(self._waiting),
        )
        for number, waiting in list(self._waiting.items()):
            self._loop.call_later(
                CALL_STATUS_TIMEOUT_SECONDS, self._expire, number, waiting
            )

    def _expire(
        self,
        number: int,
        waiting: asyncio.Future[CallResult],
    ) -> None:
        if self._waiting.get(number) is waiting and self._stream is None:
            del self._waiting[number]
            _settle(waiting, AnswerLost(number, 'link is lost'))

    def _fail_all(self, reason: str) -> None:
        for number, waiting in list(self._waiting.items()):
            _settle(waiting, AnswerLost(number, reason))
        self._waiting.clear()

    def _slow_down(self) -> None:
        self._pause = min(LONGEST_PAUSE, self._pause * 2)


class LinkPool:
    """Links to all nodes that are known, by the name of the node.

    Parameters
    ----------
    open_link : callable
        Makes the link to a member.
    """

    def __init__(self, open_link: Callable[[Member], PeerLink]) -> None:
        self._open_link = open_link
        self._link_by_name: dict[str, PeerLink] = {}
        self._task_by_name: dict[str, asyncio.Task[None]] = {}

    def find(self, name: str) -> PeerLink | None:
        """Return the link to a node."""
        return self._link_by_name.get(name)

    def open_members(self) -> list[Member]:
        """Return the nodes that can be reached now."""
        return [
            link.member for link in self._link_by_name.values() if link.is_open
        ]

    def set_members(self, members: dict[str, Member]) -> None:
        """Open links to new nodes and close those to former ones."""
        for name, link in list(self._link_by_name.items()):
            if members.get(name) != link.member:
                del self._link_by_name[name]
                self._task_by_name.pop(name).cancel()
        for name, member in members.items():
            if name in self._link_by_name:
                continue
            link = self._open_link(member)
            self._link_by_name[name] = link
            self._task_by_name[name] = asyncio.create_task(
                link.run(),
                name=f'link to {name}',
            )

    def check(self, now: float) -> None:
        """Look for silent peers; called every 0.1 s."""
        for link in self._link_by_name.values():
            link.check(now)

    def close(self) -> None:
        """Close all links."""
        self.set_members({})


def _settle(waiting: asyncio.Future[CallResult], result: CallResult) -> None:
    if not waiting.done():
        waiting.set_result(result)
