"""One call on its way to the node's own backend server."""

import secrets
from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from mustardshunt.base import Answer, CallContext, CallRequest
from mustardshunt.outcomes import Outcome
from mustardshunt.quarantine import Fingerprint
from mustardshunt.transport import BackendFailure

_REFERENCE_BYTES: Final = 16

ReplyCallback: TypeAlias = Callable[[Outcome], None]


class ServedCallOwner(Protocol):
    """Takes what came from the backend server."""

    def finish(
        self,
        call: 'ServedCall',
        result: Answer | BackendFailure,
    ) -> None:
        """Take the result of a call, once."""
        ...


class ServedCall:
    """One call from its arrival to its reply.

    Parameters
    ----------
    owner : ServedCallOwner
        Takes the result.
    context : CallContext
        Context of the call.
    request : CallRequest
        What is sent to the backend server.
    reply : callable
        Takes the outcome, once.
    fingerprint : str
        Digest of the request, the same for each repeat by its caller.
    """

    __slots__ = (
        '_owner',
        'context',
        'fingerprint',
        'is_cancelled',
        'reference',
        'reply',
        'request',
    )

    def __init__(
        self,
        owner: ServedCallOwner,
        context: CallContext,
        request: CallRequest,
        reply: ReplyCallback,
        fingerprint: Fingerprint,
    ) -> None:
        self._owner = owner
        self.context = context
        self.request = request
        self.reply = reply
        self.fingerprint = fingerprint
        self.reference = secrets.token_hex(_REFERENCE_BYTES)
        self.is_cancelled = False

    @property
    def organisation(self) -> str:
        """Organisation for which the call runs."""
        return self.context.organisation

    @property
    def deadline(self) -> float:
        """Time after which nobody waits."""
        return self.context.deadline

    def finish(self, result: Answer | BackendFailure) -> None:
        """Take what came from the backend server."""
        self._owner.finish(self, result)
