"""Admission queue of calls that wait for a slot of the backend server."""

from collections import Counter, OrderedDict, deque
from collections.abc import Hashable
from typing import Final

from mustardshunt.upstream._events import AdmissionRequest
from mustardshunt.upstream._ordering import QueueOrdering
from mustardshunt.upstream._start_rules import StartRule

# Rank of child calls in the queue. Child calls come before calls of rank 0, the
# most important rank: if a child call is refused, the work that was already
# done for its request is lost.
_CHILD_CALL_RANK: Final = -1
# Child calls that start one after the other while other calls wait; then one of
# the others starts. A service whose calls are mostly child calls would serve
# its direct callers last, however important they are, since child calls wait in
# every overload.
MAX_CHILD_CALLS_IN_A_ROW: Final = 1
# Removed calls that the queue of an organisation keeps before it is compacted.
MIN_COMPACTED: Final = 64


class AdmissionQueue:
    """Queue of calls, ordered by priority rank.

    Within a rank, the ordering chooses the organisation. Child calls come
    first, but only ``MAX_CHILD_CALLS_IN_A_ROW`` of them while other calls wait.

    Parameters
    ----------
    ordering : QueueOrdering
        Order of the organisations within a rank.
    start_rule : StartRule
        Tells which calls can no longer end in time.

    Examples
    --------
    >>> from mustardshunt.upstream._ordering import RoundRobin
    >>> from mustardshunt.upstream._start_rules import StartAlways
    >>> queue = AdmissionQueue(RoundRobin(), StartAlways())
    >>> for key, rank in (('read', 2), ('order', 0)):
    ...     request = AdmissionRequest(key, rank, False, 'o', 9.0)
    ...     queue.push(request, now=0.0)
    >>> queue.pop(0.1).key, queue.pop(0.1).key, queue.pop(0.1)
    ('order', 'read', None)
    """

    def __init__(self, ordering: QueueOrdering, start_rule: StartRule) -> None:
        self._ordering = ordering
        self._start_rule = start_rule
        self._queues_by_rank: dict[
            int, OrderedDict[str, deque[AdmissionRequest]]
        ] = {}
        self._request_by_key: dict[Hashable, AdmissionRequest] = {}
        self._queued_at_by_key: dict[Hashable, float] = {}
        self._counts_by_rank: dict[int, Counter[str]] = {}
        # Calls that have left the queue and are refused by the next
        # ``remove_expired``.
        self._withdrawn_by_key: dict[Hashable, AdmissionRequest] = {}
        self._child_calls_in_a_row = 0

    def __len__(self) -> int:
        return len(self._request_by_key)

    @property
    def unanswered(self) -> int:
        """Number of calls that wait, or whose refusal is not reported yet."""
        return len(self._request_by_key) + len(self._withdrawn_by_key)

    def push(self, request: AdmissionRequest, now: float) -> None:
        """Add a call to the queue at the time ``now`` in seconds."""
        rank = _queue_rank(request)
        queues = self._queues_by_rank.setdefault(rank, OrderedDict())
        counts = self._counts_by_rank.setdefault(rank, Counter())
        counts[request.organisation] += 1
        requests = queues.setdefault(request.organisation, deque())
        if len(requests) > MIN_COMPACTED + 2 * counts[request.organisation]:
            # Removed calls of a rank that gets no turn would pile up.
            waiting = [
                queued for queued in requests if self._is_waiting(queued)
            ]
            requests.clear()
            requests.extend(waiting)
        requests.append(request)
        self._request_by_key[request.key] = request
        if request.is_child_call:
            self._queued_at_by_key[request.key] = now

    def pop(self, now: float) -> AdmissionRequest | None:
        """Remove and return the next call, None if the queue is empty."""
        ranks = sorted(self._queues_by_rank)
        if self._child_calls_in_a_row >= MAX_CHILD_CALLS_IN_A_ROW:
            ranks.sort(key=lambda rank: rank == _CHILD_CALL_RANK)
        for rank in ranks:
            request = self._pop_rank(self._queues_by_rank[rank], now)
            if request is None:
                del self._queues_by_rank[rank]
                continue
            self._child_calls_in_a_row += 1
            if rank != _CHILD_CALL_RANK:
                self._child_calls_in_a_row = 0
            return request
        return None

    def count_before(self, request: AdmissionRequest) -> int:
        """Return how many queued calls start before a call that is added."""
        rank = _queue_rank(request)
        return sum(
            _queue_rank(queued) <= rank
            for queued in self._request_by_key.values()
        )

    def count(self, priority_rank: int) -> int:
        """Return the number of queued calls of a rank without child calls."""
        return sum(self._counts_by_rank.get(priority_rank, {}).values())

    def make_room(self, request: AdmissionRequest, limit: float) -> bool:
        """Tell whether a call that arrives may be added to the queue.

        A full queue may refuse a queued call instead, which
        ``remove_expired`` returns. The limit does not apply to child calls.

        Parameters
        ----------
        request : AdmissionRequest
            The call that arrives.
        limit : float
            Largest length of the queue.
        """
        if request.is_child_call or len(self) < limit:
            return True
        last_rank = max(self._counts_by_rank)
        if last_rank <= request.priority_rank:
            return False
        organisation = self._ordering.choose_displaced(
            self._counts_by_rank[last_rank]
        )
        if organisation is None:
            return False
        requests = self._queues_by_rank[last_rank][organisation]
        while not self._is_waiting(requests[-1]):
            requests.pop()
        self._withdraw(requests.pop())
        if not requests:
            del self._queues_by_rank[last_rank][organisation]
        return True

    def remove(self, key: Hashable) -> AdmissionRequest | None:
        """Remove and return a call, None if the call is not in the queue."""
        self._queued_at_by_key.pop(key, None)
        request = self._request_by_key.pop(key, None)
        if request is None:
            return self._withdrawn_by_key.pop(key, None)
        rank = _queue_rank(request)
        counts = self._counts_by_rank[rank]
        counts[request.organisation] -= 1
        if not counts[request.organisation]:
            del counts[request.organisation]
        if not counts:
            del self._counts_by_rank[rank]
        return request

    def remove_expired(self, now: float) -> list[AdmissionRequest]:
        """Remove and return all calls that must not start any more.

        Their start deadline has passed, they cannot end in time, or they have
        given way to other calls.
        """
        expired = []
        for request in list(self._request_by_key.values()):
            if request.start_deadline <= now:
                self.remove(request.key)
                expired.append(request)
                continue
            self._withdraw_if_late(request, now)
        expired.extend(self._withdrawn_by_key.values())
        self._withdrawn_by_key.clear()
        return expired

    def longest_wait_ratio(self, now: float) -> float:
        """Return the highest ratio of a child call's wait to the allowed wait.

        The ratio is 0 when the child call enters the queue, and rises to 1 at
        the start deadline. If no child call is queued, 0 is returned.
        """
        longest = 0.0
        for key, queued_at in self._queued_at_by_key.items():
            allowed_wait = self._request_by_key[key].start_deadline - queued_at
            if allowed_wait > 0:
                longest = max(longest, (now - queued_at) / allowed_wait)
        return longest

    def remove_all(self) -> list[AdmissionRequest]:
        """Remove and return all calls of the queue."""
        requests = [
            *self._request_by_key.values(),
            *self._withdrawn_by_key.values(),
        ]
        self._request_by_key.clear()
        self._withdrawn_by_key.clear()
        self._queued_at_by_key.clear()
        self._queues_by_rank.clear()
        self._counts_by_rank.clear()
        return requests

    def _pop_rank(
        self,
        queues: OrderedDict[str, deque[AdmissionRequest]],
        now: float,
    ) -> AdmissionRequest | None:
        while queues:
            organisation = self._ordering.choose(queues, now)
            requests = queues[organisation]
            request = requests.popleft()
            queues.move_to_end(organisation)
            if not requests:
                del queues[organisation]
            # ``remove`` deletes a call from ``_request_by_key``, but not from
            # the queue of the call's organisation. Such calls are skipped here.
            if not self._is_waiting(request):
                continue
            if self._withdraw_if_late(request, now):
                continue
            return self.remove(request.key)
        return None

    def _is_waiting(self, request: AdmissionRequest) -> bool:
        return self._request_by_key.get(request.key) is request

    def _withdraw_if_late(self, request: AdmissionRequest, now: float) -> bool:
        if not self._start_rule.is_too_late(request, now):
            return False
        self._start_rule.record_refusal()
        self._withdraw(request)
        return True

    def _withdraw(self, request: AdmissionRequest) -> None:
        self.remove(request.key)
        self._withdrawn_by_key[request.key] = request


def _queue_rank(request: AdmissionRequest) -> int:
    return _CHILD_CALL_RANK if request.is_child_call else request.priority_rank
