"""Background task that looks for changes of which no report has arrived."""

import asyncio
from collections.abc import Callable
from typing import Final

from mustardshunt.membership import CheckTurns
from mustardshunt.sidecar._deployment_relay import DeploymentRelay
from mustardshunt.sidecar._link_manager import LinkManager
from mustardshunt.sidecar._platform_access import PlatformAvailability
from mustardshunt.sidecar._ports import PlatformError
from mustardshunt.sidecar._sync import MemberSync, OperatorSync

# Longest sleep. The turns change when nodes join or leave.
MAX_SLEEP_SECONDS: Final = 2.0
# Delay of a check after the start of its turn. Timers may end slightly early,
# and the node would otherwise take the same turn twice.
TURN_DELAY_SECONDS: Final = 0.02


class ChangeCheck:
    """Checks the platform when it is this node's turn.

    A follower also takes the turns of data centres that it does not hear.

    An open request for changes is silent while nothing changes, and just as
    silent when its answer is lost. The check is a short request on another
    connection, by another node each time. What it finds is passed on over
    links, like any change that a peer knows.

    Parameters
    ----------
    name : str
        Name of this node.
    turns : CheckTurns
        Decides when it is this node's turn.
    operators : OperatorSync
        Applies changes of operators.
    members : MemberSync
        Applies changes of the members.
    relay : DeploymentRelay
        Tells other nodes what this node knows.
    links : LinkManager
        Links to the other nodes.
    availability : PlatformAvailability
        Records answered and failed checks.
    time_of_day : callable
        Returns the seconds since the epoch.
    """

    def __init__(
        self,
        name: str,
        turns: CheckTurns,
        operators: OperatorSync,
        members: MemberSync,
        relay: DeploymentRelay,
        links: LinkManager,
        availability: PlatformAvailability,
        time_of_day: Callable[[], float],
    ) -> None:
        self._name = name
        self._turns = turns
        self._operators = operators
        self._members = members
        self._relay = relay
        self._links = links
        self._availability = availability
        self._time_of_day = time_of_day

    async def run(self) -> None:
        """Check the platform in each turn of this node, until cancelled."""
        while True:
            seconds = self._seconds_until_turn()
            if seconds > MAX_SLEEP_SECONDS or not self._members.has_read:
                await asyncio.sleep(min(seconds, MAX_SLEEP_SECONDS / 2))
                continue
            await asyncio.sleep(seconds + TURN_DELAY_SECONDS)
            if self._is_due():
                await self._check()

    def _seconds_until_turn(self) -> float:
        if self._relay.is_following:
            return self._turns.seconds_until_next(self._time_of_day())
        return self._turns.seconds_until_turn(self._time_of_day())

    def _is_due(self) -> bool:
        owner = self._turns.owner(self._time_of_day())
        if owner == self._name:
            return True
        if not self._relay.is_following:
            return False
        return not self._relay.data_centres.hears(owner)

    async def _check(self) -> None:
        known_changes = self._relay.changes()
        try:
            revision = await self._operators.check()
            if revision > max(known_changes):
                # A change of the members, or one of operators on whose
                # connection one of the members may have been lost too.
                await self._members.check_platform()
        except PlatformError as error:
            self._availability.record_failure(error)
            self._operators.doubt_feed()
            return
        self._availability.record_success()
        if self._relay.changes() != known_changes:
            self._announce()

    def _announce(self) -> None:
        # The nodes that open links to this node hear of changes with its
        # status. These are the nodes to which this node has opened links.
        for link in self._links.open_links():
            link.send(self._relay.ping(link.member.name))
