"""A call that this node passes to its backend server."""

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
    """Handles the results of the calls that the backend server has ended."""

    def finish(
        self,
        call: 'ServedCall',
        result: Answer | BackendFailure,
    ) -> None:
        """Handle the answer or failure of a call, once for each call."""
        ...


class ServedCall:
    """A call for the backend server, from its arrival to its reply.

    Parameters
    ----------
    owner : ServedCallOwner
        Handles the answer or failure of the backend server.
    context : CallContext
        Context of the call.
    request : CallRequest
        Request for the backend server.
    reply : callable
        Is called once, with the outcome of the call.
    fingerprint : str
        Digest of the request, which is the same for all repeats.
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
        """Organisation that made the request."""
        return self.context.organisation

    @property
    def deadline(self) -> float:
        """Point in time after which the caller no longer waits for a response.

        The value is in seconds on this node's clock.
        """
        return self.context.deadline

    def finish(self, result: Answer | BackendFailure) -> None:
        """Pass the backend server's answer or failure to the owner."""
        self._owner.finish(self, result)
