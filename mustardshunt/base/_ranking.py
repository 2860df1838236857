"""Order of nodes by the hash of their names."""

import functools
import hashlib
from typing import Final

# Largest number of names whose hashes are kept.
_CACHE_SIZE: Final = 4096


@functools.lru_cache(maxsize=_CACHE_SIZE)
def rank_of(name: str) -> tuple[bytes, str]:
    """Return a sort key for a name that all nodes compute alike.

    The order of two names does not depend on any other name, so nodes that know
    different members agree on it.

    Examples
    --------
    >>> sorted('abc', key=rank_of) == sorted('cab', key=rank_of)
    True
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest(), name
