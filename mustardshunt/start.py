"""Starts a node on the users' platform: ``python -m mustardshunt.start``."""

import runpy
import signal


def main() -> None:
    """Ignore SIGHUP until its handler is installed, and run the node.

    The imports of the node take some tenths of a second, in which SIGHUP would
    end the process. The settings are read after them, so nothing is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    runpy.run_module('mustardshunt.platform', run_name='__main__')


if __name__ == '__main__':
    main()
