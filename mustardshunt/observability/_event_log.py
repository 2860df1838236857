"""Structured log lines that are bounded in number and never block."""

import json
import os
import sys
from collections import deque
from dataclasses import dataclass
from typing import Any, Final

from loguru import logger

# Lines of one kind in a second; more are counted in the next line of the kind.
LINES_PER_SECOND: Final = 20.0
LINES_AT_ONCE: Final = 40.0
# Lines that wait while nobody reads the standard output.
MAX_WAITING_BYTES: Final = 262144


@dataclass(slots=True)
class _KindBudget:
    level: float
    updated_at: float
    left_out: int = 0


class NonBlockingWriter:
    """Writes lines to a file descriptor and drops what it does not take.

    Parameters
    ----------
    descriptor : int
        File descriptor, set to non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line now, or keep it while there is room."""
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read these lines.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


class EventLog:
    """Writes one JSON object for each decision worth explaining later.

    Parameters
    ----------
    writer : NonBlockingWriter
        Takes the lines.
    """

    def __init__(self, writer: NonBlockingWriter) -> None:
        self._writer = writer
        self._budget_by_kind: dict[str, _KindBudget] = {}

    def record(self, kind: str, now: float, **inputs: Any) -> None:
        """Write a line, or count it when its kind has used up its lines.

        Parameters
        ----------
        kind : str
            What was decided or what changed.
        now : float
            Time in seconds on the node's steady clock.
        **inputs
            What decided it, its age or version, and the outcome.
        """
        budget = self._budget_by_kind.get(kind)
        if budget is None:
            budget = _KindBudget(LINES_AT_ONCE, now)
            self._budget_by_kind[kind] = budget
        passed = max(0.0, now - budget.updated_at)
        budget.updated_at = now
        budget.level = min(
            LINES_AT_ONCE,
            budget.level + passed * LINES_PER_SECOND,
        )
        if budget.level < 1:
            budget.left_out += 1
            return
        budget.level -= 1.0
        if budget.left_out:
            inputs['left_out'] = budget.left_out
            budget.left_out = 0
        logger.bind(kind=kind, at=round(now, 4), **inputs).info(kind)

    def flush(self) -> None:
        """Write lines that waited for their reader."""
        self._writer.flush()


def make_event_log(node: str, level: str) -> EventLog:
    """Send all log lines of the process to the standard output as JSON.

    Parameters
    ----------
    node : str
        Name of the node.
    level : str
        Lowest level that is written.
    """
    writer = NonBlockingWriter(sys.stdout.fileno())
    sink = _JsonSink(node, writer)
    logger.remove()
    logger.add(sink, level=level, backtrace=False, diagnose=False)
    return EventLog(writer)


class _JsonSink:
    """Sink of loguru that writes one JSON object for each line."""

    def __init__(self, node: str, writer: NonBlockingWriter) -> None:
        self._node = node
        self._writer = writer

    def write(self, message: Any) -> None:
        record = message.record
        line = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'node': self._node,
            **record['extra'],
        }
        if 'kind' not in line:
            line['kind'] = 'message'
            line['message'] = record['message']
        if record['exception'] is not None:
            line['error'] = repr(record['exception'].value)
        text = json.dumps(line, default=str, separators=(',', ':'))
        self._writer.write(f'{text}\n'.encode())
