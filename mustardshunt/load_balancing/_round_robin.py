"""Weighted round robin over the services of a route."""

from mustardshunt.base import RandomSource
from mustardshunt.policy import RoutePolicy


class WeightedRoundRobin:
    """Divides the requests of a route among its services by their weights.

    Smooth weighted round robin spreads the requests to each service evenly over
    time. A short series of requests is therefore divided by the weights too.

    Parameters
    ----------
    random : RandomSource
        Random number generator for the initial state. With a random state, not
        all nodes choose the services in the same order.

    Examples
    --------
    >>> import random
    >>> from mustardshunt.policy import WeightedService
    >>> services = (WeightedService('a', 3.0), WeightedService('b', 1.0))
    >>> route = RoutePolicy('r', 'h', '/', True, 1, 1, 0, services, 2, False)
    >>> round_robin = WeightedRoundRobin(random.Random(1))
    >>> sorted(round_robin.choose(route) for _ in range(8)).count('b')
    2
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._credits_by_route: dict[str, list[float]] = {}

    def clear(self) -> None:
        """Forget all past choices.

        The method must be called when the active policy changes.
        """
        self._credits_by_route.clear()

    def choose(self, route: RoutePolicy) -> str:
        """Return the service for the next request of a route.

        The choice is recorded, so that later choices keep to the weights.
        """
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        total = sum(service.weight for service in services)
        credits_ = self._credits_by_route.get(route.name)
        if credits_ is None:
            credits_ = [self._random.random() * total for _ in services]
            self._credits_by_route[route.name] = credits_
        best = 0
        for index, service in enumerate(services):
            credits_[index] += service.weight
            if credits_[index] > credits_[best]:
                best = index
        credits_[best] -= total
        return services[best].service
