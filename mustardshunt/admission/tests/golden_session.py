"""Records the decisions of a gate on a fixed sequence of events, as text.

The text states each event and the resulting decisions. A test compares the text
with the stored text in ``golden/session.txt`` (the golden file).

``python -m mustardshunt.admission.tests.golden_session`` overwrites the golden
file with the current text and prints the differences.
"""

import difflib
import pathlib
import sys

from mustardshunt.admission import (
    BackendServerState,
    CallAnswered,
    CallArrived,
    CallCancelled,
    CallFailed,
    CallFailureKind,
    GateSettings,
    HeartbeatReceived,
    StartCall,
    Tick,
    make_gate,
)
from mustardshunt.admission.tests.processor_sharing import make_call
from mustardshunt.base import Importance

PATH = pathlib.Path(__file__).with_name('golden') / 'session.txt'


class Recorder:
    """Sends events to a gate and records the gate's decisions as text lines."""

    def __init__(self):
        self.gate = make_gate(GateSettings(max_limit=6, initial_limit=4))
        self.lines = []
        self.running = []
        self.now = 0.0

    def handle(self, event, note):
        self.lines.append(f'{self.now:7.3f} {note}')
        for action in self.gate.handle(event, self.now):
            number = action.call_id.number
            if isinstance(action, StartCall):
                self.running.append(action.call_id)
                self.lines.append(f'        start {number}')
                continue
            refusal = action.refusal
            self.lines.append(
                f'        refuse {number}: {refusal.reason}, {refusal.effect}'
            )
        snapshot = self.gate.snapshot()
        ramping = ', ramping' if snapshot.is_ramping else ''
        self.lines.append(
            f'        {snapshot.state}, limit {snapshot.limit}, '
            f'in flight {snapshot.in_flight}, queued {snapshot.queued}, '
            f'threshold {snapshot.shedding_threshold.label}{ramping}'
        )

    def receive_heartbeat(self, state, start_id):
        event = HeartbeatReceived(state, start_id)
        self.handle(event, f'heartbeat {state} {start_id}')

    def arrive(self, number, organisation, importance, seconds_to_deadline=1.0):
        call = make_call(
            number, organisation, importance, self.now + seconds_to_deadline
        )
        assert isinstance(call, CallArrived)
        note = f'arrived {number} {organisation} {importance.label}'
        self.handle(call, note)

    def answer(self, seconds=0.1):
        call_id = self.running.pop(0)
        event = CallAnswered(call_id, seconds, seconds)
        self.handle(event, f'answered {call_id.number} in {seconds} s')

    def fail(self, kind):
        call_id = self.running.pop(0)
        event = CallFailed(call_id, kind, 0.1, 0.1)
        self.handle(event, f'failed {call_id.number} {kind}')

    def cancel(self, number):
        event = CallCancelled(make_call(number).call_id)
        self.handle(event, f'cancelled {number}')

    def advance(self, seconds):
        self.now += seconds
        self.handle(Tick(), 'tick')


def record_session():
    """Record a cold start, queueing, cancellation, failures and a drain."""
    recorder = Recorder()
    recorder.receive_heartbeat(BackendServerState.COLD, 's1')
    for number in range(1, 7):
        recorder.arrive(number, 'glassworks', Importance.NORMAL)
    for _ in range(3):
        recorder.now += 0.1
        recorder.answer()
    recorder.arrive(7, 'museum', Importance.LOW)
    recorder.arrive(8, 'museum', Importance.CRITICAL)
    recorder.arrive(9, 'museum', Importance.HIGH)
    recorder.cancel(9)
    recorder.arrive(20, 'museum', Importance.NORMAL, seconds_to_deadline=0.3)
    recorder.now += 0.1
    recorder.answer()
    recorder.fail(CallFailureKind.SHED)
    recorder.advance(1.5)
    recorder.arrive(10, 'museum', Importance.NORMAL)
    recorder.arrive(11, 'museum', Importance.NORMAL)
    recorder.fail(CallFailureKind.CONNECTION_LOST)
    recorder.fail(CallFailureKind.CONNECTION_LOST)
    recorder.receive_heartbeat(BackendServerState.COLD, 's2')
    recorder.arrive(12, 'glassworks', Importance.NORMAL)
    recorder.arrive(13, 'glassworks', Importance.NORMAL)
    recorder.arrive(14, 'glassworks', Importance.NORMAL)
    recorder.receive_heartbeat(BackendServerState.DRAINING, 's2')
    recorder.arrive(15, 'glassworks', Importance.CRITICAL)
    return '\n'.join(recorder.lines) + '\n'


def main():
    """Overwrite the golden file and print what has changed in the file."""
    before = PATH.read_text() if PATH.exists() else ''
    after = record_session()
    PATH.parent.mkdir(exist_ok=True)
    PATH.write_text(after)
    difference = difflib.unified_diff(
        before.splitlines(keepends=True),
        after.splitlines(keepends=True),
        'before',
        'after',
    )
    sys.stdout.writelines(difference)


if __name__ == '__main__':
    main()
