"""Converts calls and outcomes to the frames sent between nodes, and back."""

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
    """Convert a call to the frame that is sent to another node.

    The frame contains the time left until the deadline, in seconds, because
    the clocks of nodes differ.
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
    """Convert a received frame to a call.

    The time left in the frame is added to ``now``, which gives the deadline.
    """
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
    """Convert the outcome of a call to the frame that answers its sender.

    Parameters
    ----------
    number : int
        Number that the sender gave to the call.
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
    """Convert a received answer or refusal frame to the call's outcome."""
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
