"""Fate of calls whose link was replaced."""

from mustardshunt.observability import EventLog
from mustardshunt.relay import Answered, AnswerLost, Call, Hello, NotRun
from mustardshunt.sidecar._peer_server import (
    PeerServer,
    PeerServices,
    PeerSession,
)
from mustardshunt.upstream import AdmissionRequest


def make_call(number: int) -> Call:
    return Call(
        number,
        's',
        'route',
        f'r{number}',
        900,
        100,
        0,
        False,
        '',
        'c',
        'POST',
        '/',
        b'',
        b'',
    )


class FakeStream:
    def __init__(self) -> None:
        self.is_open = True
        self.sent: list[object] = []

    def abort(self) -> None:
        self.is_open = False

    def send(self, frame: object) -> None:
        self.sent.append(frame)


class FakeCallee:
    def __init__(self) -> None:
        self.cancelled: list[AdmissionRequest] = []
        self.status_publisher = self

    def subscribe(self, sink: object, view: object) -> None:
        pass

    def unsubscribe(self, sink: object) -> None:
        pass

    def status(self) -> None:
        pass

    def accept(self, call: Call, sink: object) -> AdmissionRequest:
        return AdmissionRequest(call.number, 0, False, '', 1.0)

    def cancel(self, ticket: AdmissionRequest, reason: str) -> None:
        self.cancelled.append(ticket)


def make_session() -> PeerSession:
    session = PeerSession('a-1', FakeCallee())
    session.stream = FakeStream()
    return session


def no_policy() -> tuple[int, bytes]:
    return 0, b''


def make_server() -> PeerServer:
    services = PeerServices(int, no_policy, lambda *_: 0)
    return PeerServer(FakeCallee(), services, EventLog(None))


def ask(session: PeerSession, *numbers: int) -> list[object]:
    stream = FakeStream()
    session.stream = stream
    session.report_call_statuses(numbers)
    return stream.sent


def test_answer_written_to_a_lost_link_is_not_called_not_run():
    """An order ran twice: its answer had left on the link that was lost."""
    session = make_session()
    session.start(make_call(7))
    answer = Answered(7, 200, b'', b'done', 0, 100, False)
    session.deliver(7, answer)
    assert ask(session, 7) == [answer]


def test_call_whose_answer_is_forgotten_is_unknown():
    session = make_session()
    session.start(make_call(7))
    session.deliver(7, Answered(7, 200, b'', b'x' * 400_000, 0, 100, False))
    session.start(make_call(8))
    session.deliver(8, Answered(8, 200, b'', b'x' * 400_000, 0, 100, False))
    assert isinstance(ask(session, 7)[0], AnswerLost)


def test_call_that_never_came_is_barred():
    session = make_session()
    session.start(make_call(7))
    fates = ask(session, 7, 9)
    assert [type(fate) for fate in fates] == [NotRun]
    session.start(make_call(9))
    # The late frame of call 9 was ignored: no result can come of it.
    assert ask(session, 9) == fates


def test_running_call_is_left_running_and_unasked_one_is_given_up():
    session = make_session()
    session.start(make_call(7))
    session.start(make_call(8))
    assert not ask(session, 7)
    callee = session._callee
    assert [ticket.key for ticket in callee.cancelled] == [8]


def test_time_to_return_starts_anew_with_each_lost_link():
    """An order ran twice: the timer of an earlier loss forgot its call."""
    server = make_server()
    stream = FakeStream()
    session = server._open(Hello('a-1', 1, True), stream)
    session.stream = None
    server._open(Hello('a-1', 2, False), stream)
    session.start(make_call(7))
    session.stream = None
    server._forget(session, 1)
    assert not session._callee.cancelled
    returned = server._open(Hello('a-1', 3, False), stream)
    assert returned is session
    server._forget(session, 3)
    assert not session._callee.cancelled


def test_sender_that_returns_too_late_is_not_told_not_run():
    server = make_server()
    stream = FakeStream()
    session = server._open(Hello('a-1', 1, True), stream)
    session.start(make_call(7))
    session.stream = None
    server._forget(session, 1)
    returned = server._open(Hello('a-1', 2, False), stream)
    assert returned is not session
    assert isinstance(ask(returned, 7)[0], AnswerLost)
