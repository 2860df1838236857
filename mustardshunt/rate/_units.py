"""Units and constants that holders, wallets and the share table agree on."""

import hashlib
from typing import Final

# Tokens are counted in whole millionths, and a share is parts per million:
# burst x share is then an exact integer for a whole burst, so that the parts
# of all holders add up to whole tokens without rounding.
MICROTOKENS_PER_TOKEN: Final = 1_000_000
FULL_SHARE_PPM: Final = 1_000_000
PARTITIONS: Final = 64
HOLDERS_PER_DATA_CENTRE: Final = 3
# Seconds for which a wallet may spend a grant, from when it sent the ask.
GRANT_TERM_SECONDS: Final = 2.0
# Added by the holder, so that clocks may differ in speed by a quarter.
GRANT_TERM_MARGIN_SECONDS: Final = 0.5
# Seconds for which a holder may grant after it sent its last renewal.
LEASE_SECONDS: Final = 7200.0
# Added by watchers to the lease before they reclaim; covers clock drift and
# the term of the last grants.
RECLAIM_MARGIN_SECONDS: Final = 60.0


def partition_of(organisation: str) -> int:
    """Return the partition that holds an organisation's shares.

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
