"""Identifiers of nodes, and rendezvous hashing over them."""

import hashlib
import ipaddress
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, NewType

MAX_PORT: Final = 65535

# Identifier of one process of a node; a restarted node has a new incarnation.
Incarnation = NewType('Incarnation', str)


@dataclass(frozen=True, slots=True, order=True)
class VmAddress:
    """Address at which the node on a VM accepts connections of other nodes.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.

    Examples
    --------
    >>> str(VmAddress('127.0.1.1', 7000))
    '127.0.1.1:7000'
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def make_vm_address(host: str, port: int) -> VmAddress:
    """Return the address of a node that another writer has stated.

    Parameters
    ----------
    host : str
        IP address; names are not resolved.
    port : int
        TCP port, 1 to 65535.

    Raises
    ------
    ValueError
        No connection can be opened to the address.

    Examples
    --------
    >>> make_vm_address('10.0.0.1', 70000)
    Traceback (most recent call last):
        ...
    ValueError: port: expected 1 to 65535, found 70000
    """
    ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port: expected 1 to {MAX_PORT}, found {port}')
    return VmAddress(host, port)


def rendezvous_order(
    key: str,
    incarnations: Iterable[Incarnation],
) -> list[Incarnation]:
    """Order nodes by their preference for a key (rendezvous hashing).

    The order depends on the key and the nodes only, so all nodes compute the
    same order. When a node joins or leaves, the other nodes keep their order.

    Parameters
    ----------
    key : str
        Key for which nodes are to be chosen.
    incarnations : iterable of Incarnation
        Incarnations of the nodes that can be chosen.

    Returns
    -------
    list of Incarnation
        All nodes, the preferred node first.

    Examples
    --------
    >>> nodes = [Incarnation('a'), Incarnation('b'), Incarnation('c')]
    >>> rendezvous_order('x', nodes) == rendezvous_order('x', nodes[::-1])
    True
    """
    return sorted(
        incarnations,
        key=lambda incarnation: hashlib.blake2b(
            f'{key}\0{incarnation}'.encode(),
            digest_size=8,
        ).digest(),
    )
