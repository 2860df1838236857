"""Units and constants shared by holders, token caches and share rows."""

import hashlib
from typing import Final

# Tokens are counted in millionths and shares in parts per million. For an
# integer burst, burst x share is then an exact integer, so that the parts of
# all holders add up to whole tokens without rounding.
MICROTOKENS_PER_TOKEN: Final = 1_000_000
FULL_SHARE_PPM: Final = 1_000_000
PARTITIONS: Final = 64
HOLDERS_PER_DATA_CENTRE: Final = 3
# Granted tokens may be spent for this time after the request was sent.
GRANT_TERM_SECONDS: Final = 2.0
# The holder adds this to the term, so that clocks may differ in speed by a
# quarter.
GRANT_TERM_MARGIN_SECONDS: Final = 0.5
# A holder may grant tokens for this time after it sent its last renewal.
LEASE_SECONDS: Final = 7200.0
# Watchers add this to the lease before they reclaim shares. It covers clock
# drift and the term of the last grants.
RECLAIM_MARGIN_SECONDS: Final = 60.0


def partition_of(organisation: str) -> int:
    """Return the partition whose row has the shares for an organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation.

    Returns
    -------
    int
        Number from 0 to 63.

    Examples
    --------
    >>> 0 <= partition_of('vitrina') < PARTITIONS
    True
    """
    digest = hashlib.blake2b(organisation.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % PARTITIONS
