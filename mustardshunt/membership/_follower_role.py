"""Decides which nodes follow the platform's changes for their data centre."""

from collections.abc import Iterable
from typing import Final

from mustardshunt.base import RandomSource, rank_of

# Time without a report after which a follower counts as lost. Followers report
# at least every 1.2 s, so two reports in a row are missing.
REPORT_TIMEOUT_SECONDS: Final = 2.6
# Delay before a node takes over, and the step for each node that ranks before
# it. A change waits until one node has taken over.
TAKEOVER_SECONDS: Final = 0.1
TAKEOVER_STEP_SECONDS: Final = 0.2
# Number of nodes in a data centre that take over one after the other. The
# others wait for 3 to 6 s, so that not all nodes call a platform that is down.
DEPUTY_COUNT: Final = 4
LATE_TAKEOVER_SECONDS: Final = 3.0
# Range of the delay of a node that has just started and knows no other node.
# When all nodes start at once, the first ones read the store soon, and most of
# the others hear from them before their own delay has passed.
MIN_START_SECONDS: Final = 0.1
MAX_START_SECONDS: Final = 1.5


class FollowerRole:
    """Whether one node follows the platform's changes itself.

    One node of each data centre follows, and reports the changes to the others.
    There is no election: a node starts to follow when it has heard of no
    follower for some time, and stops when it hears of one that ranks before
    itself. Two nodes that follow at once only cost more calls.

    Parameters
    ----------
    name : str
        Name of this node.
    random : RandomSource
        Source of the jitter of delays.
    now : float
        Time in seconds.

    Examples
    --------
    >>> import random
    >>> role = FollowerRole('a', random.Random(1), now=0.0)
    >>> role.is_following(0.05), role.is_following(1.6)
    (False, True)
    >>> role.record_report('b', now=2.0)
    >>> role.set_members(['a', 'b'])
    >>> role.is_following(2.0) == (rank_of('a') < rank_of('b'))
    True
    """

    def __init__(self, name: str, random: RandomSource, now: float) -> None:
        self._name = name
        self._random = random
        self._reported_at_by_name: dict[str, float] = {}
        self._ranked_names: list[str] = []
        self._is_following = False
        self._takeover_at = now + self._start_delay()

    def set_members(self, names: Iterable[str]) -> None:
        """Set the names of the nodes in this node's data centre."""
        self._ranked_names = sorted(names, key=rank_of)

    def record_report(self, name: str, now: float) -> None:
        """Record that a follower reports to this node."""
        self._reported_at_by_name[name] = now

    def record_loss(self, name: str, now: float) -> None:
        """Record that a follower has stopped, or that its link is lost."""
        if self._reported_at_by_name.pop(name, None) is None:
            return
        if not self._reported_at_by_name:
            self._takeover_at = now + self._takeover_delay()

    def is_following(self, now: float) -> bool:
        """Tell whether this node is to follow the platform's changes."""
        self._drop_silent(now)
        heard = self._reported_at_by_name
        if self._is_following:
            own_rank = rank_of(self._name)
            self._is_following = all(own_rank < rank_of(name) for name in heard)
        else:
            self._is_following = not heard and now >= self._takeover_at
        return self._is_following

    def _drop_silent(self, now: float) -> None:
        for name, reported_at in list(self._reported_at_by_name.items()):
            if now - reported_at > REPORT_TIMEOUT_SECONDS:
                self.record_loss(name, now)

    def _takeover_delay(self) -> float:
        if self._name not in self._ranked_names:
            return self._start_delay()
        rank = self._ranked_names.index(self._name)
        if rank < DEPUTY_COUNT:
            return TAKEOVER_SECONDS + TAKEOVER_STEP_SECONDS * rank
        return LATE_TAKEOVER_SECONDS * (1.0 + self._random.random())

    def _start_delay(self) -> float:
        return MIN_START_SECONDS + self._random.random() * (
            MAX_START_SECONDS - MIN_START_SECONDS
        )
