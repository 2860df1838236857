"""Compares rules that quarantine requests which crash backend servers."""

import sys

from mustardshunt.measure._crash_rules import make_crash_rules
from mustardshunt.measure._crash_session import (
    SCENARIOS,
    SERVER_COUNT,
    CrashScenario,
    CrashSession,
)

_SEEDS = 3


def describe(scenario: CrashScenario, rule_name: str) -> str:
    """Simulate a scenario with several seeds and return a table line."""
    sessions = []
    for seed in range(_SEEDS):
        rule = make_crash_rules(SERVER_COUNT)[rule_name]
        sessions.append(CrashSession(scenario, rule, seed).run())
    answered = sum(counts.answered for counts in sessions)
    refused = sum(counts.wrongly_refused for counts in sessions)
    waited = sum(counts.waited for counts in sessions)
    wait = sum(counts.wait for counts in sessions) / max(1, waited)
    offered = sum(counts.offered for counts in sessions)
    cells = (
        scenario.name,
        rule_name,
        f'{sum(counts.poison_quarantined for counts in sessions)}/{_SEEDS}',
        f'{sum(counts.crashes for counts in sessions) / _SEEDS:.1f}',
        f'{100 * answered / offered:.1f} %',
        f'{100 * refused / offered:.2f} %',
        f'{100 * waited / offered:.2f} %',
        f'{1000 * wait:.0f} ms',
    )
    return f'| {" | ".join(cells)} |'


def main() -> None:
    """Print a table line for each scenario and rule."""
    for scenario in SCENARIOS:
        for rule_name in make_crash_rules(SERVER_COUNT):
            sys.stdout.write(f'{describe(scenario, rule_name)}\n')


if __name__ == '__main__':
    main()
