"""Runs a node on the users' platform; ``mustardshunt.start`` starts it."""

import asyncio
import gc
import os
import sys
from pathlib import Path
from typing import Final

from mustardshunt.memory import make_memory_account
from mustardshunt.platform import (
    PlatformHeaderCodec,
    PlatformHeartbeatCodec,
    StoreClient,
    StoreMemberDirectory,
    StoreOperatorSource,
    StoreRolloutDirectory,
    StoreVerdictDirectory,
)
from mustardshunt.relay import make_event_loop, raise_descriptor_limit
from mustardshunt.sidecar import (
    PlatformAdapter,
    SettingsFile,
    SidecarSettings,
    SidecarSettingsError,
    run_sidecar,
)

SETTINGS_VARIABLE: Final = 'MUSTARDSHUNT_SETTINGS'
# The garbage collector examines the youngest generation when the allocations
# exceed the deallocations by this number; the default of Python is 700.
GC_THRESHOLD: Final = 20000
_EXIT_BAD_SETTINGS: Final = 2


async def run_node(settings: SidecarSettings, file: SettingsFile) -> None:
    """Run a node until the process receives a signal to stop.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    file : SettingsFile
        File that the settings were read from. The node reads the file again
        when the file changes.
    """
    memory = make_memory_account(settings.node.memory_mb)
    store = StoreClient(settings.platform.address, memory)
    adapter = PlatformAdapter(
        PlatformHeaderCodec(),
        PlatformHeartbeatCodec(settings.node.service),
        StoreOperatorSource(store),
        StoreMemberDirectory(store),
        StoreVerdictDirectory(store),
        store,
        StoreRolloutDirectory(store),
    )
    try:
        await run_sidecar(settings, adapter, memory, file)
    finally:
        store.close()


def main() -> int:
    """Read the settings file and run the node.

    Returns
    -------
    int
        Exit code of the process, 2, if the settings cannot be read. Otherwise
        the process ends with exit code 0 when the node has stopped.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, 'sidecar.ini'))
    file = SettingsFile(path)
    try:
        settings = file.read()
    except (OSError, SidecarSettingsError) as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_BAD_SETTINGS
    raise_descriptor_limit()
    # Objects allocated so far live as long as the process, so the garbage
    # collector need not visit them. Reference counting frees most objects of
    # requests, so frequent collections would find almost nothing to free.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    with asyncio.Runner(loop_factory=make_event_loop) as runner:
        runner.run(run_node(settings, file))
        # The node has closed everything and written its log. Freeing all
        # objects one by one would take a part of the grace time, which a busy
        # machine may not have left.
        os._exit(0)


if __name__ == '__main__':
    sys.exit(main())
