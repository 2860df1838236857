"""Choice of the cost rule of a node, and report of its decisions."""

from mustardshunt.base import RandomSource
from mustardshunt.load_balancing import CostRule, PaceRule, UtilisationRule
from mustardshunt.observability import EventLog
from mustardshunt.sidecar._metrics import SidecarMetrics
from mustardshunt.sidecar._settings import SidecarSettings


def make_cost_rule(settings: SidecarSettings, random: RandomSource) -> CostRule:
    """Make the cost rule that the settings ask for."""
    if settings.overload.pace_placement:
        return PaceRule(settings.node.data_centre, random)
    return UtilisationRule(settings.node.data_centre, random)


class PlacementReport:
    """Reports to which data centres calls begin or cease to go.

    Parameters
    ----------
    rule : CostRule
        Cost rule of the node.
    log : EventLog
        Log of the changes.
    metrics : SidecarMetrics
        Shows the data centres to which calls go.
    """

    def __init__(
        self, rule: CostRule, log: EventLog, metrics: SidecarMetrics
    ) -> None:
        self.rule = rule
        self._data_centres = (
            rule.data_centres if isinstance(rule, PaceRule) else None
        )
        self._log = log
        self._metrics = metrics

    def check(self, now: float) -> None:
        """Report the changes since the last check."""
        if self._data_centres is None:
            return
        for change in self._data_centres.take_changes():
            self._metrics.open_data_centres.labels(
                change.service, change.data_centre
            ).set(change.is_open)
            self._log.record(
                'data-centre-opened'
                if change.is_open
                else 'data-centre-closed',
                now,
                service=change.service,
                data_centre=change.data_centre,
                difference=round(change.difference, 2),
            )
