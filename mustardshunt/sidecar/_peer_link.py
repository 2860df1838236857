"""Links over which this node sends calls: one task for each peer."""

import asyncio
import itertools
from dataclasses import replace
from typing import Final

from mustardshunt.base import NO_REVISION, Reason
from mustardshunt.load_balancing import Member
from mustardshunt.memory import MemoryAccount
from mustardshunt.observability import EventLog
from mustardshunt.relay import (
    Answered,
    AnswerLost,
    BackendServerStatusUpdate,
    Call,
    CallStatusRequest,
    Cancel,
    CrashReportFrame,
    DroppedFrame,
    FailureKind,
    Frame,
    FrameError,
    FrameStream,
    Hello,
    LargeBody,
    LiftFrame,
    MemberState,
    NotRun,
    OperatorState,
    Pong,
    RolloutReportFrame,
    RolloutStageFrame,
    StateRequest,
    TokenGrantFrame,
    TokenRequestFrame,
    VerdictFrame,
    dial,
)
from mustardshunt.sidecar._body_sender import BodySender
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._peer_ports import (
    CrashPeers,
    DeploymentPeers,
    PeerEvents,
)
from mustardshunt.sidecar._rollout_ports import IgnoredRollouts, RolloutPeers
from mustardshunt.sidecar._silence import (
    BUSY_MAX_SILENCE_SECONDS,
    BUSY_PING_INTERVAL_SECONDS,
    IDLE_MAX_SILENCE_SECONDS,
    IDLE_PING_INTERVAL_SECONDS,
    Silence,
)
from mustardshunt.sidecar._waiting_calls import CallResult, WaitingCalls

# First and longest pause between attempts to connect to a node.
FIRST_RECONNECT_PAUSE_SECONDS: Final = 0.1
MAX_RECONNECT_PAUSE_SECONDS: Final = 1.0
# Time for which calls on a lost link wait for a new link, on which the peer
# sends the status of each call.
CALL_STATUS_TIMEOUT_SECONDS: Final = 1.2

# Numbers all links of the process, so that a peer can tell which of two links
# is the later one.
_LINK_NUMBERS: Final = itertools.count(1)


