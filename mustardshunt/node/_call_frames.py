"""Converts calls and outcomes to frames and back."""

from mustardshunt.base import (
    Answer,
    CallContext,
    CallId,
    CallRequest,
    Incarnation,
    Refusal,
)
from mustardshunt.outcomes import Outcome
from mustardshunt.transport import AnswerFrame, CallFrame, RefusalFrame


def make_call_frame(
    context: CallContext,
    request: CallRequest,
    now: float,
) -> CallFrame:
    """Convert a call to a frame.

    The deadline is sent as the time left, since the clocks of nodes differ.
    """
    return CallFrame(
        context.call_id.number,
        context.root_id,
        context.organisation,
        context.importance,
        context.route,
        context.idempotent,
        context.depth,
        context.retries_left,
        context.deadline - now,
        request.method,
        request.target,
        request.headers,
        request.body,
    )


def read_call_frame(
    frame: CallFrame,
    sender: Incarnation,
    now: float,
) -> tuple[CallContext, CallRequest]:
    """Convert a frame to a call; its deadline counts from ``now``."""
    context = CallContext(
        CallId(sender, frame.number),
        frame.root_id,
        frame.organisation,
        frame.importance,
        frame.route,
        frame.idempotent,
        frame.depth,
        frame.retries,
        now + frame.remaining,
    )
    request = CallRequest(
        frame.method,
        frame.target,
        frame.headers,
        frame.body,
    )
    return context, request


def make_reply_frame(
    number: int,
    outcome: Outcome,
    shedding_threshold: int,
) -> AnswerFrame | RefusalFrame:
    """Convert an outcome to a frame.

    Parameters
    ----------
    number : int
        Number of the call at its sender.
    outcome : Outcome
        Answer or refusal.
    shedding_threshold : int
        Lowest importance that this node accepts now.

    Returns
    -------
    AnswerFrame or RefusalFrame
        Frame for the sender.
    """
    reply = outcome.reply
    if isinstance(reply, Answer):
        return AnswerFrame(
            number,
            outcome.retries_left,
            outcome.failed_deeper,
            shedding_threshold,
            reply.status,
            reply.headers,
            reply.body,
        )
    return RefusalFrame(
        number,
        outcome.retries_left,
        outcome.failed_deeper,
        shedding_threshold,
        reply.reason,
        reply.effect,
        reply.detail,
        reply.retry_after,
    )


def read_reply_frame(frame: AnswerFrame | RefusalFrame) -> Outcome:
    """Convert a reply frame to an outcome."""
    if isinstance(frame, AnswerFrame):
        answer = Answer(frame.status, frame.headers, frame.body)
        return Outcome(answer, frame.retries, frame.failed_deeper)
    refusal = Refusal(
        frame.reason,
        frame.effect,
        frame.detail,
        frame.retry_after,
    )
    return Outcome(refusal, frame.retries, frame.failed_deeper)
