"""Writes structured log lines at a limited rate and without blocking."""

import json
import os
import sys
from collections import deque
from dataclasses import dataclass
from typing import Any, Final

from loguru import logger

# Limits for the log lines of one kind. Lines above the limits are omitted. The
# next line of the kind states how many lines were omitted.
MAX_LINES_PER_SECOND: Final = 20.0
MAX_LINE_BURST: Final = 40.0
# Size of the buffer for lines that the reader of the standard output has not
# taken yet. When the buffer is full, further lines are dropped.
MAX_BUFFERED_BYTES: Final = 262144


@dataclass(slots=True)
class _TokenBucket:
    tokens: float
    updated_at: float
    left_out: int = 0


class NonBlockingWriter:
    """Writes lines to a file descriptor without blocking.

    Lines that cannot be written yet are buffered. Lines that do not fit into
    the buffer are dropped and counted.

    Parameters
    ----------
    descriptor : int
        File descriptor, which the constructor sets to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write or buffer a line; drop the line when the buffer is full."""
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the buffer is empty or a write blocks.

        When a write fails for another reason, all buffered lines are dropped.
        """
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Later writes would fail too, for example because the reading
                # end of a pipe is closed.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


class EventLog:
    """Log of decisions and state changes, with a rate limit for each kind.

    Parameters
    ----------
    writer : NonBlockingWriter
        Writes lines to the standard output.
    sink : object or None, default=None
        Loguru sink that receives the lines, needed to change the level.
    """

    def __init__(
        self, writer: NonBlockingWriter, sink: '_JsonSink | None' = None
    ) -> None:
        self._writer = writer
        self._sink = sink
        self._bucket_by_kind: dict[str, _TokenBucket] = {}

    def record(self, kind: str, now: float, **inputs: Any) -> None:
        """Write a log line, unless its kind is above the rate limit.

        Lines above the limit are omitted and counted.

        Parameters
        ----------
        kind : str
            Kind of the decision or state change.
        now : float
            Time in seconds on the node's monotonic clock.
        **inputs
            Values that led to the decision, their age or version, and the
            outcome. Values that JSON cannot encode are converted by ``str``.
        """
        bucket = self._bucket_by_kind.get(kind)
        if bucket is None:
            bucket = _TokenBucket(MAX_LINE_BURST, now)
            self._bucket_by_kind[kind] = bucket
        elapsed = max(0.0, now - bucket.updated_at)
        bucket.updated_at = now
        bucket.tokens = min(
            MAX_LINE_BURST,
            bucket.tokens + elapsed * MAX_LINES_PER_SECOND,
        )
        if bucket.tokens < 1:
            bucket.left_out += 1
            return
        bucket.tokens -= 1.0
        if bucket.left_out:
            inputs['left_out'] = bucket.left_out
            bucket.left_out = 0
        logger.bind(kind=kind, at=round(now, 4), **inputs).info(kind)

    def set_level(self, level: str) -> None:
        """Set the lowest severity of the lines that are written."""
        if self._sink is not None:
            _use_sink(self._sink, level)

    def flush(self) -> None:
        """Write buffered lines until the buffer is empty or a write blocks."""
        self._writer.flush()


def make_event_log(node: str, level: str) -> EventLog:
    """Set up logging of the process as JSON lines on the standard output.

    Parameters
    ----------
    node : str
        Name of the node, written in each line.
    level : str
        Lowest log level that is written.

    Returns
    -------
    EventLog
        Log of the node's decisions and state changes, for example refusals and
        lost links. Its lines go to the standard output, like all other log
        lines of the process.
    """
    writer = NonBlockingWriter(sys.stdout.fileno())
    sink = _JsonSink(node, writer)
    _use_sink(sink, level)
    return EventLog(writer, sink)


def _use_sink(sink: '_JsonSink', level: str) -> None:
    logger.remove()
    logger.add(sink, level=level, backtrace=False, diagnose=False)


class _JsonSink:
    """Loguru sink that writes each record as a JSON object on one line."""

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
