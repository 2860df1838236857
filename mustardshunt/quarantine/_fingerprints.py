"""Fingerprints that identify requests by their content."""

import hashlib
from typing import NewType

# Digest of the content of a request; a retry has the same fingerprint.
Fingerprint = NewType('Fingerprint', str)

_DIGEST_BYTES = 16


def make_fingerprint(
    organisation: str,
    method: str,
    target: str,
    body: bytes,
    secret: bytes = b'',
) -> Fingerprint:
    """Return the fingerprint of a request.

    The query is part of the fingerprint, because a request may crash backend
    servers by its query only. Without the query, harmless requests for the same
    path would have the same fingerprint and lower its suspicion level.

    Parameters
    ----------
    organisation : str
        Organisation whose API key came with the request.
    method : str
        HTTP method in upper case.
    target : str
        Path and query.
    body : bytes
        Complete body.
    secret : bytes, default=b''
        Key of the digest, at most 64 bytes and the same at all nodes. Without
        it, nobody can tell from a fingerprint whether it is that of a request
        that they guess.

    Returns
    -------
    Fingerprint
        Hexadecimal BLAKE2b digest of 16 bytes.

    Examples
    --------
    >>> first = make_fingerprint('acme', 'GET', '/a', b'')
    >>> first == make_fingerprint('acme', 'GET', '/a', b'')
    True
    >>> first == make_fingerprint('acme', 'GE', 'T/a', b'')
    False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=secret)
    for part in (organisation.encode(), method.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
