"""Settings of a gate."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GateSettings:
    """Settings of the limit and of the queue of a gate.

    Parameters
    ----------
    max_limit : int, default=200
        Upper bound of the concurrency limit, usually the number of
        connections that the backend server accepts.
    initial_limit : int, default=20
        Concurrency limit until self times have been measured. During a cold
        start, the cold-start cap applies if it is lower.
    tolerance : float, default=1.5
        Ratio of the self time to the self time without load up to which the
        limit is not lowered. A higher ratio lowers the limit, or starts a probe
        that tests whether load is the cause.
    queue_per_limit : float, default=2.0
        Calls that may wait in the queue for each call that may be in flight.
    """

    max_limit: int = 200
    initial_limit: int = 20
    tolerance: float = 1.5
    queue_per_limit: float = 2.0
