"""Search for a peer in an address range while the platform is unavailable."""

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

# Limit on concurrent connection attempts. An attempt at an unused address ends
# only with a timeout, so a search with one attempt at a time would take too
# long.
MAX_PARALLEL_CONNECTIONS = 16


class AddressSearch:
    """Connection attempts at the addresses of a data centre, in random order.

    Random order spreads the load of many nodes that start together. One search
    tries every address of the range once. The order is computed step by step,
    so no list of all addresses is kept in memory.

    Parameters
    ----------
    network : IPv4Network or IPv6Network
        Address range of the data centre.
    own : VmAddress
        Address of this node, which is not tried. Peers use the same port.
    random : RandomSource
        Source of random choices.
    max_parallel : int
        Limit on concurrent connection attempts.
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
        self._in_progress: set[VmAddress] = set()
        self._untried: Iterator[VmAddress] = iter(())

    def start(self) -> list[OpenLink]:
        """Start a search that tries all addresses once, in random order.

        An earlier search that is still in progress is abandoned.

        Returns
        -------
        list of OpenLink
            First links to open, up to the limit on concurrent attempts.
        """
        self._in_progress.clear()
        self._untried = self._shuffle_addresses()
        return self._start_attempts()

    def record_failed(self, address: VmAddress) -> list[OpenLink]:
        """Return the next links to open after an address did not answer.

        Returns
        -------
        list of OpenLink
            Next links to open. The list is empty when no untried address is
            left in this search. ``is_over`` is true once the last attempt has
            failed; a new search may then start.
        """
        self._in_progress.discard(address)
        return self._start_attempts()

    def stop(self) -> None:
        """Abandon the search, because a peer has answered."""
        self._in_progress.clear()
        self._untried = iter(())

    @property
    def is_over(self) -> bool:
        """Whether all connection attempts have ended."""
        return not self._in_progress

    def _start_attempts(self) -> list[OpenLink]:
        actions: list[OpenLink] = []
        while len(self._in_progress) < self._max_parallel:
            address = next(self._untried, None)
            if address is None:
                break
            self._in_progress.add(address)
            actions.append(OpenLink(address))
        return actions

    def _shuffle_addresses(self) -> Iterator[VmAddress]:
        """Yield each address once, in random order.

        From a random start, the index advances by a random step, modulo the
        number of addresses. Because the step is coprime to the number of
        addresses, every address is visited.
        """
        size = self._network.num_addresses
        index = self._random.randrange(0, size)
        step = self._random.randrange(1, size + 1)
        while gcd(step, size) != 1:
            step += 1
        for _ in range(size):
            index = (index + step) % size
            address = VmAddress(str(self._network[index]), self._own.port)
            if address != self._own:
                yield address


def make_address_search(
    network: str,
    own: VmAddress,
    random: RandomSource,
    max_parallel: int = MAX_PARALLEL_CONNECTIONS,
) -> AddressSearch:
    """Check the parameters and return a search that has not started.

    Parameters
    ----------
    network : str
        Address range of the data centre, such as ``10.3.0.0/20``.
    own : VmAddress
        Address of this node, which is not tried. Peers use the same port.
    random : RandomSource
        Source of random choices.
    max_parallel : int, default=16
        Limit on concurrent connection attempts.

    Raises
    ------
    ParameterError
        ``network`` is no IP address range, or ``max_parallel`` is below 1.

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
            f'network is {network!r}, expected an IP address range such as '
            f'10.3.0.0/20: {error}',
        ) from error
    return AddressSearch(addresses, own, random, max_parallel)
