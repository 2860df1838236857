"""Table of the calls in flight at one backend server.

The table limits the child calls that a running request makes, and divides the
retry budget of the request among the child calls.
"""

from dataclasses import dataclass, field

from mustardshunt.base import (
    MAX_CHILD_CALLS,
    MAX_DEPTH,
    CallContext,
    CallId,
    Effect,
    ErrorCode,
    Importance,
    MustardshuntError,
    Reason,
    Refusal,
    check_range,
)


@dataclass(frozen=True, slots=True)
class ChildCallContext:
    """Context that a child call inherits from its parent.

    Parameters
    ----------
    number : int
        Number of the child call among the child calls of the same parent, from
        1.
    root_id : CallId
        Identity of the request that started the chain of calls.
    organisation : str
        Organisation of the parent.
    importance : Importance
        Importance of the parent.
    depth : int
        Depth of the child call in the chain of calls: depth of the parent + 1.
    retries : int
        Retries that the child call may spend. The parent gets the unspent ones
        back when the child call is closed.
    deadline : float
        Deadline of the parent, in seconds on this node's clock.
    """

    number: int
    root_id: CallId
    organisation: str
    importance: Importance
    depth: int
    retries: int
    deadline: float


@dataclass(frozen=True, slots=True)
class CallSummary:
    """Durations, child calls and unspent retries of a finished call.

    Parameters
    ----------
    context : CallContext
        Context of the call.
    total_time : float
        Seconds from the opening of the call to its end.
    self_time : float
        Seconds of the total time during which no child call was open.
    child_calls : int
        Number of child calls that were opened.
    open_child_calls : int
        Number of child calls that are still running and should be cancelled.
    retries_left : int
        Unspent retries, which the sender of the call gets back.
    failed_deeper : bool
        Whether a child call failed and was not repeated successfully. If so, a
        failure of this call counts as a failure deeper in the chain, and the
        sender must not retry the call.
    """

    context: CallContext
    total_time: float
    self_time: float
    child_calls: int
    open_child_calls: int
    retries_left: int
    failed_deeper: bool


@dataclass(slots=True)
class _OpenCall:
    """State of one call in flight, which changes with its child calls."""

    context: CallContext
    opened_at: float
    retries: int
    child_calls: int = 0
    child_time: float = 0.0
    child_time_since: float = 0.0
    # Passed retries and request key of each open child call, by the number of
    # the child call.
    open_child_by_number: dict[int, tuple[int, str]] = field(
        default_factory=dict
    )
    # Number of failed child calls that have not been repeated yet, by request
    # key. None until a child call fails, so that most calls need no dictionary.
    failure_count_by_request: dict[str, int] | None = None