class PeerLink:
    """Sends calls to one node and receives their results.

    Reconnects whenever the connection is lost, and then requests the
    statuses of the calls that still wait for a result.

    Parameters
    ----------
    member : Member
        Node at the other end of the link.
    incarnation : str
        Identifier of this process of the node.
    events : PeerEvents
        Receives events and messages of the peer.
    deployment : DeploymentPeers
        Exchanges the state of the deployment with the peer.
    crashes : CrashPeers
        Exchanges crash reports and verdicts with the peer.
    log : EventLog
        Log of links that open, are lost, are silent or get invalid frames.
    metrics : SidecarMetrics
        Counts lost links.
    memory : MemoryAccount
        Account to which frames are charged.
    rollouts : RolloutPeers or None, default=None
        Exchanges stages and reports of rollouts with the peer.
    """

    def __init__(
        self,
        member: Member,
        incarnation: str,
        events: PeerEvents,
        deployment: DeploymentPeers,
        crashes: CrashPeers,
        log: EventLog,
        metrics: SidecarMetrics,
        memory: MemoryAccount,
        rollouts: RolloutPeers | None = None,
    ) -> None:
        self._rollouts = rollouts or IgnoredRollouts()
        self._memory = memory
        self.member = member
        self._incarnation = incarnation
        self._events = events
        self._deployment = deployment
        self._crashes = crashes
        self._log = log
        self._metrics = metrics
        self._stream: FrameStream | None = None
        self._connected_stream: FrameStream | None = None
        self._has_connected = False
        self._peer_incarnation = ''
        self._last_update: BackendServerStatusUpdate | None = None
        self._wanted_by_organisation: dict[str, int] = {}
        self._reconnect_pause = FIRST_RECONNECT_PAUSE_SECONDS
        self._pinged_at = 0.0
        self._loop = asyncio.get_running_loop()
        self._calls = WaitingCalls(self._loop)
        self._bodies = BodySender(self._calls)
        self._silence = Silence(self._loop.time())

    @property
    def is_open(self) -> bool:
        """Whether the peer has sent its status on the current connection."""
        return self._stream is not None

    @property
    def has_calls(self) -> bool:
        """Whether calls wait for their results."""
        return bool(self._calls)

    def adopt(self, member: Member) -> bool:
        """Take over a changed entry of the member.

        Returns
        -------
        bool
            False if this link does not lead to the process that the entry
            names. The link of a restarted process may be open before its entry
            arrives, and a process may listen at another address now; such links
            are kept, with the calls on them.
        """
        if member == self.member:
            return True
        same_node = replace(
            self.member,
            incarnation=member.incarnation,
            address=member.address,
        )
        if member != same_node or self._last_update is None:
            return False
        if not self.is_open or member.incarnation != self._peer_incarnation:
            return False
        self.member = member
        self._events.peer_status(member.name, self._last_update)
        return True

    def call(
        self, call: Call, large_body: LargeBody | None = None
    ) -> asyncio.Future[CallResult]:
        """Send a call and return a future for its result."""
        result: asyncio.Future[CallResult] = self._loop.create_future()
        stream = self._stream
        if stream is None or not stream.is_open:
            result.set_result(
                NotRun(call.number, Reason.LINK_LOST.value, -1, 0)
            )
            return result
        if not stream.can_send(len(call.head) + len(call.body)):
            result.set_result(
                NotRun(call.number, Reason.OVERLOADED.value, -1, 0)
            )
            return result
        self._calls.add(call.number, result)
        if large_body is None:
            stream.send(call)
        else:
            self._bodies.send(stream, call, large_body)
        return result

    def cancel(self, number: int) -> None:
        """Stop waiting for a call and tell the peer to cancel it."""
        if self._calls.discard(number) and self._stream:
            self._stream.send(Cancel(number))

    def request_tokens(self, organisation: str, wanted: int) -> None:
        """Request tokens from the peer, as soon as the link is open."""
        if self._stream is None:
            self._wanted_by_organisation[organisation] = wanted
        else:
            self._stream.send(TokenRequestFrame(organisation, wanted))

    def send(self, frame: Frame) -> None:
        """Send a frame that has no reply of its own, if the link is open."""
        if self._stream is not None:
            self._stream.send(frame)

    async def run(self) -> None:
        """Keep a connection to the peer until cancelled.

        Connects again whenever the connection is lost.
        """
        try:
            while True:
                await self._run_and_log()
                await asyncio.sleep(self._reconnect_pause)
        finally:
            self._calls.fail_all(
                'link closed: peer has left or this node stops'
            )

    async def _run_and_log(self) -> None:
        try:
            await self._run_once()
        except Exception as error:
            # An unexpected error ends this connection only.
            self._calls.fail_all('connection failed: unexpected error')
            self._handle_failed_dial()
            self._log.record(
                'link-invalid',
                self._loop.time(),
                peer=self.member.name,
                error=repr(error),
            )

    async def _run_once(self) -> None:
        try:
            stream = await dial(self.member.address, self._memory)
        except ConnectionRefusedError:
            # No process listens at the address, so the peer process to which
            # the waiting calls were sent has ended.
            self._calls.fail_all('connection refused: peer process has ended')
            self._handle_failed_dial()
            return
        except (OSError, TimeoutError):
            self._calls.fail_all('connection failed: node cannot be reached')
            self._handle_failed_dial()
            return
        link = next(_LINK_NUMBERS)
        stream.send(Hello(self._incarnation, link, not self._has_connected))
        self._has_connected = True
        if self._calls:
            stream.send(CallStatusRequest(self._calls.numbers))
        self._connected_stream = stream
        try:
            await self._read(stream)
        finally:
            self._connected_stream = None
            self._handle_loss(stream)

    async def _read(self, stream: FrameStream) -> None:
        try:
            async for frame in stream.frames():
                self._handle(frame, stream)
                # An idle link must not keep the body of its last answer.
                del frame
        except FrameError as error:
            self._log.record(
                'link-invalid',
                self._loop.time(),
                peer=self.member.name,
                error=error.message,
            )
        except Exception as error:
            # One frame that cannot be handled must not end the task, which
            # connects again.
            self._log.record(
                'link-invalid',
                self._loop.time(),
                peer=self.member.name,
                error=repr(error),
            )

    def _handle(self, frame: Frame | DroppedFrame, stream: FrameStream) -> None:
        if isinstance(frame, DroppedFrame):
            frame = AnswerLost(frame.number, FailureKind.NO_MEMORY.value)
        if isinstance(frame, Answered | NotRun | AnswerLost):
            self._calls.resolve(frame)
            return
        if isinstance(frame, BackendServerStatusUpdate):
            self._handle_status(frame, stream)
            return
        if isinstance(frame, Pong):
            self._deployment.hear_changes(
                self, frame.operator_change, frame.member_change
            )
            return
        if isinstance(frame, TokenGrantFrame):
            self._events.peer_tokens(self.member.name, frame)
            return
        if isinstance(frame, CrashReportFrame | VerdictFrame | LiftFrame):
            self._crashes.receive(frame, self.member.name)
            return
        if isinstance(frame, RolloutStageFrame | RolloutReportFrame):
            self._rollouts.receive(frame, self.member.name)
            return
        self._handle_state(frame)

    def _handle_state(self, frame: Frame) -> None:
        if isinstance(frame, OperatorState):
            self._deployment.receive_operators(frame)
        elif isinstance(frame, StateRequest):
            self._deployment.answer(frame, self)
        elif isinstance(frame, MemberState):
            missing = self._deployment.receive_members(frame)
            if missing is not None:
                self.send(missing)

    def _handle_status(
        self, update: BackendServerStatusUpdate, stream: FrameStream
    ) -> None:
        if update.name != self.member.name:
            # Another node now listens at the address of this member.
            stream.abort()
            return
        if self._stream is not stream:
            if update.incarnation != self._peer_incarnation:
                # The peer process to which the waiting calls were sent has
                # ended.
                self._calls.fail_all('peer process has been restarted')
            self._peer_incarnation = update.incarnation
            self._stream = stream
            self._reconnect_pause = FIRST_RECONNECT_PAUSE_SECONDS
            self._log.record(
                'link-open',
                self._loop.time(),
                peer=self.member.name,
                incarnation=update.incarnation,
            )
            self._deployment.greet(self, update.revision)
            self._crashes.greet(self)
            self._rollouts.greet(self)
            for wanted_tokens in self._wanted_by_organisation.items():
                stream.send(TokenRequestFrame(*wanted_tokens))
            self._wanted_by_organisation.clear()
        self._last_update = update
        self._events.peer_status(self.member.name, update)
        self._deployment.hear_changes(self, update.revision, NO_REVISION)

    def check(self, now: float) -> None:
        """Ping a silent peer; close the link if the peer stays silent.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        stream = self._connected_stream
        if stream is None:
            return
        heard_at = stream.last_received_at
        has_calls = self.has_calls
        max_silence = IDLE_MAX_SILENCE_SECONDS
        if has_calls:
            # The peer of an idle link has no reason to send. Its silence counts
            # from the call on that ended the idle time.
            heard_at = max(heard_at, self._calls.busy_since)
            max_silence = BUSY_MAX_SILENCE_SECONDS
        silent_for = self._silence.measure(now, heard_at)
        if silent_for > max_silence:
            self._log.record(
                'link-silent',
                now,
                peer=self.member.name,
                silent_for=round(silent_for, 3),
                waiting=len(self._calls),
            )
            stream.abort()
            return
        ping_interval = (
            BUSY_PING_INTERVAL_SECONDS
            if has_calls
            else IDLE_PING_INTERVAL_SECONDS
        )
        if silent_for > ping_interval and now - self._pinged_at > ping_interval:
            self._pinged_at = now
            stream.send(self._deployment.ping(self.member.name))

    def _handle_loss(self, stream: FrameStream) -> None:
        stream.abort()
        if self._stream is not stream:
            self._handle_failed_dial()
            return
        self._stream = None
        self._metrics.link_losses.inc()
        self._events.peer_lost(self.member.name)
        self._log.record(
            'link-lost',
            self._loop.time(),
            peer=self.member.name,
            waiting=len(self._calls),
        )
        for number, future in self._calls.copy().items():
            self._loop.call_later(
                CALL_STATUS_TIMEOUT_SECONDS, self._expire_call, number, future
            )

    def _expire_call(
        self,
        number: int,
        future: asyncio.Future[CallResult],
    ) -> None:
        if self._stream is None:
            self._calls.expire(number, future)

    def _handle_failed_dial(self) -> None:
        self._wanted_by_organisation.clear()
        self._events.peer_lost(self.member.name)
        self._increase_pause()

    def _increase_pause(self) -> None:
        self._reconnect_pause = min(
            MAX_RECONNECT_PAUSE_SECONDS, self._reconnect_pause * 2
        )
