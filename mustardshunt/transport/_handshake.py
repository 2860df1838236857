"""The handshake of a new connection, on both sides."""

import secrets
from dataclasses import dataclass, field
from typing import Final

from websockets.asyncio.connection import Connection

from mustardshunt.base import ErrorCode, Incarnation, VmAddress
from mustardshunt.transport._codec import Codec
from mustardshunt.transport._frames import PROTOCOL_VERSION, Hello, Proof
from mustardshunt.transport._link import receive_frame
from mustardshunt.transport._proof import (
    NONCE_BYTES,
    HandshakeError,
    check_hello,
    check_proof,
    compute_proof,
)

HANDSHAKE_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class LinkParameters:
    """What each link of a node is opened with.

    Parameters
    ----------
    incarnation : Incarnation
        This run of the node.
    data_centre : str
        Data centre of this node.
    address : VmAddress
        Where peers reach this node.
    secret : bytes
        Secret of the fleet; left out of ``repr`` so that no log shows it.
    max_frame_bytes : int
        Largest frame that is accepted.
    """

    incarnation: Incarnation
    data_centre: str
    address: VmAddress
    secret: bytes = field(repr=False)
    max_frame_bytes: int = 4 * 1024 * 1024

    def make_hello(self, link: int = 0) -> Hello:
        """Return the first frame, with a new challenge."""
        return Hello(
            PROTOCOL_VERSION,
            self.incarnation,
            self.data_centre,
            self.address.host,
            self.address.port,
            secrets.token_bytes(NONCE_BYTES),
            link,
        )


class Handshake:
    """Exchanges challenges and proofs on a connection.

    Parameters
    ----------
    parameters : LinkParameters
        Who this node is, and the secret of the fleet.
    codec : Codec
        Encoding of the frames.
    """

    def __init__(self, parameters: LinkParameters, codec: Codec) -> None:
        self._parameters = parameters
        self._codec = codec

    async def authenticate_as_dialer(
        self,
        connection: Connection,
        link: int,
    ) -> Hello:
        """Prove this node's membership, and check the listener's.

        Parameters
        ----------
        connection : websockets.asyncio.connection.Connection
            Open websocket.
        link : int
            Number of the link at this node.

        Raises
        ------
        MustardshuntError
            The listener did not prove that it belongs to the fleet.
        """
        own = self._parameters.make_hello(link)
        await connection.send(self._codec.encode(own))
        peer = await self._receive_hello(connection)
        found = await receive_frame(connection, self._codec, HANDSHAKE_SECONDS)
        secret = self._parameters.secret
        _check(found, compute_proof(secret, 'listener', own, peer))
        proof = Proof(compute_proof(secret, 'dialer', peer, own))
        await connection.send(self._codec.encode(proof))
        return peer

    async def authenticate_as_listener(self, connection: Connection) -> Hello:
        """Prove this node's membership, and check the dialer's.

        Raises
        ------
        MustardshuntError
            The dialer did not prove that it belongs to the fleet.
        """
        peer = await self._receive_hello(connection)
        own = self._parameters.make_hello()
        secret = self._parameters.secret
        proof = Proof(compute_proof(secret, 'listener', peer, own))
        await connection.send(self._codec.encode(own))
        await connection.send(self._codec.encode(proof))
        found = await receive_frame(connection, self._codec, HANDSHAKE_SECONDS)
        _check(found, compute_proof(secret, 'dialer', own, peer))
        return peer

    async def _receive_hello(self, connection: Connection) -> Hello:
        found = await receive_frame(connection, self._codec, HANDSHAKE_SECONDS)
        if not isinstance(found, Hello):
            raise HandshakeError(ErrorCode.BAD_PROOF, 'expected a hello')
        check_hello(found)
        return found


def _check(found: object, expected: bytes) -> None:
    if not isinstance(found, Proof):
        raise HandshakeError(ErrorCode.BAD_PROOF, 'expected a proof')
    check_proof(expected, found.mac)
