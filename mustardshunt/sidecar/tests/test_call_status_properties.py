"""No order of losses makes a call run twice, or a "not run" untrue."""

from collections import Counter, deque

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.observability import EventLog
from mustardshunt.relay import (
    Answered,
    Call,
    CallStatusRequest,
    Frame,
    Hello,
    NotRun,
)
from mustardshunt.sidecar._peer_server import (
    PeerServer,
    PeerServices,
    PeerSession,
)
from mustardshunt.upstream import AdmissionRequest

INCARNATION = 'a-1'
STEPS = (
    'call',
    'call',
    'to callee',
    'to callee',
    'run ends',
    'to sender',
    'to sender',
    'link lost',
    'new link',
    'forgotten',
)


def make_call(number: int) -> Call:
    head = (number, 's', 'route', f'r{number}', 900, 100, 0, False)
    return Call(*head, '', 'c', 'POST', '/', b'', b'')


class Wire:
    """Callee's end of a link; frames wait until the sender takes them."""

    def __init__(self) -> None:
        self.to_sender: deque[Frame] = deque()
        self.to_callee: deque[Frame] = deque()

    def abort(self) -> None:
        """Do nothing: the world loses the link itself."""

    def send(self, frame: Frame) -> None:
        self.to_sender.append(frame)


class FakeCallee:
    """Runs whatever it gets, and counts."""

    def __init__(self) -> None:
        self.status_publisher = self
        self.started: Counter[int] = Counter()
        self.running: dict[int, PeerSession] = {}

    def subscribe(self, sink: object, view: object) -> None:
        """Take a sink of states, of which there are none."""

    def unsubscribe(self, sink: object) -> None:
        """Forget a sink."""

    def status(self) -> None:
        """Return no state."""

    def accept(self, call: Call, sink: PeerSession) -> AdmissionRequest:
        self.started[call.number] += 1
        self.running[call.number] = sink
        return AdmissionRequest(call.number, 0, False, '', 1.0)

    def cancel(self, ticket: AdmissionRequest, reason: str) -> None:
        self.running.pop(ticket.key, None)


class World:
    """A sender that follows the rules of a link, and the real sessions."""

    def __init__(self) -> None:
        self.callee = FakeCallee()
        services = PeerServices(int, lambda: (0, b''), lambda *_: 0)
        self.server = PeerServer(self.callee, services, EventLog(None))
        self.wire: Wire | None = None
        self.session: PeerSession | None = None
        self.lost: PeerSession | None = None
        self.links = 0
        self.numbers = 0
        self.waiting: set[int] = set()
        self.refused: set[int] = set()

    def step(self, name: str) -> None:
        getattr(self, '_{}'.format(name.replace(' ', '_')))()

    def check(self) -> None:
        assert all(count == 1 for count in self.callee.started.values())
        assert not self.refused & set(self.callee.started)

    def _call(self) -> None:
        if self.wire is None:
            return
        self.numbers += 1
        self.waiting.add(self.numbers)
        self.wire.to_callee.append(make_call(self.numbers))

    def _to_callee(self) -> None:
        if self.wire is None or not self.wire.to_callee:
            return
        frame = self.wire.to_callee.popleft()
        if isinstance(frame, Hello):
            self.session = self.server._open(frame, self.wire)
        else:
            self.server._handle(frame, self.session, self.wire)

    def _run_ends(self) -> None:
        if not self.callee.running:
            return
        number, session = self.callee.running.popitem()
        answer = Answered(number, 200, b'', b'done', 0, 100, False)
        session.deliver(number, answer)

    def _to_sender(self) -> None:
        if self.wire is None or not self.wire.to_sender:
            return
        frame = self.wire.to_sender.popleft()
        if frame.number not in self.waiting:
            return
        self.waiting.discard(frame.number)
        if isinstance(frame, NotRun):
            self.refused.add(frame.number)

    def _link_lost(self) -> None:
        # What was under way is lost, in both directions.
        self.wire = None
        if self.session is not None:
            self.session.stream = None
            self.lost = self.session
            self.session = None

    def _new_link(self) -> None:
        if self.wire is not None:
            return
        self.wire = Wire()
        self.links += 1
        hello = Hello(INCARNATION, self.links, self.links == 1)
        self.wire.to_callee.append(hello)
        if self.waiting:
            self.wire.to_callee.append(CallStatusRequest(tuple(self.waiting)))

    def _forgotten(self) -> None:
        if self.lost is not None:
            self.server._forget(self.lost, self.lost.link)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(STEPS), max_size=120))
def test_calls_run_once_and_refusals_are_true(steps: list[str]):
    world = World()
    for name in ('new link', 'to callee', *steps):
        world.step(name)
        world.check()


def test_world_sees_a_result_that_is_forgotten_too_early():
    """Shows that the check can fail: results are dropped once they are sent."""
    world = World()
    for name in ('new link', 'to callee', 'call', 'to callee', 'run ends'):
        world.step(name)
    session = world.session
    session._result_by_number.clear()
    session._highest = 0
    for name in ('link lost', 'new link', 'to callee', 'to callee'):
        world.step(name)
    world.step('to sender')
    assert world.refused & set(world.callee.started)
