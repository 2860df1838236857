"""Which members of a service an entry node may use."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.rollouts._orders import RolloutPhase, RolloutStage
from mustardshunt.rollouts._share import VersionShare

# Start of an upstream that has not said when it started.
_UNKNOWN_START: Final = 2**63


@dataclass(frozen=True, slots=True)
class MemberVersion:
    """Version of the upstream beside a member.

    Parameters
    ----------
    version : str
        Version that the upstream states, empty if it states none.
    started_at : int or None
        Start of its process in milliseconds, None if unknown.
    """

    version: str
    started_at: int | None


class ServiceVersions:
    """Members of one service by version, and those that may take calls.

    Without an order, the version whose first upstream has started earliest is
    the one in use, and upstreams of other versions get nothing. A node that has
    just started may know an upstream of the newest version only, so that all of
    them wait until ``confirm``. An order allows its target as far as the
    current stage says, and its end allows one version.

    Parameters
    ----------
    share : VersionShare
        Share of the requests that may go to the target.
    """

    def __init__(self, share: VersionShare) -> None:
        self.share = share
        self.stage: RolloutStage | None = None
        self._valid_until = 0.0
        self._is_valid = False
        self._is_confirmed = False
        self._version_by_name: dict[str, MemberVersion] = {}
        self.barred: frozenset[str] = frozenset()
        self.targets: frozenset[str] = frozenset()
        self.others: frozenset[str] = frozenset()

    @property
    def has_stage(self) -> bool:
        """Whether a stage is current in which the target takes a share."""
        return self._is_valid

    @property
    def is_confirmed(self) -> bool:
        """Whether the version in use is known."""
        return self._is_confirmed or self.stage is not None

    def knows(self, name: str) -> bool:
        """Tell whether the version of a member is known."""
        return name in self._version_by_name

    def confirm(self) -> None:
        """Use the known versions: no others are expected soon."""
        self._is_confirmed = True
        self._update()

    def set_names(self, names: Collection[str]) -> None:
        """Forget members that are not named."""
        for name in list(self._version_by_name):
            if name not in names:
                del self._version_by_name[name]
        self._update()

    def record(self, name: str, version: MemberVersion) -> bool:
        """Record the version of a member; tell if what is allowed changed."""
        if self._version_by_name.get(name) == version:
            return False
        self._version_by_name[name] = version
        return self._update()

    def apply(self, stage: RolloutStage, valid_until: float) -> bool:
        """Use a stage or the end of a rollout; tell if it is news.

        A stage that was not renewed gives way to any other one of the rollout:
        its decider may have been of a later term than the one that is left
        after a partition.

        Parameters
        ----------
        stage : RolloutStage
            The stage.
        valid_until : float
            Time in seconds until which it may be used.
        """
        if not stage.replaces(self.stage) and not self._is_expired(stage):
            return False
        self.stage = stage
        self._valid_until = valid_until
        self._is_valid = not stage.phase.is_final
        self._update()
        return True

    def expire(self, now: float) -> bool:
        """End a stage that was not renewed; tell if there was one."""
        if not self._is_valid or now < self._valid_until:
            return False
        self._is_valid = False
        self._update()
        return True

    def allows(self, name: str) -> bool:
        """Tell whether a member may take calls that no share is needed for."""
        if not self.is_confirmed:
            return True
        return name not in self.barred and name not in self.targets

    def _is_expired(self, stage: RolloutStage) -> bool:
        known = self.stage
        if known is None or known.phase.is_final or self._is_valid:
            return False
        return known.target == stage.target

    def left_out(self) -> frozenset[str]:
        """Return the members that the plan of links need not count on."""
        if not self.is_confirmed:
            return frozenset()
        return self.barred | self.targets

    def _update(self) -> bool:
        former = (self.barred, self.targets)
        names = frozenset(self._version_by_name)
        allowed = self._allowed_names()
        self.targets = self._target_names() - allowed
        self.barred = names - allowed - self.targets
        self.others = names - self.targets
        return former != (self.barred, self.targets)

    def _allowed_names(self) -> frozenset[str]:
        if not self.is_confirmed:
            return frozenset()
        allowed = self._allowed_version()
        return frozenset(
            name
            for name, member in self._version_by_name.items()
            if allowed is None or member.version == allowed
        )

    def _target_names(self) -> frozenset[str]:
        """Return the members that take the share of the current stage."""
        stage = self.stage
        if stage is None or not self._is_valid or not stage.share:
            return frozenset()
        return frozenset(
            name
            for name, member in self._version_by_name.items()
            if member.version == stage.target and name in stage.members
        )

    def _allowed_version(self) -> str | None:
        """Return the version that takes calls, None if all versions do."""
        stage = self.stage
        if stage is None:
            return self._oldest()
        if stage.phase is RolloutPhase.COMPLETED:
            return stage.target
        if stage.phase is RolloutPhase.ALL and self._is_valid:
            return stage.target
        if stage.former is not None:
            return stage.former
        return self._oldest(stage.target)

    def _oldest(self, excluded: str | None = None) -> str | None:
        first_by_version: dict[str, int] = {}
        for member in self._version_by_name.values():
            version = member.version
            if version == excluded:
                continue
            start = member.started_at
            if start is None:
                start = _UNKNOWN_START
            first_by_version[version] = min(
                start, first_by_version.get(version, start)
            )
        if not first_by_version:
            return None if excluded is None else ''
        return min(
            first_by_version,
            key=lambda version: (first_by_version[version], version),
        )


def barred_names(services: Iterable[ServiceVersions]) -> frozenset[str]:
    """Return the names of all members that may take no calls."""
    names: set[str] = set()
    for service in services:
        names.update(service.barred)
    return frozenset(names)


def planned_names(
    services: Mapping[str, ServiceVersions], position: float, most: int
) -> frozenset[str]:
    """Return the members of targets to which a node keeps links.

    These are the members that take the share, and from the ramp on as many of
    the others as a node uses when all traffic is moved.

    Parameters
    ----------
    services : dict of str to ServiceVersions
        Versions by service.
    position : float
        Position of the node among all nodes, from 0 up to 1.
    most : int
        Members of a service that a node uses.
    """
    names: set[str] = set()
    for service in services.values():
        stage = service.stage
        if stage is None or not service.has_stage:
            continue
        names.update(stage.members)
        if stage.phase is RolloutPhase.CANARY:
            continue
        start = int(position * len(stage.targets))
        ring = stage.targets[start:] + stage.targets[:start]
        names.update(ring[:most])
    return frozenset(names)
