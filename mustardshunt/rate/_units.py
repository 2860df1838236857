"""Units and constants shared by holders, token caches and share rows."""

import hashlib
from typing import Final

# Tokens are counted in millionths, and shares in parts per million. If the
# burst is a whole number of tokens, burst x share is then a whole number of
# millionths. The parts of all holders therefore add up to the burst without
# rounding.
MICROTOKENS_PER_TOKEN: Final = 1_000_000
FULL_SHARE_PPM: Final = 1_000_000
PARTITIONS: Final = 64
HOLDERS_PER_DATA_CENTRE: Final = 3
# Term of a grant. Granted tokens may be spent for this time after the token
# request was sent.
GRANT_TERM_SECONDS: Final = 2.0
# After the term of a grant, the holder waits for this time before it grants the
# tokens again. The clocks of both nodes may therefore differ in speed by a
# quarter.
GRANT_TERM_MARGIN_SECONDS: Final = 0.5
# Duration of a lease. A holder may grant tokens for this time after it sent the
# last successful renewal.
LEASE_SECONDS: Final = 7200.0
# Time after the end of a lease before the holder's shares may be reclaimed.
# This margin covers clock drift and the term of the last grants.
RECLAIM_MARGIN_SECONDS: Final = 60.0


def partition_of(organisation: str) -> int:
    """Return the partition whose share row applies to an organisation.

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
