"""Metrics and logs of a node."""

from mustardshunt.observability._event_log import EventLog, make_event_log
from mustardshunt.observability._logs import set_up_logs
from mustardshunt.observability._metrics import NodeMetrics

__all__ = [
    'EventLog',
    'NodeMetrics',
    'make_event_log',
    'set_up_logs',
]
