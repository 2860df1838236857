"""Search for a first peer while the platform is unavailable."""

from collections.abc import Iterator
from ipaddress import IPv4Network, IPv6Network, ip_network
from math import gcd

from mustardshunt.base import (
    ParameterError,
    RandomSource,
    VmAddress,
    check_range,
)
from mustardshunt.membership._events import OpenLink

# Connections that are tried at once; unused addresses answer by a timeout.
MAX_PARALLEL_CONNECTIONS = 16


class AddressSearch:
    """Addresses of a data centre's range in random order.

    Random order spreads the load of many nodes that boot together. Each pass
    tries every address once without a list of them.

    Parameters
    ----------
    network : IPv4Network or IPv6Network
        Range of the data centre.
    own : VmAddress
        Address of this node, which is left out; peers use the same port.
    random : RandomSource
        Source of random choices.
    max_parallel : int
        Connections that are tried at once.
    """

    def __init__(
        self,
        network: IPv4Network | IPv6Network,
        own: VmAddress,
        random: RandomSource,
        max_parallel: int,
    ) -> None:
        self._network = network
        self._own = own
        self._random = random
        self._max_parallel = max_parallel
        self._tried: set[VmAddress] = set()
        self._pass: Iterator[VmAddress] = iter(())

    def start(self) -> list[OpenLink]:
        """Begin a pass and return the first addresses to try."""
        self._tried.clear()
        self._pass = self._walk()
        return self._fill()

    def record_failed(self, address: VmAddress) -> list[OpenLink]:
        """Return the next addresses after one did not answer.

        Returns
        -------
        list of OpenLink
            Empty at the end of a pass; ``is_over`` is then true and a new
            pass may start.
        """
        self._tried.discard(address)
        return self._fill()

    def stop(self) -> None:
        """End the search, because a peer has answered."""
        self._tried.clear()
        self._pass = iter(())

    @property
    def is_over(self) -> bool:
        """Whether no address is being tried."""
        return not self._tried

    def _fill(self) -> list[OpenLink]:
        actions: list[OpenLink] = []
        while len(self._tried) < self._max_parallel:
            address = next(self._pass, None)
            if address is None:
                break
            self._tried.add(address)
            actions.append(OpenLink(address))
        return actions

    def _walk(self) -> Iterator[VmAddress]:
        """Visit each address once by steps that share no factor with all."""
        size = self._network.num_addresses
        place = self._random.randrange(0, size)
        step = self._random.randrange(1, size + 1)
        while gcd(step, size) != 1:
            step += 1
        for _ in range(size):
            place = (place + step) % size
            address = VmAddress(str(self._network[place]), self._own.port)
            if address != self._own:
                yield address


def make_address_search(
    network: str,
    own: VmAddress,
    random: RandomSource,
    max_parallel: int = MAX_PARALLEL_CONNECTIONS,
) -> AddressSearch:
    """Return a search after a check of its parameters.

    Parameters
    ----------
    network : str
        Range of the data centre, such as ``10.3.0.0/20``.
    own : VmAddress
        Address of this node.
    random : RandomSource
        Source of random choices.
    max_parallel : int, default=16
        Connections that are tried at once.

    Raises
    ------
    ParameterError
        The range or the number is not allowed.

    Examples
    --------
    >>> import random
    >>> own = VmAddress('10.0.0.1', 7000)
    >>> search = make_address_search('10.0.0.0/30', own, random.Random(1))
    >>> sorted(action.address.host for action in search.start())
    ['10.0.0.0', '10.0.0.2', '10.0.0.3']
    """
    check_range('max_parallel', max_parallel, 1)
    try:
        addresses = ip_network(network)
    except ValueError as error:
        raise ParameterError(
            f'network is {network!r}, allowed is a range: {error}',
        ) from error
    return AddressSearch(addresses, own, random, max_parallel)
