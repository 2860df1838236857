"""Runs a node as the main task of a process."""

import gc
from typing import Final

from mustardshunt.node._assembly import make_node
from mustardshunt.observability import set_up_logs
from mustardshunt.settings import NodeSettings

# Thresholds for ``gc.set_threshold``. The first is the number of allocations
# before a collection of generation 0. The others are the numbers of collections
# of a generation before the next older generation is collected.
_GC_THRESHOLDS: Final = (10_000, 50, 100)


async def run_node(settings: NodeSettings) -> None:
    """Set up the logs, and run a node until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    """
    set_up_logs(settings.node.log_level, settings.node.host)
    node = make_node(settings)
    # A full garbage collection visits all objects and delays the calls in
    # flight. So objects made during the start are excluded from collections,
    # and full collections run less often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    await node.run()
