"""Table of the calls in flight at one backend server."""

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
    """What a child call takes over from its parent.

    Parameters
    ----------
    number : int
        Number of the child call within its parent, from 1.
    root_id : CallId
        Request that started the chain.
    organisation : str
        Organisation of the parent.
    importance : Importance
        Importance of the parent.
    depth : int
        Depth of the child call.
    retries : int
        Retries lent until the child call is closed.
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
    """A finished call.

    Parameters
    ----------
    context : CallContext
        Context under which it ran.
    total_time : float
        Seconds from open to close.
    self_time : float
        Total less the time with at least one child call outstanding.
    child_calls : int
        Child calls that were opened.
    open_child_calls : int
        Child calls that are still running and should be cancelled.
    retries_left : int
        Retries to return to the sender.
    failed_deeper : bool
        Whether a child call failed and no repeat of it succeeded, so that a
        failure of this call counts as one from deeper in the chain.
    """

    context: CallContext
    total_time: float
    self_time: float
    child_calls: int
    open_child_calls: int
    retries_left: int
    failed_deeper: bool


@dataclass(slots=True)
class _Entry:
    """Mutable state of one call in flight."""

    context: CallContext
    opened: float
    retries: int
    child_calls: int = 0
    waited: float = 0.0
    waiting_since: float = 0.0
    lent_by_number: dict[int, tuple[int, str]] = field(default_factory=dict)
    # Failures that no repeat has been opened for; most calls have none.
    failures_by_request: dict[str, int] | None = None


class CallTable:
    """Calls in flight at a backend server's node, by opaque reference.

    Parameters
    ----------
    max_child_calls : int
        Child calls that one call may make.
    max_depth : int
        Longest chain of calls.
    """

    def __init__(self, max_child_calls: int, max_depth: int) -> None:
        self._max_child_calls = max_child_calls
        self._max_depth = max_depth
        self._entry_by_reference: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entry_by_reference)

    def open(self, context: CallContext, reference: str, now: float) -> None:
        """Register a call that goes to the backend server.

        Parameters
        ----------
        context : CallContext
            Context of the call.
        reference : str
            Random reference that the backend server presents.
        now : float
            Time, in seconds.

        Raises
        ------
        MustardshuntError
            The reference is in use.
        """
        if reference in self._entry_by_reference:
            raise MustardshuntError(
                ErrorCode.INTERNAL,
                'the reference of a new call is in use',
            )
        self._entry_by_reference[reference] = _Entry(
            context,
            now,
            context.retries_left,
        )

    def find(self, reference: str) -> CallContext | None:
        """Return the context of a call in flight, None when unknown."""
        entry = self._entry_by_reference.get(reference)
        return None if entry is None else entry.context

    def open_child(
        self,
        reference: str,
        route: str,
        now: float,
        fingerprint: str = '',
    ) -> ChildCallContext | Refusal:
        """Register a child call and lend it the parent's retries.

        Parameters
        ----------
        reference : str
            Reference that the backend server presented.
        route : str
            Route of the child call.
        now : float
            Time, in seconds.
        fingerprint : str, default=''
            Digest of the child call's request. A call that equals a failed
            one is a repeat and spends a retry; without a fingerprint, each
            call to the route of a failed one counts as a repeat.

        Returns
        -------
        ChildCallContext or Refusal
            A refusal means that the child call did not run.
        """
        entry = self._entry_by_reference.get(reference)
        if entry is None:
            return Refusal(Reason.UNKNOWN_CALL, Effect.NOT_RUN)
        request = f'{route} {fingerprint}'
        reason = self._find_objection(entry, now)
        if reason is None and not _pay_for_repeat(entry, request):
            reason = Reason.RETRY_BUDGET
        if reason is not None:
            return Refusal(reason, Effect.NOT_RUN)
        return _lend(entry, request, now)

    def close_child(
        self,
        reference: str,
        number: int,
        now: float,
        unused: int = 0,
        *,
        failed: bool = False,
    ) -> int:
        """End a child call and return its unused retries to the parent.

        Parameters
        ----------
        reference : str
            Reference of the parent.
        number : int
            Number of the child call.
        now : float
            Time, in seconds.
        unused : int, default=0
            Retries that the child call left over; at most those lent count.
        failed : bool, default=False
            Whether the child call failed.

        Returns
        -------
        int
            Retries that the parent has now; 0 when the parent has finished
            or the child call was closed before.
        """
        entry = self._entry_by_reference.get(reference)
        if entry is None:
            return 0
        lent, request = entry.lent_by_number.pop(number, (0, ''))
        if not request:
            return 0
        entry.retries += min(max(unused, 0), lent)
        if failed:
            _count_failure(entry, request)
        elif entry.failures_by_request:
            entry.failures_by_request.pop(request, None)
        if not entry.lent_by_number:
            entry.waited += now - entry.waiting_since
        return entry.retries

    def close(self, reference: str, now: float) -> CallSummary | None:
        """End a call, so that its reference is no longer accepted.

        Parameters
        ----------
        reference : str
            Reference of the call.
        now : float
            Time, in seconds.

        Returns
        -------
        CallSummary or None
            None when the reference is unknown. Retries lent to child calls
            that still run are lost, because they may yet be spent.
        """
        entry = self._entry_by_reference.pop(reference, None)
        if entry is None:
            return None
        waited = entry.waited
        if entry.lent_by_number:
            waited += now - entry.waiting_since
        total = now - entry.opened
        return CallSummary(
            context=entry.context,
            total_time=total,
            self_time=max(total - waited, 0.0),
            child_calls=entry.child_calls,
            open_child_calls=len(entry.lent_by_number),
            retries_left=entry.retries,
            failed_deeper=any((entry.failures_by_request or {}).values()),
        )

    def _find_objection(self, entry: _Entry, now: float) -> Reason | None:
        if entry.context.depth >= self._max_depth:
            return Reason.TOO_DEEP
        if entry.child_calls >= self._max_child_calls:
            return Reason.TOO_MANY_CALLS
        if now >= entry.context.deadline:
            return Reason.DEADLINE_EXCEEDED
        return None


def make_call_table(
    max_child_calls: int = MAX_CHILD_CALLS,
    max_depth: int = MAX_DEPTH,
) -> CallTable:
    """Return an empty table after a check of its parameters.

    Parameters
    ----------
    max_child_calls : int, default=16
        Child calls that one call may make.
    max_depth : int, default=7
        Longest chain of calls.
    """
    check_range('max_child_calls', max_child_calls, 1, MAX_CHILD_CALLS)
    check_range('max_depth', max_depth, 1, MAX_DEPTH)
    return CallTable(max_child_calls, max_depth)


def _pay_for_repeat(entry: _Entry, request: str) -> bool:
    """Spend a retry when the request repeats a failed one."""
    failures = entry.failures_by_request
    if not failures or not failures.get(request):
        return True
    if entry.retries <= 0:
        return False
    entry.retries -= 1
    failures[request] -= 1
    return True


def _count_failure(entry: _Entry, request: str) -> None:
    """Remember a failure, so that a repeat of its request is known."""
    if entry.failures_by_request is None:
        entry.failures_by_request = {}
    failures = entry.failures_by_request
    failures[request] = failures.get(request, 0) + 1


def _lend(entry: _Entry, request: str, now: float) -> ChildCallContext:
    """Open a child call with all retries that are not lent yet."""
    if not entry.lent_by_number:
        entry.waiting_since = now
    entry.child_calls += 1
    number = entry.child_calls
    retries = entry.retries
    entry.lent_by_number[number] = (retries, request)
    entry.retries = 0
    context = entry.context
    return ChildCallContext(
        number,
        context.root_id,
        context.organisation,
        context.importance,
        context.depth + 1,
        retries,
        context.deadline,
    )
