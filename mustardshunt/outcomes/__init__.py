"""At-most-once execution: log of the receiver, tracker of the sender."""

from mustardshunt.outcomes._call_tracker import CallTracker, make_call_tracker
from mustardshunt.outcomes._events import (
    AnswerArrived,
    CallAbandoned,
    CallResolved,
    CallSent,
    CallStatusArrived,
    CallTrackerAction,
    CallTrackerEvent,
    CallTrackerTick,
    LinkFailed,
    LinkOpened,
    PeerGone,
    ReopenLink,
    RequestCallStatus,
)
from mustardshunt.outcomes._log import (
    OutcomeLog,
    OutcomeLogView,
    make_outcome_log,
)
from mustardshunt.outcomes._model import (
    BeginResult,
    CallState,
    CallStatus,
    Outcome,
)

__all__ = [
    'AnswerArrived',
    'BeginResult',
    'CallAbandoned',
    'CallResolved',
    'CallSent',
    'CallState',
    'CallStatus',
    'CallStatusArrived',
    'CallTracker',
    'CallTrackerAction',
    'CallTrackerEvent',
    'CallTrackerTick',
    'LinkFailed',
    'LinkOpened',
    'Outcome',
    'OutcomeLog',
    'OutcomeLogView',
    'PeerGone',
    'ReopenLink',
    'RequestCallStatus',
    'make_call_tracker',
    'make_outcome_log',
]
