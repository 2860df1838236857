"""Outcomes of calls and what a callee says of their fate."""

import enum
from dataclasses import dataclass

from mustardshunt.base import Answer, Effect, Reason, Refusal


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a call ended.

    Parameters
    ----------
    reply : Answer or Refusal
        What goes to the sender.
    retries_left : int or None, default=None
        Lent retries that were not spent; None when that is not known.
    failed_deeper : bool, default=False
        Whether the failure comes from deeper in the chain.
    """

    reply: Answer | Refusal
    retries_left: int | None = None
    failed_deeper: bool = False


class BeginResult(enum.StrEnum):
    """Whether a call that has arrived may go to the backend server."""

    BEGUN = 'begun'
    BARRED = 'barred'
    REPEATED = 'repeated'
    FORGOTTEN = 'forgotten'
    STALE_LINK = 'stale-link'
    FULL = 'full'

    @property
    def refusal(self) -> Refusal | None:
        """Refusal to send, None when the frame is dropped or the call runs.

        A repeated frame gets no reply of its own, since that could overtake
        the answer to the first one.
        """
        return _REFUSAL_BY_BEGINNING.get(self)


_REFUSAL_BY_BEGINNING = {
    BeginResult.BARRED: Refusal(Reason.LINK_LOST, Effect.NOT_RUN),
    BeginResult.FORGOTTEN: Refusal(Reason.DUPLICATE, Effect.UNKNOWN),
    BeginResult.FULL: Refusal(Reason.OVERLOADED, Effect.NOT_RUN),
}


class CallState(enum.StrEnum):
    """What the callee knows of a call."""

    DONE = 'done'
    RUNNING = 'running'
    BARRED = 'barred'
    FORGOTTEN = 'forgotten'


@dataclass(frozen=True, slots=True)
class CallStatus:
    """Answer to a question for a call's fate.

    Parameters
    ----------
    kind : CallState
        What the callee knows.
    outcome : Outcome or None, default=None
        Outcome of a call that is done.
    """

    kind: CallState
    outcome: Outcome | None = None
