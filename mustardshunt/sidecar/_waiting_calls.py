"""Calls that were sent over a link and wait for their results."""

import asyncio
from typing import TypeAlias

from mustardshunt.relay import Answered, AnswerLost, NotRun

CallResult: TypeAlias = Answered | NotRun | AnswerLost


class WaitingCalls:
    """Futures of the calls to one peer, by the number of the call.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._future_by_number: dict[int, asyncio.Future[CallResult]] = {}
        # Time at which a call was sent while no other one waited.
        self.busy_since = 0.0

    def __len__(self) -> int:
        return len(self._future_by_number)

    def __contains__(self, number: int) -> bool:
        return number in self._future_by_number

    @property
    def numbers(self) -> tuple[int, ...]:
        """Numbers of the calls."""
        return tuple(self._future_by_number)

    def add(self, number: int, future: asyncio.Future[CallResult]) -> None:
        """Add a call that is sent now."""
        if not self._future_by_number:
            self.busy_since = self._loop.time()
        self._future_by_number[number] = future

    def discard(self, number: int) -> bool:
        """Stop waiting for a call; tell whether it was waiting."""
        return self._future_by_number.pop(number, None) is not None

    def resolve(self, result: CallResult) -> None:
        """Set the result of the call that it names, if the call waits."""
        future = self._future_by_number.pop(result.number, None)
        if future is not None and not future.done():
            future.set_result(result)

    def fail_all(self, reason: str) -> None:
        """Report the results of all calls as lost."""
        for number in self.numbers:
            self.resolve(AnswerLost(number, reason))

    def copy(self) -> dict[int, asyncio.Future[CallResult]]:
        """Return the futures of the calls that wait now."""
        return dict(self._future_by_number)

    def expire(self, number: int, future: asyncio.Future[CallResult]) -> None:
        """Report the result of a call as lost if it still waits.

        Parameters
        ----------
        number : int
            Number of the call.
        future : asyncio.Future
            Future of the call when its link was lost; another call may have
            the number now.
        """
        if self._future_by_number.get(number) is future:
            self.resolve(AnswerLost(number, 'link lost: no new link in time'))
