"""Property tests: rules that hold for every sequence of events."""

import collections
import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardshunt.admission import (
    BackendServerState,
    CallAnswered,
    CallCancelled,
    CallFailed,
    CallFailureKind,
    FairQueue,
    GateSettings,
    HeartbeatReceived,
    RefuseCall,
    StartCall,
    Tick,
    make_gate,
)
from mustardshunt.admission.tests.processor_sharing import make_call
from mustardshunt.base import Importance, Reason

DETERMINISTIC = settings(derandomize=True, max_examples=150, deadline=None)
ARRIVE_CALL = st.tuples(
    st.just('arrive'),
    st.sampled_from('abc'),
    st.sampled_from(Importance),
    st.sampled_from([0.05, 5.0, 50.0]),
)
END_CALL = st.one_of(
    st.tuples(st.just('answer'), st.integers(0, 30)),
    st.tuples(
        st.just('fail'), st.integers(0, 30), st.sampled_from(CallFailureKind)
    ),
)
RARE_EVENT = st.one_of(
    st.tuples(st.just('cancel'), st.integers(0, 30)),
    st.tuples(
        st.just('announce'),
        st.sampled_from(BackendServerState),
        st.sampled_from(['s1', 's2']),
    ),
    st.tuples(
        st.just('announce'), st.just(BackendServerState.READY), st.just('s1')
    ),
    st.tuples(st.just('tick')),
)
# Bursts fill the queue, so that calls are displaced and refused.
STEPS = st.lists(
    st.one_of(
        st.lists(ARRIVE_CALL, min_size=1, max_size=8),
        st.lists(END_CALL, min_size=1, max_size=4),
        st.lists(RARE_EVENT, min_size=1, max_size=1),
    ),
    min_size=10,
    max_size=60,
)


class Session:
    """Sends events to a gate and checks each action against the rules."""

    def __init__(self, gate):
        self.gate = gate
        self.now = 0.0
        self.call_by_id = {}
        self.waiting = {}
        self.running = {}
        self.outcomes = collections.Counter()
        self.handle(HeartbeatReceived(BackendServerState.READY, 's1'))

    def step(self, step):
        self.now += 0.02
        kind, *values = step
        getattr(self, kind)(*values)

    def arrive(self, name, importance, seconds_to_deadline):
        number = len(self.call_by_id)
        call = make_call(
            number, name, importance, self.now + seconds_to_deadline
        )
        self.call_by_id[call.call_id] = call
        self.waiting[call.call_id] = call
        self.handle(call)

    def announce(self, state, start_id):
        self.handle(HeartbeatReceived(state, start_id))

    def tick(self):
        self.handle(Tick())

    def cancel(self, number):
        self.end_call(self.waiting, number, CallCancelled)

    def answer(self, number):
        self.end_call(self.running, number, CallAnswered, 0.1, 0.1)

    def fail(self, number, kind):
        self.end_call(self.running, number, CallFailed, kind, 0.1, 0.1)

    def end_call(self, calls, number, event_type, *values):
        if calls:
            call_id = list(calls)[number % len(calls)]
            if event_type is not CallCancelled:
                del calls[call_id]
            self.handle(event_type(call_id, *values))

    def handle(self, event):
        actions = self.gate.handle(event, self.now)
        for action in actions:
            self.outcomes[action.call_id] += 1
            call = self.waiting.pop(action.call_id)
            if isinstance(action, RefuseCall):
                self.check_refusal(call, action.refusal.reason)
            elif isinstance(action, StartCall):
                self.running[action.call_id] = call
                self.check_start(call)

    def check_start(self, call):
        snapshot = self.gate.snapshot()
        assert len(self.running) <= snapshot.limit
        assert call.deadline > self.now
        assert all(
            other.importance <= call.importance
            for other in self.waiting.values()
        )

    def check_refusal(self, call, reason):
        if reason is Reason.OVERLOADED and call.importance == max(Importance):
            others = [*self.waiting.values(), *self.running.values()]
            assert all(o.importance == call.importance for o in others)


@DETERMINISTIC
@given(STEPS)
def test_each_call_has_one_outcome_within_limit_and_by_importance(steps):
    """Each call must be started or refused exactly once.

    The calls in flight must stay within the limit. No call may start while a
    more important call waits.
    """
    session = Session(make_gate(GateSettings(max_limit=5, initial_limit=3)))
    for step in itertools.chain.from_iterable(steps):
        session.step(step)
    snapshot = session.gate.snapshot()
    assert snapshot.queued == len(session.waiting)
    assert snapshot.in_flight == len(session.running)
    session.handle(HeartbeatReceived(BackendServerState.GONE, 's1'))
    assert session.outcomes == dict.fromkeys(session.call_by_id, 1)


@DETERMINISTIC
@given(st.lists(st.tuples(st.floats(0.0, 0.3), st.integers(1, 40))))
def test_ramp_bounds_calls_in_flight_under_bursts(rounds):
    """A burst must not send many calls to a cold backend server.

    The calls in flight must stay within a cap that doubles each second.
    """
    session = Session(make_gate(GateSettings(max_limit=99, initial_limit=99)))
    for pause, arrivals in rounds:
        session.now += pause
        for _ in range(arrivals):
            session.step(('arrive', 'a', Importance.CRITICAL, 5.0))
            bound = 2 * 2 ** (1 + int(session.now))
            assert len(session.running) <= bound
        session.step(('answer', 0))


@DETERMINISTIC
@given(
    st.dictionaries(st.sampled_from('abcdef'), st.integers(1, 60), min_size=2),
    st.randoms(use_true_random=False),
)
def test_backlogged_organisations_are_served_equally(count_by_name, random):
    """No organisation may be served more than others while all have calls."""
    names = [
        name for name, count in count_by_name.items() for _ in range(count)
    ]
    random.shuffle(names)
    queue = FairQueue()
    for number, name in enumerate(names):
        queue.push(make_call(number, name))
    remaining = collections.Counter(count_by_name)
    served = collections.Counter(dict.fromkeys(remaining, 0))
    while all(remaining.values()):
        name = queue.pop().organisation
        remaining[name] -= 1
        served[name] += 1
        assert max(served.values()) - min(served.values()) <= 1
