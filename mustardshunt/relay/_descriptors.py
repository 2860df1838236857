"""Limit on the descriptors that the process may have open."""

import resource
from typing import Final

# More connections than this would need more memory than any process has.
MAX_DESCRIPTORS: Final = 65536


def raise_descriptor_limit() -> None:
    """Raise the soft limit on open descriptors to the hard one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == hard:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    except (OSError, ValueError):
        # The bounds of connections follow from the limit that is in force.
        return


def descriptor_limit() -> int:
    """Return how many descriptors the process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft < 0 else min(soft, MAX_DESCRIPTORS)
