"""Metrics, logs and the HTTP server for metrics and health checks."""

from mustardshunt.observability._event_log import EventLog, make_event_log
from mustardshunt.observability._logs import set_up_logs
from mustardshunt.observability._metrics import NodeMetrics
from mustardshunt.observability._server import MetricsServer, NodeState

__all__ = [
    'EventLog',
    'MetricsServer',
    'NodeMetrics',
    'NodeState',
    'make_event_log',
    'set_up_logs',
]
