"""Rate of one organisation."""

from typing import Final

# Part of the burst that only critical requests may spend.
_RESERVE: Final = 0.2


class TokenBucket:
    """Exact rate of one organisation over the whole fleet.

    Parameters
    ----------
    rate : float
        Tokens per second; the burst is one second's worth.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._filled_at = 0.0

    def spend(self, now: float, may_use_reserve: bool) -> bool:
        """Take a token, if there is one for this importance."""
        grown = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(self._rate, grown)
        self._filled_at = now
        reserve = 0.0 if may_use_reserve else _RESERVE * self._rate
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True
