"""Requests of callers and the calls that serve them."""

from typing import Protocol

from mustardshunt.admission import CallArrived, CallFailureKind
from mustardshunt.base import CallId, Importance, Reason
from mustardshunt.measure._node import SimulatedNode
from mustardshunt.measure._timeline import Timeline


class Request:
    """One request of a caller, over all its attempts.

    Parameters
    ----------
    kind : int
        Index of its kind in the deployment.
    importance : Importance
        Importance of its route.
    organisation : int
        Number of the organisation that sends it.
    arrival : float
        Time of the first attempt in seconds.
    """

    __slots__ = (
        'answered',
        'arrival',
        'attempts',
        'importance',
        'kind',
        'organisation',
        'was_refused',
        'within_rate',
    )

    def __init__(
        self,
        kind: int,
        importance: Importance,
        organisation: int,
        arrival: float,
    ) -> None:
        self.kind = kind
        self.importance = importance
        self.organisation = organisation
        self.arrival = arrival
        self.attempts = 0
        self.answered = False
        self.was_refused = False
        self.within_rate = False


class Attempt:
    """One attempt to send a request, with the calls that it causes.

    Parameters
    ----------
    request : Request
        Request that is sent.
    deadline : float
        Time in seconds at which the caller stops waiting.
    """

    __slots__ = ('deadline', 'is_over', 'leaf', 'request', 'retries', 'worked')

    def __init__(self, request: Request, deadline: float) -> None:
        self.request = request
        self.deadline = deadline
        self.is_over = False
        self.leaf: Call | None = None
        self.retries = 2
        self.worked = 0.0


class CallGraph(Protocol):
    """Routes calls between services; implemented by the simulation.

    Another node may run a failed call (``may_retry``) if the call was refused
    or is idempotent. The critical calls of these deployments are not
    idempotent.
    """

    timeline: Timeline

    def call_child(self, parent: 'Call') -> bool:
        """Send the child call of a call, and tell whether the call has one."""
        ...

    def finish(
        self,
        call: 'Call',
        is_success: bool,
        may_retry: bool,
    ) -> None:
        """Retry a call that has ended, or pass its outcome to its parent."""
        ...


class Call:
    """A call of one service on behalf of an attempt.

    Parameters
    ----------
    graph : CallGraph
        Sends child calls and receives the outcome.
    attempt : Attempt
        Attempt that caused the call.
    service : str
        Service that is called.
    parent : Call or None
        Call that this one is a child of, None at the first hop.
    """

    __slots__ = (
        'attempt',
        'call_id',
        'child_seconds',
        'child_since',
        'graph',
        'importance',
        'is_over',
        'is_started',
        'node',
        'parent',
        'service',
        'started',
        'tried',
        'worked',
    )

    def __init__(
        self,
        graph: CallGraph,
        attempt: Attempt,
        service: str,
        parent: 'Call | None',
    ) -> None:
        self.graph = graph
        self.attempt = attempt
        self.service = service
        self.parent = parent
        self.importance = attempt.request.importance
        self.call_id: CallId | None = None
        self.node: SimulatedNode | None = None
        self.started = 0.0
        self.child_since = 0.0
        self.child_seconds = 0.0
        self.is_over = False
        self.is_started = False
        self.tried: list[SimulatedNode] = []
        self.worked = 0.0

    def submit(self, node: SimulatedNode, arrived: CallArrived) -> None:
        """Submit the call to a node."""
        self.is_over = False
        self.is_started = False
        self.node = node
        self.call_id = arrived.call_id
        self.tried.append(node)
        node.submit(self, arrived)

    def on_accepted(self) -> None:
        """Record when the backend server received the call."""
        self.is_started = True
        self.started = self.graph.timeline.now

    def on_processed(self) -> None:
        """Send the child call of this call.

        A call without a child call ends as answered.
        """
        self.child_since = self.graph.timeline.now
        if not self.graph.call_child(self):
            self.end(None, is_success=True)

    def on_child_ended(self, is_success: bool) -> None:
        """End the call with the outcome of its child call."""
        self.child_seconds = self.graph.timeline.now - self.child_since
        self.end(None, is_success)

    def time_out(self) -> None:
        """End the call because the caller has stopped waiting."""
        if self.child_since:
            self.child_seconds = self.graph.timeline.now - self.child_since
        self.end(CallFailureKind.TIMED_OUT, is_success=False)

    def on_failed(self, kind: CallFailureKind) -> None:
        """End the call as failed, unless the call has ended already."""
        self.end(kind, is_success=False)

    def on_refused(self, reason: Reason) -> None:
        """End the call as refused by the gate of the node."""
        self.is_over = True
        may_retry = reason is not Reason.DEADLINE_EXCEEDED
        self.graph.finish(self, is_success=False, may_retry=may_retry)

    def end(self, kind: CallFailureKind | None, is_success: bool) -> None:
        """Release the slot of the call and report its outcome.

        Only the first call of this method has an effect.
        """
        if self.is_over or self.node is None or self.call_id is None:
            return
        self.is_over = True
        total_time = self.graph.timeline.now - self.started
        self_time = total_time - self.child_seconds
        self.node.end(self, self.call_id, kind, total_time, self_time)
        may_retry = (
            kind is CallFailureKind.CONNECTION_LOST
            and self.importance is not Importance.CRITICAL
        )
        self.graph.finish(self, is_success, may_retry)
