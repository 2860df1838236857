"""Formats the events and actions of a test as text for golden files."""

import difflib
import enum
import sys
from dataclasses import fields, is_dataclass

from mustardshunt.base import MemberRecord


def describe(item):
    """Format an event, an action or a value as one line of text."""
    if isinstance(item, MemberRecord):
        return f'{item.incarnation}#{item.sequence}:{item.state}'
    if isinstance(item, tuple) and not hasattr(item, '_fields'):
        return '[' + ' '.join(map(describe, item)) + ']'
    if isinstance(item, enum.Enum) or not is_dataclass(item):
        return str(item)
    if type(item).__str__ is not object.__str__:
        return str(item)
    values = (
        f'{entry.name}={describe(getattr(item, entry.name))}'
        for entry in fields(item)
        if getattr(item, entry.name) is not None
    )
    name = type(item).__name__
    return f'{name}({", ".join(values)})'


class Recorder:
    """Collects a test's comments, events and actions, one on each line."""

    def __init__(self):
        self.now = 0.0
        self.lines = []

    def note(self, text):
        self.lines.append(f'# {text}')

    def event(self, name, event):
        self.lines.append(f'{self.now:8.3f} {name} <- {describe(event)}')

    def action(self, name, action):
        self.lines.append(f'{self.now:8.3f}     {name} -> {describe(action)}')

    def text(self):
        return '\n'.join(self.lines) + '\n'


def regenerate(path, text):
    """Write a golden file and print what changed in the file."""
    old = path.read_text() if path.exists() else ''
    path.parent.mkdir(exist_ok=True)
    path.write_text(text)
    sys.stdout.writelines(
        difflib.unified_diff(
            old.splitlines(keepends=True),
            text.splitlines(keepends=True),
            f'{path} before',
            f'{path} now',
        )
    )
