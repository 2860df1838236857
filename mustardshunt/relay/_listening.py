"""Checks whether a process listens at an address."""

import asyncio
from typing import Final

from mustardshunt.base import VmAddress

CONNECT_TIMEOUT_SECONDS: Final = 0.5


async def is_listening(address: VmAddress) -> bool:
    """Tell whether a process listens at an address on this VM.

    Returns
    -------
    bool
        False only if the connection was refused. A process that does not
        accept in time may be frozen or busy.
    """
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.transport.abort()
    return True
