"""Adapts cutoffs to the retries that call chains need, and reports changes."""

from mustardshunt.load_balancing import RetryLimit
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._dependencies import Dependencies
from mustardshunt.sidecar._metrics import SidecarMetrics


class ChainAdmission:
    """Cutoffs of this node for want of retries to the services it calls.

    Parameters
    ----------
    dependencies : Dependencies
        Has a cutoff for each service that rejects calls.
    retry_limit : RetryLimit
        Retries of this node to each service.
    log : EventLog
        Log of changed cutoffs.
    metrics : SidecarMetrics
        Shows cutoffs and the retries that are left.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        retry_limit: RetryLimit,
        log: EventLog,
        metrics: SidecarMetrics,
    ) -> None:
        self._dependencies = dependencies
        self._retry_limit = retry_limit
        self._log = log
        self._metrics = metrics

    def adjust(self, rank_count: float, now: float) -> None:
        """Adapt the cutoffs; called every 0.1 s.

        Parameters
        ----------
        rank_count : float
            Number of priority ranks.
        now : float
            Time in seconds.
        """
        change_by_service = self._dependencies.adjust_chain_cutoffs(
            rank_count, self._retry_limit.rate, now
        )
        for service, change in change_by_service.items():
            is_lowered = change.cutoff < rank_count
            self._log.record(
                'chain-cutoff-lowered' if is_lowered else 'chain-cutoff-ended',
                now,
                service=service,
                level=round(change.cutoff, 2),
                calls=change.ended,
                failed=change.failed,
                rejected=change.rejected,
                retries_left=round(self._retry_limit.available(service, now)),
            )

    def record_run(self, is_repeat: bool, now: float) -> None:
        """Count a run of the backend server; its child calls may repeat."""
        self._retry_limit.record_run(is_repeat, now)

    def lacks_retries(
        self, priority_rank: int, running: int, now: float
    ) -> bool:
        """Tell whether too few retries are left for another run.

        Parameters
        ----------
        priority_rank : int
            Priority rank of the run.
        running : int
            Runs that have begun.
        now : float
            Time in seconds.
        """
        return self._dependencies.lacks_retries(
            priority_rank,
            running,
            lambda service: self._retry_limit.available(service, now),
        )

    def refresh_gauges(self, rank_count: float, now: float) -> None:
        """Set the gauges of retries and cutoffs.

        Parameters
        ----------
        rank_count : float
            Number of priority ranks.
        now : float
            Time in seconds.
        """
        for service in self._retry_limit.services():
            self._metrics.retry_tokens.labels(service).set(
                self._retry_limit.available(service, now)
            )
        for service in self._dependencies.services_with_chain_cutoffs():
            self._metrics.chain_cutoff.labels(service).set(
                min(rank_count, self._dependencies.chain_cutoff(service))
            )
