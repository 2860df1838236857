"""Converts results of the backend server to gate events and call outcomes."""

from typing import Final

from mustardshunt.admission import CallAnswered, CallFailed, CallFailureKind
from mustardshunt.base import Answer, CallId, Effect, Reason, Refusal
from mustardshunt.calls import CallSummary
from mustardshunt.node._served_call import ServedCall
from mustardshunt.outcomes import Outcome
from mustardshunt.transport import BackendFailure, says_not_run

_SHED_STATUS: Final = 503
_FAILURE_STATUS: Final = 500

_KIND_BY_FAILURE: Final = {
    'refused': CallFailureKind.CONNECTION_LOST,
    'lost': CallFailureKind.CONNECTION_LOST,
    'invalid': CallFailureKind.CONNECTION_LOST,
    'timeout': CallFailureKind.TIMED_OUT,
    'cancelled': CallFailureKind.CANCELLED,
    'quarantined': CallFailureKind.CANCELLED,
}
_REASON_BY_FAILURE: Final = {
    'timeout': Reason.DEADLINE_EXCEEDED,
    'cancelled': Reason.CANCELLED,
    'quarantined': Reason.QUARANTINED,
}


def make_gate_event(
    call_id: CallId,
    result: Answer | BackendFailure,
    summary: CallSummary,
) -> CallAnswered | CallFailed:
    """Convert the result of a call to an event for the admission gate.

    Parameters
    ----------
    call_id : CallId
        Identity of the call.
    result : Answer or BackendFailure
        Answer or failure of the backend server.
    summary : CallSummary
        Total time and self time of the call.

    Returns
    -------
    CallAnswered or CallFailed
        Event for the admission gate.
    """
    if isinstance(result, Answer):
        if result.status != _SHED_STATUS:
            return CallAnswered(
                call_id,
                summary.total_time,
                summary.self_time,
            )
        kind = CallFailureKind.SHED
    else:
        kind = _KIND_BY_FAILURE[result.kind]
    return CallFailed(call_id, kind, summary.total_time, summary.self_time)


def make_outcome(
    call: ServedCall,
    result: Answer | BackendFailure,
    summary: CallSummary,
) -> Outcome:
    """Convert the result of a call to the outcome that its sender gets.

    Parameters
    ----------
    call : ServedCall
        Call that has ended.
    result : Answer or BackendFailure
        Answer or failure of the backend server.
    summary : CallSummary
        Number of retries left, and whether a child call failed.

    Returns
    -------
    Outcome
        Answer or refusal.
    """
    retries = summary.retries_left
    if isinstance(result, BackendFailure):
        effect = Effect.UNKNOWN if result.has_begun else Effect.NOT_RUN
        reason = _REASON_BY_FAILURE.get(
            result.kind,
            Reason.BACKEND_SERVER_LOST,
        )
        refusal = Refusal(reason, effect)
        return Outcome(refusal, retries, summary.failed_deeper)
    if result.status == _SHED_STATUS and not summary.failed_deeper:
        if says_not_run(result):
            refusal = Refusal(Reason.OVERLOADED, Effect.NOT_RUN)
            return Outcome(refusal, retries)
        if call.context.idempotent:
            # The backend server shed the call, perhaps after part of the work.
            # An idempotent call may be retried at another backend server.
            refusal = Refusal(Reason.OVERLOADED, Effect.UNKNOWN)
            return Outcome(refusal, retries)
    failed = result.status >= _FAILURE_STATUS
    return Outcome(result, retries, failed and summary.failed_deeper)
