"""Mutual authentication of two nodes on a new connection."""

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

HANDSHAKE_TIMEOUT_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class LinkParameters:
    """Identity, secret and limits that all links of a node use.

    Parameters
    ----------
    incarnation : Incarnation
        Identifies the run of the node.
    data_centre : str
        Data centre of the node.
    address : VmAddress
        Address at which peers reach the node.
    secret : bytes
        Secret that all nodes of the deployment share; left out of ``repr``
        so that no log shows it.
    max_frame_bytes : int
        Largest frame that is accepted, in bytes.
    """

    incarnation: Incarnation
    data_centre: str
    address: VmAddress
    secret: bytes = field(repr=False)
    max_frame_bytes: int = 4 * 1024 * 1024

    def make_hello(self, link: int = 0) -> Hello:
        """Return the first frame of a link, with a new random challenge."""
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
    """Exchanges challenges and proofs on a connection between two nodes.

    Each node proves that it knows the secret of the deployment.

    Parameters
    ----------
    parameters : LinkParameters
        Identity of this node and the secret of the deployment.
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
        """Authenticate both sides of a connection that this node opened.

        Parameters
        ----------
        connection : websockets.asyncio.connection.Connection
            Open WebSocket connection.
        link : int
            Number of the link at this node.

        Returns
        -------
        Hello
            First frame of the listener.

        Raises
        ------
        MustardshuntError
            The listener did not prove that it knows the secret, sent an invalid
            frame, or sent no frame within the time-out.
        """
        own = self._parameters.make_hello(link)
        await connection.send(self._codec.encode(own))
        peer = await self._receive_hello(connection)
        found = await receive_frame(
            connection, self._codec, HANDSHAKE_TIMEOUT_SECONDS
        )
        secret = self._parameters.secret
        _verify_proof(found, compute_proof(secret, 'listener', own, peer))
        proof = Proof(compute_proof(secret, 'dialer', peer, own))
        await connection.send(self._codec.encode(proof))
        return peer

    async def authenticate_as_listener(self, connection: Connection) -> Hello:
        """Authenticate both sides of a connection that a peer opened.

        Returns
        -------
        Hello
            First frame of the dialer.

        Raises
        ------
        MustardshuntError
            The dialer did not prove that it knows the secret, sent an invalid
            frame, or sent no frame within the time-out.
        """
        peer = await self._receive_hello(connection)
        own = self._parameters.make_hello()
        secret = self._parameters.secret
        proof = Proof(compute_proof(secret, 'listener', peer, own))
        await connection.send(self._codec.encode(own))
        await connection.send(self._codec.encode(proof))
        found = await receive_frame(
            connection, self._codec, HANDSHAKE_TIMEOUT_SECONDS
        )
        _verify_proof(found, compute_proof(secret, 'dialer', own, peer))
        return peer

    async def _receive_hello(self, connection: Connection) -> Hello:
        found = await receive_frame(
            connection, self._codec, HANDSHAKE_TIMEOUT_SECONDS
        )
        if not isinstance(found, Hello):
            raise HandshakeError(
                ErrorCode.BAD_PROOF,
                f'expected a Hello frame, found {type(found).__name__}',
            )
        check_hello(found)
        return found


def _verify_proof(found: object, expected: bytes) -> None:
    if not isinstance(found, Proof):
        raise HandshakeError(
            ErrorCode.BAD_PROOF,
            f'expected a Proof frame, found {type(found).__name__}',
        )
    check_proof(expected, found.mac)
