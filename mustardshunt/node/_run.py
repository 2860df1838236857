"""Runs a node as the main task of a process."""

import gc
from typing import Final

from mustardshunt.node._assembly import make_node
from mustardshunt.observability import set_up_logs
from mustardshunt.settings import NodeSettings

# Thresholds of ``gc.set_threshold``: allocations before generation 0 is
# collected, then collections of a generation before the next older one is.
_GC_THRESHOLDS: Final = (10_000, 50, 100)


async def run_node(settings: NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    """
    set_up_logs(settings.node.log_level, settings.node.host)
    node = make_node(settings)
    # A full collection walks all objects and delays the calls in flight, so
    # objects made during the start are excluded and it runs less often.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    await node.run()
