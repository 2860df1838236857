"""Tests of the rate limit and of the buffer for structured log lines."""

import os

from loguru import logger

from mustardshunt.observability import EventLog
from mustardshunt.observability._event_log import (
    MAX_BUFFERED_BYTES,
    MAX_LINE_BURST,
    NonBlockingWriter,
)


def test_writer_drops_lines_when_nobody_reads():
    """When the reader of the log is stopped, lines must be dropped.

    The pipe of the standard output is then full. A write that waited for the
    reader would block the request that writes the log line.
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
    # Each line that was not dropped must arrive complete.
    assert received == (1000 - writer.dropped) * len(line)
    os.close(reader)
    os.close(descriptor)


def test_lines_of_one_kind_are_limited_and_omissions_counted():
    """Lines above the limit of their kind must be omitted and counted.

    Otherwise an event that repeats at a high rate would flood the log.
    """
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