class CallTable:
    """Calls that are in flight at the backend server of this node.

    Each call has a random reference. When the backend server makes a child
    call, the server presents the reference of the parent.

    Parameters
    ----------
    max_child_calls : int
        Most child calls that one call may make.
    max_depth : int
        Most calls in a chain, the caller's request included.
    """

    def __init__(self, max_child_calls: int, max_depth: int) -> None:
        self._max_child_calls = max_child_calls
        self._max_depth = max_depth
        self._call_by_reference: dict[str, _OpenCall] = {}

    def __len__(self) -> int:
        return len(self._call_by_reference)

    def open(self, context: CallContext, reference: str, now: float) -> None:
        """Register a call before it goes to the backend server.

        Parameters
        ----------
        context : CallContext
            Context of the call.
        reference : str
            Random reference that the backend server presents to make child
            calls.
        now : float
            Seconds on this node's clock.

        Raises
        ------
        MustardshuntError
            Another call in flight has the same reference.
        """
        if reference in self._call_by_reference:
            raise MustardshuntError(
                ErrorCode.INTERNAL,
                f'reference of call {context.call_id} is already in use',
            )
        self._call_by_reference[reference] = _OpenCall(
            context,
            now,
            context.retries_left,
        )

    def find(self, reference: str) -> CallContext | None:
        """Return the context of a call; None if no call has the reference."""
        call = self._call_by_reference.get(reference)
        return None if call is None else call.context

    def open_child(
        self,
        reference: str,
        route: str,
        now: float,
        fingerprint: str = '',
    ) -> ChildCallContext | Refusal:
        """Check and register a child call of a running request (the parent).

        The child call receives all retries that the parent has left. When the
        child call is closed, its unspent retries return to the parent.

        Parameters
        ----------
        reference : str
            Reference that the backend server presented.
        route : str
            Route of the child call.
        now : float
            Seconds on this node's clock.
        fingerprint : str, default=''
            Digest of the child call's request. When an earlier child call with
            the same route and fingerprint has failed, this child call counts as
            a repeat and spends a retry. If both fingerprints are empty, the
            same route is sufficient.

        Returns
        -------
        ChildCallContext or Refusal
            Context of the child call, or the reason why it must not run.
        """
        call = self._call_by_reference.get(reference)
        if call is None:
            return Refusal(Reason.UNKNOWN_CALL, Effect.NOT_RUN)
        request_key = f'{route} {fingerprint}'
        reason = self._find_refusal_reason(call, now)
        if reason is None and not _spend_retry_if_repeat(call, request_key):
            reason = Reason.RETRY_BUDGET
        if reason is not None:
            return Refusal(reason, Effect.NOT_RUN)
        return _register_child(call, request_key, now)

    def close_child(
        self,
        reference: str,
        number: int,
        now: float,
        unused: int = 0,
        *,
        failed: bool = False,
    ) -> int:
        """Close a child call and return its unspent retries to its parent.

        Parameters
        ----------
        reference : str
            Reference of the parent.
        number : int
            Number of the child call.
        now : float
            Seconds on this node's clock.
        unused : int, default=0
            Unspent retries of the child call. A number above the retries that
            the child call received is lowered to their number.
        failed : bool, default=False
            Whether the child call failed.

        Returns
        -------
        int
            Retries that the parent now has. 0 when the parent has finished, or
            when the child call is already closed.
        """
        call = self._call_by_reference.get(reference)
        if call is None:
            return 0
        lent, request_key = call.open_child_by_number.pop(number, (0, ''))
        if not request_key:
            return 0
        call.retries += min(max(unused, 0), lent)
        if failed:
            _count_failure(call, request_key)
        elif call.failure_count_by_request:
            call.failure_count_by_request.pop(request_key, None)
        if not call.open_child_by_number:
            call.child_time += now - call.child_time_since
        return call.retries

    def close(self, reference: str, now: float) -> CallSummary | None:
        """Close a call and return its summary.

        The reference of the call is not accepted any more.

        Parameters
        ----------
        reference : str
            Reference of the call.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        CallSummary or None
            Summary of the call; None when the reference is unknown. Retries of
            child calls that are still running count as spent, because these
            child calls may still use them.
        """
        call = self._call_by_reference.pop(reference, None)
        if call is None:
            return None
        child_time = call.child_time
        if call.open_child_by_number:
            child_time += now - call.child_time_since
        total_time = now - call.opened_at
        return CallSummary(
            context=call.context,
            total_time=total_time,
            self_time=max(total_time - child_time, 0.0),
            child_calls=call.child_calls,
            open_child_calls=len(call.open_child_by_number),
            retries_left=call.retries,
            failed_deeper=any((call.failure_count_by_request or {}).values()),
        )

    def _find_refusal_reason(
        self, call: _OpenCall, now: float
    ) -> Reason | None:
        if call.context.depth >= self._max_depth:
            return Reason.TOO_DEEP
        if call.child_calls >= self._max_child_calls:
            return Reason.TOO_MANY_CALLS
        if now >= call.context.deadline:
            return Reason.DEADLINE_EXCEEDED
        return None


def make_call_table(
    max_child_calls: int = MAX_CHILD_CALLS,
    max_depth: int = MAX_DEPTH,
) -> CallTable:
    """Check the limits and return a table without calls.

    Parameters
    ----------
    max_child_calls : int, default=16
        Most child calls that one call may make.
    max_depth : int, default=7
        Most calls in a chain, the caller's request included.

    Raises
    ------
    ParameterError
        A parameter is below 1 or above its default.
    """
    check_range('max_child_calls', max_child_calls, 1, MAX_CHILD_CALLS)
    check_range('max_depth', max_depth, 1, MAX_DEPTH)
    return CallTable(max_child_calls, max_depth)


def _spend_retry_if_repeat(call: _OpenCall, request_key: str) -> bool:
    """Spend a retry if a child call repeats a failed one.

    Returns False when the child call is a repeat and no retry is left, and True
    otherwise.
    """
    failures = call.failure_count_by_request
    if not failures or not failures.get(request_key):
        return True
    if call.retries <= 0:
        return False
    call.retries -= 1
    failures[request_key] -= 1
    return True


def _count_failure(call: _OpenCall, request_key: str) -> None:
    """Count a failed child call, so that a repeat can be recognised."""
    if call.failure_count_by_request is None:
        call.failure_count_by_request = {}
    failures = call.failure_count_by_request
    failures[request_key] = failures.get(request_key, 0) + 1


def _register_child(
    call: _OpenCall, request_key: str, now: float
) -> ChildCallContext:
    """Register a child call and transfer all retries of the parent to it."""
    if not call.open_child_by_number:
        call.child_time_since = now
    call.child_calls += 1
    number = call.child_calls
    retries = call.retries
    call.open_child_by_number[number] = (retries, request_key)
    call.retries = 0
    context = call.context
    return ChildCallContext(
        number,
        context.root_id,
        context.organisation,
        context.importance,
        context.depth + 1,
        retries,
        context.deadline,
    )
