"""Command line interface ``mustardshunt``."""

from mustardshunt.cli._exit_codes import ExitCode
from mustardshunt.cli._main import main

__all__ = ['ExitCode', 'main']
