"""Outcomes of calls, and statuses of calls at the node that received them."""

import enum
from dataclasses import dataclass

from mustardshunt.base import Answer, Effect, Reason, Refusal


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a call: the reply, and the retries that are left.

    Parameters
    ----------
    reply : Answer or Refusal
        Reply that the sender receives.
    retries_left : int or None, default=None
        Retries that the sender allowed the callee to spend, taken from the hop
        retry budget of the request, and that the callee did not spend. None
        when their number is unknown.
    failed_deeper : bool, default=False
        Whether a dependency of the callee caused the failure.
    """

    reply: Answer | Refusal
    retries_left: int | None = None
    failed_deeper: bool = False


class BeginResult(enum.StrEnum):
    """Decision on whether an arrived call may go to the backend server.

    Only a ``BEGUN`` call may. A ``BARRED`` call must not run, because its
    sender was told earlier that the call has not run and never will.
    """

    BEGUN = 'begun'
    BARRED = 'barred'
    REPEATED = 'repeated'
    FORGOTTEN = 'forgotten'
    STALE_LINK = 'stale-link'
    FULL = 'full'

    @property
    def refusal(self) -> Refusal | None:
        """Refusal to send; None when the call runs or its frame is dropped.

        A repeated frame is dropped without a refusal. A refusal could arrive
        before the answer to the first frame, and the sender would take the
        refusal for the result.
        """
        return _REFUSAL_BY_RESULT.get(self)


_REFUSAL_BY_RESULT = {
    BeginResult.BARRED: Refusal(Reason.LINK_LOST, Effect.NOT_RUN),
    BeginResult.FORGOTTEN: Refusal(Reason.DUPLICATE, Effect.UNKNOWN),
    BeginResult.FULL: Refusal(Reason.OVERLOADED, Effect.NOT_RUN),
}


class CallState(enum.StrEnum):
    """State of a call, as its callee knows it.

    A ``BARRED`` call had not begun when its sender requested its status. If the
    call arrives later, the callee refuses it, so that the call never runs. A
    ``FORGOTTEN`` call has no record and may have run.
    """

    DONE = 'done'
    RUNNING = 'running'
    BARRED = 'barred'
    FORGOTTEN = 'forgotten'


@dataclass(frozen=True, slots=True)
class CallStatus:
    """Status of a call, sent as the answer to a status request.

    Parameters
    ----------
    kind : CallState
        State of the call, as its callee knows it.
    outcome : Outcome or None, default=None
        Outcome of the call if the call is done; None in any other state.
    """

    kind: CallState
    outcome: Outcome | None = None
