"""Fingerprints of requests."""

import hashlib
from typing import NewType

# Names a request by its content, so that a repeat has the same one.
Fingerprint = NewType('Fingerprint', str)

_DIGEST_SIZE = 16


def make_fingerprint(
    organisation: str,
    method: str,
    target: str,
    body: bytes,
) -> Fingerprint:
    """Return the fingerprint of a request.

    The query counts too: one that crashes a backend server must not hide
    among harmless ones on the same path.

    Parameters
    ----------
    organisation : str
        Organisation whose key came with the request.
    method : str
        HTTP method in upper case.
    target : str
        Path and query.
    body : bytes
        Whole body.

    Examples
    --------
    >>> first = make_fingerprint('acme', 'GET', '/a', b'')
    >>> first == make_fingerprint('acme', 'GET', '/a', b'')
    True
    >>> first == make_fingerprint('acme', 'GE', 'T/a', b'')
    False
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_SIZE)
    for part in (organisation.encode(), method.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
