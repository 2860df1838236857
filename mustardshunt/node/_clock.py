"""Clock that also counts the time for which the VM is suspended."""

import time
from pathlib import Path
from typing import Final

_BOOT_ID_FILE: Final = Path('/proc/sys/kernel/random/boot_id')


class BootClock:
    """Monotonic time since the VM booted, in seconds.

    ``CLOCK_BOOTTIME`` also counts the time for which the VM is suspended. So
    leases and grants that expire during a suspension are expired afterwards.
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
