"""Tests of the rate limit and the buffer of structured log lines."""

import os

from loguru import logger

from mustardshunt.observability import EventLog
from mustardshunt.observability._event_log import (
    MAX_BUFFERED_BYTES,
    MAX_LINE_BURST,
    NonBlockingWriter,
)


def test_writer_drops_lines_when_nobody_reads():
    """Guards against a request that blocks on a log line.

    The pipe of the standard output is full while its reader is stopped.
    """
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor)
    line = b'x' * 1000 + b'\n'
    for _ in range(1000):
        writer.write(line)
    assert writer.dropped > 0
    assert writer._buffered_bytes <= MAX_BUFFERED_BYTES
    received = 0
    os.set_blocking(reader, False)
    for _ in range(200):
        try:
            received += len(os.read(reader, 65536))
        except BlockingIOError:
            break
        writer.flush()
    # Lines that were not dropped arrive complete.
    assert received == (1000 - writer.dropped) * len(line)
    os.close(reader)
    os.close(descriptor)


def test_lines_of_one_kind_are_limited_and_omissions_counted():
    """Guards against a log flooded by an event that repeats at high rate."""
    reader, descriptor = os.pipe()
    log = EventLog(NonBlockingWriter(descriptor))
    lines: list[dict[str, object]] = []
    sink = logger.add(
        lambda message: lines.append(dict(message.record['extra'])),
        filter=lambda record: record['extra'].get('kind') == 'refused',
    )
    for _ in range(100):
        log.record('refused', 1.0, reason='r')
    log.record('refused', 3.0, reason='r')
    logger.remove(sink)
    assert len(lines) == int(MAX_LINE_BURST) + 1
    assert lines[-1]['left_out'] == 100 - int(MAX_LINE_BURST)
    os.close(reader)
    os.close(descriptor)
