"""Command line interface ``mustardshunt`` for operators.

The commands run a node, check files, and show or change the active sheet. The
sheet is the table of organisations, keys, routes and data centres.
"""

from mustardshunt.cli._exit_codes import ExitCode
from mustardshunt.cli._main import main

__all__ = ['ExitCode', 'main']
