"""Records how a call tracker and an outcome log handle lost links, as text.

The sequence of events at the sender and the callee is fixed. The text states
the events and their results. A test compares the text with the stored text in
``golden/session.txt`` (the golden file).
"""

import pathlib

from mustardshunt.base import (
    Answer,
    CallId,
    Effect,
    Incarnation,
    Reason,
    Refusal,
)
from mustardshunt.base.tests.golden import Recorder, describe
from mustardshunt.outcomes import (
    AnswerArrived,
    CallAbandoned,
    CallSent,
    CallStatusArrived,
    CallTrackerTick,
    LinkFailed,
    LinkOpened,
    Outcome,
    PeerGone,
    RequestCallStatus,
    make_call_tracker,
    make_outcome_log,
)

PATH = pathlib.Path(__file__).with_name('golden') / 'session.txt'
SENDER, CALLEE = Incarnation('sender'), Incarnation('callee')
DONE = Outcome(Answer(201, (), b'order 7'), retries_left=1)


class Session(Recorder):
    def __init__(self):
        super().__init__()
        self.tracker = make_call_tracker()
        self.log = make_outcome_log()

    def feed_sender(self, event):
        self.event('sender', event)
        for action in self.tracker.handle(event, self.now):
            self.action('sender', action)
            if isinstance(action, RequestCallStatus):
                self.answer_status_request(action)

    def answer_status_request(self, request):
        status = self.log.resolve(request.call_id, self.now)
        self.lines.append(f'{self.now:8.3f} callee: status {describe(status)}')
        self.feed_sender(CallStatusArrived(request.call_id, CALLEE, status))

    def send(self, number, link):
        call_id = CallId(SENDER, number)
        self.feed_sender(CallSent(call_id, CALLEE, link, idempotent=False))

    def begin(self, number, link):
        call_id = CallId(SENDER, number)
        result = self.log.begin(call_id, link, self.now)
        self.lines.append(f'{self.now:8.3f} callee: {call_id} {result}')

    def finish(self, number, outcome):
        call_id = CallId(SENDER, number)
        was_running = self.log.finish(call_id, outcome, self.now)
        description = 'ends' if was_running else 'does not run'
        self.lines.append(f'{self.now:8.3f} callee: {call_id} {description}')

    def switch_link(self, link):
        self.feed_sender(LinkFailed(CALLEE, link - 1))
        self.now += 0.002
        self.log.register_link(SENDER, link, self.now)
        self.feed_sender(LinkOpened(CALLEE, link))


def record_session():
    session = Session()
    session.note('call 1 is answered, and the answer arrives twice')
    session.log.register_link(SENDER, 1, session.now)
    session.feed_sender(LinkOpened(CALLEE, 1))
    session.send(1, link=1)
    session.begin(1, link=1)
    session.now = 0.05
    session.finish(1, DONE)
    answer = AnswerArrived(CallId(SENDER, 1), CALLEE, DONE)
    session.feed_sender(answer)
    session.feed_sender(answer)
    session.note('call 2 is done, 3 runs, 4 has not arrived; the link is lost')
    for number in (2, 3, 4):
        session.send(number, link=1)
    session.begin(2, link=1)
    session.begin(3, link=1)
    session.finish(2, DONE)
    session.switch_link(2)
    session.note('call 4 arrives late on the old link and on the new one')
    session.begin(4, link=1)
    session.begin(4, link=2)
    session.note('call 3 ends and is answered on the new link')
    session.now = 0.4
    session.finish(3, DONE)
    session.feed_sender(AnswerArrived(CallId(SENDER, 3), CALLEE, DONE))
    session.note('the sender is paused for longer than outcomes are kept')
    session.send(5, link=2)
    session.begin(5, link=2)
    session.finish(5, DONE)
    session.now = 70.0
    session.switch_link(3)
    session.begin(5, link=3)
    session.note('call 6 is refused by admission, 7 passes its deadline')
    session.send(6, link=3)
    session.begin(6, link=3)
    shed = Outcome(Refusal(Reason.OVERLOADED, Effect.NOT_RUN), 2)
    session.finish(6, shed)
    session.feed_sender(AnswerArrived(CallId(SENDER, 6), CALLEE, shed))
    session.send(7, link=3)
    late = Outcome(Refusal(Reason.DEADLINE_EXCEEDED, Effect.UNKNOWN))
    session.feed_sender(CallAbandoned(CallId(SENDER, 7), CALLEE, late))
    session.note('the callee is gone before call 8 is answered')
    session.send(8, link=3)
    session.feed_sender(LinkFailed(CALLEE, 3))
    session.now = 71.5
    session.feed_sender(CallTrackerTick())
    session.feed_sender(PeerGone(CALLEE))
    return session.text()
