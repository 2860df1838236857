"""Clock that goes on while the VM is suspended."""

import time
from pathlib import Path
from typing import Final

_BOOT_ID_FILE: Final = Path('/proc/sys/kernel/random/boot_id')


class BootClock:
    """Monotonic time since the VM booted, in seconds.

    ``CLOCK_BOOTTIME`` counts the time for which the VM is suspended, so that
    leases and grants that lapsed meanwhile are found to have lapsed.
    """

    def now(self) -> float:
        """Return the time, in seconds; it never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_boot_id() -> str:
    """Return the boot id, which the kernel changes at each boot of the VM.

    Returns
    -------
    str
        Boot id; empty when it cannot be read.
    """
    try:
        return _BOOT_ID_FILE.read_text(encoding='ascii').strip()
    except OSError:
        return ''
