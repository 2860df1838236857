"""One worked-out figure with the slope it comes from and its limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Estimate:
    """A total of one role at the design size.

    Parameters
    ----------
    role, name : str
        Whose figure, and what it counts.
    total : float
        Value at the design size.
    unit : str
        Unit of the value and of the limit.
    derivation : str
        Slopes and numbers that were multiplied.
    limit : float or None, default=None
        Target of the design, None when there is none for this figure.
    """

    role: str
    name: str
    total: float
    unit: str
    derivation: str
    limit: float | None = None

    @property
    def is_over(self) -> bool:
        """Whether the total is over its limit."""
        return self.limit is not None and self.total > self.limit


def sum_estimates(
    role: str,
    name: str,
    parts: list[Estimate],
    limit: float | None = None,
) -> Estimate:
    """Return the sum of figures with one unit.

    Examples
    --------
    >>> half = Estimate('node', 'pings', 0.5, 'B/s', '')
    >>> sum_estimates('node', 'all', [half, half], 0.9).is_over
    True
    """
    return Estimate(
        role,
        name,
        sum(part.total for part in parts),
        parts[0].unit,
        'sum of the above',
        limit,
    )
