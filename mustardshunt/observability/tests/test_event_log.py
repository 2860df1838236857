"""Log lines that are bounded and never block."""

import os

from loguru import logger

from mustardshunt.observability import EventLog
from mustardshunt.observability._event_log import (
    LINES_AT_ONCE,
    MAX_WAITING_BYTES,
    NonBlockingWriter,
)


def test_writer_drops_lines_when_nobody_reads():
    """Guards against a request that waits for its log line."""
    reader, descriptor = os.pipe()
    writer = NonBlockingWriter(descriptor)
    line = b'x' * 1000 + b'\n'
    for _ in range(1000):
        writer.write(line)
    assert writer.dropped > 0
    assert writer._waiting_bytes <= MAX_WAITING_BYTES
    received = 0
    os.set_blocking(reader, False)
    for _ in range(200):
        try:
            received += len(os.read(reader, 65536))
        except BlockingIOError:
            break
        writer.flush()
    # What was not dropped arrives in whole lines.
    assert received == (1000 - writer.dropped) * len(line)
    os.close(reader)
    os.close(descriptor)


def test_lines_of_one_kind_are_bounded_and_counted():
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
    assert len(lines) == int(LINES_AT_ONCE) + 1
    assert lines[-1]['left_out'] == 100 - int(LINES_AT_ONCE)
    os.close(reader)
    os.close(descriptor)
