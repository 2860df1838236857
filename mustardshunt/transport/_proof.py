"""Proofs by which two nodes show that they share a secret."""

import hashlib
import hmac
from typing import Final

from mustardshunt.base import ErrorCode, MustardshuntError
from mustardshunt.transport._frames import PROTOCOL_VERSION, Hello

NONCE_BYTES: Final = 16


class HandshakeError(MustardshuntError):
    """The peer did not prove that it knows the secret of the deployment."""


def compute_proof(
    secret: bytes,
    role: str,
    challenger: Hello,
    prover: Hello,
) -> bytes:
    """Return one node's proof that answers the other node's challenge.

    Parameters
    ----------
    secret : bytes
        Secret that all nodes of the deployment share.
    role : str
        ``dialer`` or ``listener``: the side that proves that it knows the
        secret. Because the role is part of the proof, a proof cannot be sent
        back to the side that made it.
    challenger : Hello
        First frame of the node that checks the proof.
    prover : Hello
        First frame of the node that makes the proof.

    Returns
    -------
    bytes
        HMAC-SHA-256 over the role and all fields of both frames.
    """
    parts = [role]
    for hello in (challenger, prover):
        parts.extend((
            str(hello.protocol),
            hello.incarnation,
            hello.data_centre,
            hello.host,
            str(hello.port),
            hello.nonce.hex(),
            str(hello.link),
        ))
    message = '\0'.join(parts).encode()
    return hmac.new(secret, message, hashlib.sha256).digest()


def check_hello(hello: Hello) -> None:
    """Check the protocol version and the challenge of a peer.

    Raises
    ------
    HandshakeError
        The protocol version or the length of the challenge is not the
        expected one.
    """
    if hello.protocol != PROTOCOL_VERSION:
        raise HandshakeError(
            ErrorCode.PROTOCOL_VERSION,
            f'expected protocol {PROTOCOL_VERSION}, found {hello.protocol}',
        )
    if len(hello.nonce) != NONCE_BYTES:
        raise HandshakeError(
            ErrorCode.BAD_PROOF,
            f'expected a nonce of {NONCE_BYTES} bytes, '
            f'found {len(hello.nonce)} bytes',
        )


def check_proof(expected: bytes, found: bytes) -> None:
    """Check a proof in constant time.

    Raises
    ------
    HandshakeError
        The proof was made with another secret or for other frames.
    """
    if hmac.compare_digest(expected, found):
        return
    raise HandshakeError(ErrorCode.BAD_PROOF, 'proof does not match the secret')
