"""Listening sockets of a node, opened all at once."""

import socket
from collections.abc import Mapping
from typing import Final

from mustardshunt.base import VmAddress

# Number of connections that may wait to be accepted. When this many wait, the
# kernel drops the SYN packet of a new connection, and the caller sends the
# packet again only after seconds.
BACKLOG: Final = 1024


class AddressTakenError(Exception):
    """An address cannot be bound, such as one that another process holds.

    Parameters
    ----------
    name : str
        Name of the listener.
    error : OSError
        Error of the operating system.
    """

    def __init__(self, name: str, error: OSError) -> None:
        super().__init__(name, error)
        self.name = name
        self.error = error


class ListeningSockets:
    """Sockets that are bound one by one and listen only together.

    A bound socket keeps its address, but connections to it are refused until
    it listens. Nothing thus reaches a process that holds some of its addresses.
    """

    def __init__(self) -> None:
        self._bound_by_name: dict[str, tuple[VmAddress, socket.socket]] = {}

    def try_listen(
        self, address_by_name: Mapping[str, VmAddress]
    ) -> dict[str, socket.socket]:
        """Listen at all addresses, or at none of them.

        Addresses that could be bound stay bound for the next call, unless
        another address is given for their name then.

        Parameters
        ----------
        address_by_name : mapping of str to VmAddress
            Address of each listener.

        Returns
        -------
        dict of str to socket.socket
            Listening socket of each listener, which the caller has to close.

        Raises
        ------
        AddressTakenError
            An address cannot be bound now; it may be free later.
        """
        for name, address in address_by_name.items():
            self._bind(name, address)
        by_name = {
            name: bound for name, (_, bound) in self._bound_by_name.items()
        }
        for name, bound in by_name.items():
            try:
                bound.listen(BACKLOG)
            except OSError as error:
                # Two sockets may be bound to an address until one listens.
                self.close()
                raise AddressTakenError(name, error) from error
        self._bound_by_name.clear()
        return by_name

    def close(self) -> None:
        """Close the sockets that are bound and do not listen."""
        for _, bound in self._bound_by_name.values():
            bound.close()
        self._bound_by_name.clear()

    def _bind(self, name: str, address: VmAddress) -> None:
        former = self._bound_by_name.get(name)
        if former is not None and former[0] == address:
            return
        if former is not None:
            del self._bound_by_name[name]
            former[1].close()
        try:
            bound = bind(address)
        except OSError as error:
            raise AddressTakenError(name, error) from error
        self._bound_by_name[name] = (address, bound)


def bind(address: VmAddress) -> socket.socket:
    """Return a socket that is bound to an address and does not listen.

    Raises
    ------
    OSError
        The address cannot be bound.
    """
    family, kind, protocol, _, sockaddr = socket.getaddrinfo(
        address.host,
        address.port,
        type=socket.SOCK_STREAM,
        flags=socket.AI_PASSIVE,
    )[0]
    bound = socket.socket(family, kind, protocol)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(sockaddr)
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


def listen_at(address: VmAddress) -> socket.socket:
    """Return a socket that listens at an address.

    Raises
    ------
    OSError
        The address cannot be bound.
    """
    listening = bind(address)
    try:
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
