"""One worked-out figure with the slope it comes from and its limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """A total of one role at the design size.

    Parameters
    ----------
    role, name : str
        Whose figure, and what it counts.
    total : float
        Value at the design size.
    unit : str
        Unit of the value and of the limit.
    slope : str
        Slopes and numbers that were multiplied.
    limit : float or None, default=None
        Target of the design, None when there is none for this figure.
    """

    role: str
    name: str
    total: float
    unit: str
    slope: str
    limit: float | None = None

    @property
    def is_over(self) -> bool:
        """Whether the total is over its limit."""
        return self.limit is not None and self.total > self.limit


def add_figures(
    role: str,
    name: str,
    parts: list[Figure],
    limit: float | None = None,
) -> Figure:
    """Return the sum of figures with one unit.

    Examples
    --------
    >>> half = Figure('node', 'pings', 0.5, 'B/s', '')
    >>> add_figures('node', 'all', [half, half], 0.9).is_over
    True
    """
    return Figure(
        role,
        name,
        sum(part.total for part in parts),
        parts[0].unit,
        'sum of the above',
        limit,
    )
