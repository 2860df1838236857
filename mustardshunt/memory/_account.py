"""Account of the bytes that a node keeps for callers, servers and peers."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Final, TypeAlias

from mustardshunt.memory._large_bodies import LargeBodyRoom
from mustardshunt.memory._limits import (
    large_body_limits,
    memory_limits,
)
from mustardshunt.memory._victims import (
    SMALL_BYTES,
    HeldPart,
    LargestUnstated,
    LongestHeld,
    VictimChoice,
    is_endless,
)

# Largest part of the capacity that one part of the node may use, so that
# neither a backend server nor callers can take all of it.
PART_FRACTION: Final = 0.5
# Part of these limits up to which stated sizes are reserved. The rest is for
# small bodies, which are kept without a reservation.
RESERVABLE_FRACTION: Final = 0.75
# Part of the same limits above which memory is short: slow clients give way
# before others are refused.
SHORT_FRACTION: Final = 0.75

# Parts in which each holding that can give way is one body.
_BODY_PARTS: Final = frozenset((
    HeldPart.ANSWERS,
    HeldPart.PLATFORM,
    HeldPart.REQUESTS,
))

GiveUp: TypeAlias = Callable[[], None]
GivenUpListener: TypeAlias = Callable[[HeldPart, int], None]


def _ignore_given_up(part: HeldPart, size: int) -> None:
    """Do nothing: nobody listens."""


class Holding:
    """Bytes that one connection, call or session keeps.

    Parameters
    ----------
    account : MemoryAccount
        Account to which the bytes are charged.
    part : HeldPart
        Part of the node to which the holder belongs.
    give_up : callable or None
        Drops the bytes when the holding has to give way; None if the bytes
        cannot be given up.
    """

    __slots__ = ('_account', 'give_up', 'held', 'is_stated', 'part')

    def __init__(
        self,
        account: 'MemoryAccount',
        part: HeldPart,
        give_up: GiveUp | None,
    ) -> None:
        self._account = account
        self.part = part
        self.give_up = give_up
        self.held = 0
        self.is_stated = False

    @property
    def can_give_way(self) -> bool:
        """Whether the bytes can be given up."""
        return self.give_up is not None

    def resize(self, size: int) -> None:
        """Record how many bytes are kept now.

        If they do not fit, holdings of the same part give way, possibly this
        one.
        """
        if size != self.held:
            self._account.resize(self, size)

    def reserve(self, size: int) -> bool:
        """Grow to a stated size if there is room, without waiting.

        Holdings of unstated size in the same part give way for it.

        Returns
        -------
        bool
            False if there is no room; the holding is unchanged then.
        """
        return self._account.reserve(self, size)

    def clear(self) -> None:
        """Record that nothing is kept any more."""
        if self.held:
            self._account.resize(self, 0)


class MemoryAccount:
    """Bounds the bytes that a node keeps for others, and says who gives way.

    A part of the node may use at most half of the capacity, and holdings give
    way only to others of the same part. A faulty backend server thus cannot end
    the requests of callers, and slow callers cannot end calls. Small bodies
    count only against their part, whatever large ones the other parts keep;
    their number is bounded by the slots of the server and by the connections.

    Parameters
    ----------
    capacity : int
        Bytes that may be kept in all.
    largest_body : int
        Bytes of the largest single body that is kept.
    """

    def __init__(self, capacity: int, largest_body: int) -> None:
        self.capacity = capacity
        self.largest_body = largest_body
        self.held = 0
        self.on_given_up: GivenUpListener = _ignore_given_up
        self.given_up_by_part = dict.fromkeys(HeldPart, 0)
        self._part_limit = int(capacity * PART_FRACTION)
        self._held_by_part = dict.fromkeys(HeldPart, 0)
        # Holdings that keep bytes, the one that has done so for longest first.
        self._holdings_by_part: dict[HeldPart, dict[Holding, None]] = {
            part: {} for part in HeldPart
        }
        largest_unstated = LargestUnstated()
        self._choice_by_part: dict[HeldPart, VictimChoice] = dict.fromkeys(
            HeldPart, largest_unstated
        )
        self._choice_by_part[HeldPart.RESPONSES] = LongestHeld()
        self._waiting: deque[tuple[Holding, int, Callable[[], None]]] = deque()
        self.large_bodies = LargeBodyRoom(self)

    @property
    def held_by_part(self) -> Mapping[HeldPart, int]:
        """Bytes that each part keeps."""
        return self._held_by_part

    def missing_bytes(self) -> int:
        """Return the bytes held beyond the part that is not short."""
        excess = [
            held - int(self._part_limit * SHORT_FRACTION)
            for held in self._held_by_part.values()
        ]
        excess.append(self.held - int(self.capacity * SHORT_FRACTION))
        return max(0, *excess)

    def open(self, part: HeldPart, give_up: GiveUp | None = None) -> Holding:
        """Return a new holding that keeps nothing yet.

        Parameters
        ----------
        part : HeldPart
            Part of the node that keeps the bytes.
        give_up : callable or None, default=None
            Drops the bytes when the holding has to give way; None if the bytes
            cannot be given up.
        """
        return Holding(self, part, give_up)

    def resize(self, holding: Holding, size: int) -> None:
        """Record the size of a holding; see ``Holding.resize``."""
        part = holding.part
        has_grown = size > holding.held
        self._record(holding, size)
        if not has_grown:
            self._admit_waiting()
            return
        is_too_large = size > self.largest_body and part in _BODY_PARTS
        if is_too_large and holding.can_give_way:
            self._give_up(holding)
            return
        self._make_room(part, holding.held)

    def reserve(self, holding: Holding, size: int) -> bool:
        """Reserve bytes of a stated size; see ``Holding.reserve``."""
        if size > self.largest_body:
            return False
        part = holding.part
        while not self._can_reserve(holding, size):
            victim = self._choose(part)
            if victim is None or victim is holding or not is_endless(victim):
                return False
            self._give_up(victim)
        holding.is_stated = True
        self._record(holding, size)
        return True

    def wait(
        self, holding: Holding, size: int, resume: Callable[[], None]
    ) -> None:
        """Reserve bytes as soon as there is room, in the order of the calls.

        Parameters
        ----------
        holding : Holding
            Holding that grows.
        size : int
            Its size then, at most ``largest_body``.
        resume : callable
            Called without arguments when the bytes are reserved.
        """
        self._waiting.append((holding, size, resume))

    def stop_waiting(self, holding: Holding) -> None:
        """Forget a holding that waits for room, if it does."""
        if self._waiting:
            self._waiting = deque(
                entry for entry in self._waiting if entry[0] is not holding
            )

    def set_limits(self, capacity: int, largest_body: int) -> None:
        """Use other limits; what does not fit any more gives way.

        Parameters
        ----------
        capacity : int
            Bytes that may be kept in all.
        largest_body : int
            Bytes of the largest single body that is kept.
        """
        self.capacity = capacity
        self.largest_body = largest_body
        self._part_limit = int(capacity * PART_FRACTION)
        for part in sorted(
            HeldPart, key=self._held_by_part.__getitem__, reverse=True
        ):
            self._make_room(part, SMALL_BYTES + 1)
        for holding, size, _ in list(self._waiting):
            if size <= largest_body:
                continue
            self.stop_waiting(holding)
            self.record_refusal(holding.part, size)
            if holding.give_up is not None:
                holding.give_up()
        self._admit_waiting()

    def fits(self, capacity: int) -> bool:
        """Tell whether all that is kept fits into a capacity.

        Parameters
        ----------
        capacity : int
            Bytes that may be kept in all.
        """
        if self.held > capacity:
            return False
        part_limit = int(capacity * PART_FRACTION)
        return max(self._held_by_part.values()) <= part_limit

    def record_refusal(self, part: HeldPart, size: int) -> None:
        """Record that bytes were not taken, since there is no room.

        Parameters
        ----------
        part : HeldPart
            Part of the node that would have kept the bytes.
        size : int
            Number of bytes.
        """
        self.given_up_by_part[part] += 1
        self.on_given_up(part, size)

    def _make_room(self, part: HeldPart, size: int) -> None:
        while self._is_full(part, size):
            victim = self._choose(part)
            if victim is None:
                return
            self._give_up(victim)

    def _is_full(self, part: HeldPart, size: int) -> bool:
        if self._held_by_part[part] > self._part_limit:
            return True
        return size > SMALL_BYTES and self.held > self.capacity

    def _can_reserve(self, holding: Holding, size: int) -> bool:
        added = size - holding.held
        held = self._held_by_part[holding.part] + added
        if size <= SMALL_BYTES:
            return held <= self._part_limit
        return (
            held <= self._part_limit * RESERVABLE_FRACTION
            and self.held + added <= self.capacity * RESERVABLE_FRACTION
        )

    def _choose(self, part: HeldPart) -> Holding | None:
        return self._choice_by_part[part].choose(self._holdings_by_part[part])

    def _record(self, holding: Holding, size: int) -> None:
        part = holding.part
        added = size - holding.held
        if not holding.held and size:
            self._holdings_by_part[part][holding] = None
        elif not size:
            self._holdings_by_part[part].pop(holding, None)
            holding.is_stated = False
        holding.held = size
        self._held_by_part[part] += added
        self.held += added

    def _give_up(self, victim: Holding) -> None:
        size = victim.held
        self._record(victim, 0)
        self.record_refusal(victim.part, size)
        if victim.give_up is not None:
            victim.give_up()

    def _admit_waiting(self) -> None:
        while self._waiting:
            holding, size, resume = self._waiting[0]
            if not self._can_reserve(holding, size):
                return
            self._waiting.popleft()
            holding.is_stated = True
            self._record(holding, size)
            resume()


def make_memory_account(memory_mb: float) -> MemoryAccount:
    """Make the account of a process.

    Parameters
    ----------
    memory_mb : float
        Memory in MB that the process may use.

    Examples
    --------
    >>> account = make_memory_account(300)
    >>> account.capacity >> 20, account.largest_body >> 20
    (102, 30)
    >>> account.large_bodies.largest >> 20
    64
    """
    account = MemoryAccount(*memory_limits(memory_mb))
    account.large_bodies.set_limits(large_body_limits(memory_mb))
    return account
