"""Starts a node on the users' platform: ``python3 -S -P`` and this file.

SIGHUP ends a process until it is ignored, so nothing is imported before that:
``_signal`` is part of the interpreter, while ``signal``, ``site`` and ``runpy``
take several times as long as the start of the interpreter itself.
"""

import _signal
import sys

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)


def main() -> None:
    """Run the node, which installs its own handler of SIGHUP.

    The settings are read after that, so no change is missed.
    """
    import runpy
    import site
    from pathlib import Path

    sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
    site.main()
    runpy.run_module('mustardshunt.platform', run_name='__main__')


if __name__ == '__main__':
    main()
