"""Division of a route's requests among its services."""

from mustardshunt.base import RandomSource
from mustardshunt.policy import RoutePolicy


class WeightedRoundRobin:
    """Divides requests in the proportions of the parts' weights.

    Each part is served in turn as often as its weight says (smooth weighted
    round robin), so that short spans hold the proportions too.

    Parameters
    ----------
    random : RandomSource
        Sets the start, so that nodes are not in step.

    Examples
    --------
    >>> import random
    >>> from mustardshunt.policy import WeightedService
    >>> parts = (WeightedService('a', 3.0), WeightedService('b', 1.0))
    >>> route = RoutePolicy('r', 'h', '/', True, 1, 1, 0, parts, 2, False)
    >>> split = WeightedRoundRobin(random.Random(1))
    >>> sorted(split.choose(route) for _ in range(8)).count('b')
    2
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._credit_by_route: dict[str, list[float]] = {}

    def clear(self) -> None:
        """Forget all routes, as after a change of the policy."""
        self._credit_by_route.clear()

    def choose(self, route: RoutePolicy) -> str:
        """Return the service for the next request of a route."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credits_ = self._credit_by_route.get(route.name)
        if credits_ is None:
            credits_ = [self._random.random() * total for _ in parts]
            self._credit_by_route[route.name] = credits_
        best = 0
        for index, part in enumerate(parts):
            credits_[index] += part.weight
            if credits_[index] > credits_[best]:
                best = index
        credits_[best] -= total
        return parts[best].service
