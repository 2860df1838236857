"""Sets up the log of a node.

Log lines report changes of state. Single calls are not logged but counted in
metrics.
"""

import sys
from typing import Final

from loguru import logger

_FORMAT: Final = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[vm]} {message}'


def set_up_logs(level: str, vm: str) -> None:
    """Set up logging to the standard error stream.

    Parameters
    ----------
    level : str
        Lowest log level that is written: ``TRACE``, ``DEBUG``, ``INFO``,
        ``WARNING`` or ``ERROR``.
    vm : str
        Name of the VM, written in each line.
    """
    logger.remove()
    # Tracebacks are written without the values of local variables, because
    # these may contain keys of organisations.
    logger.add(
        sys.stderr,
        level=level,
        format=_FORMAT,
        backtrace=False,
        diagnose=False,
    )
    logger.configure(extra={'vm': vm})
