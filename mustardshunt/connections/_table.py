"""Open connections of one kind, and which of them give way to new ones."""

import enum
from collections import deque
from collections.abc import Callable
from typing import Final, Generic, Protocol, TypeAlias, TypeVar

from mustardshunt.connections._limits import ConnectionBound

# Idle connections that are chosen in one pass over all connections.
CHOSEN_AT_ONCE: Final = 64
# Part of the bound above which connections are short, so that slow ones give
# way before new ones are refused.
SHORT_FRACTION: Final = 7 / 8


class Admission(enum.Enum):
    """What becomes of a new connection."""

    SERVED = 'served'
    # The refusal is sent, and the connection is kept until it has been read.
    REFUSED = 'refused'
    CLOSED = 'closed'


class Connection(Protocol):
    """Connection that may have to give way to a new one."""

    @property
    def idle_since(self) -> float | None:
        """Time in seconds since which it is idle, None while it is in use."""
        ...

    def give_way(self) -> bool:
        """Close the connection unless a request has arrived on it.

        Returns
        -------
        bool
            Whether it is closed.
        """
        ...


ConnectionT = TypeVar('ConnectionT', bound=Connection)
FailureListener: TypeAlias = Callable[[str, str], None]
SlowListener: TypeAlias = Callable[[str, int], None]


def _ignore_failure(kind: str, error: str) -> None:
    """Do nothing: nobody listens."""


def _ignore_slow(kind: str, count: int) -> None:
    """Do nothing: nobody listens."""


class ConnectionTable(Generic[ConnectionT]):
    """Bounds the open connections of one kind.

    When it is full, the connection that has been idle for longest gives way to
    a new one. Connections in use are kept, and the new one is refused then.

    Parameters
    ----------
    kind : str
        Kind of the connections.
    bound : ConnectionBound
        How many may be open.
    """

    def __init__(self, kind: str, bound: ConnectionBound) -> None:
        self.kind = kind
        self.bound = bound
        self.displaced = 0
        self.refused = 0
        self.slow = 0
        self.failures = 0
        self.on_failed: FailureListener = _ignore_failure
        self.on_slow: SlowListener = _ignore_slow
        self._served: set[ConnectionT] = set()
        self._refusing: set[ConnectionT] = set()
        self._idle: deque[tuple[float, ConnectionT]] = deque()

    def __len__(self) -> int:
        """Return the number of open connections, refused ones included."""
        return len(self._served) + len(self._refusing)

    def admit(self, connection: ConnectionT) -> Admission:
        """Decide on a new connection, and add it unless it is closed."""
        if len(self._served) < self.bound.most or self._make_room():
            self._served.add(connection)
            return Admission.SERVED
        self.refused += 1
        if len(self._refusing) < self.bound.most_refusing:
            self._refusing.add(connection)
            return Admission.REFUSED
        return Admission.CLOSED

    def discard(self, connection: ConnectionT) -> None:
        """Remove a closed connection."""
        self._served.discard(connection)
        self._refusing.discard(connection)

    @property
    def missing_connections(self) -> int:
        """Connections that are open beyond the part that is not short."""
        return max(0, len(self._served) - int(self.bound.most * SHORT_FRACTION))

    def record_slow(self, count: int) -> None:
        """Count connections that gave way, since they were slow."""
        self.slow += count
        self.on_slow(self.kind, count)

    def record_failure(self, error: str) -> None:
        """Count a connection that the operating system did not hand over."""
        self.failures += 1
        self.on_failed(self.kind, error)

    def _make_room(self) -> bool:
        if not self._idle:
            self._choose_idle()
        while self._idle:
            idle_since, connection = self._idle.popleft()
            if connection not in self._served:
                continue
            if connection.idle_since != idle_since:
                continue
            if connection.give_way():
                self._served.discard(connection)
                self.displaced += 1
                return True
        return False

    def _choose_idle(self) -> None:
        idle = [
            (connection.idle_since, connection)
            for connection in self._served
            if connection.idle_since is not None
        ]
        idle.sort(key=_time_of)
        self._idle.extend(
            (idle_since, connection)
            for idle_since, connection in idle[:CHOSEN_AT_ONCE]
            if idle_since is not None
        )


def _time_of(entry: tuple[float | None, object]) -> float:
    return entry[0] or 0.0
