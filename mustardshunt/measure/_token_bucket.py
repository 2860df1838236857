"""Token bucket of one organisation."""

from typing import Final

# Fraction of the burst that only critical requests may spend.
_RESERVE_FRACTION: Final = 0.2


class TokenBucket:
    """Token bucket of one organisation that all nodes share without delay.

    Parameters
    ----------
    rate : float
        Tokens per second; the capacity is the tokens of one second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._filled_at = 0.0

    def spend(self, now: float, may_use_reserve: bool) -> bool:
        """Spend a token, and return whether a token was available.

        Only critical requests may spend the reserve.
        """
        refilled = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(self._rate, refilled)
        self._filled_at = now
        reserve = 0.0 if may_use_reserve else _RESERVE_FRACTION * self._rate
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True
