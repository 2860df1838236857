"""Data centres that operators have taken out of service, over all eras."""

from collections.abc import Iterable, Mapping
from typing import Final

from mustardshunt.base import NO_REVISION, Revision

# Time after the first update of a new era for which an evacuation that the
# platform's copy lacks stays in force. Operators write again within about two
# seconds of the platform's return what it has lost.
EVACUATION_HOLD_SECONDS: Final = 2.0


class Evacuations:
    """Evacuated data centres of one node.

    When the platform comes back from a copy, an evacuation may be missing since
    the copy is older, or be there again although it has ended. Neither is an
    order of an operator. Until operators have had time to write again, such
    evacuations stay as they were.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> evacuations.evacuate('x', Revision(0, 7))
    True
    >>> evacuations.apply_snapshot(Revision(1, 5), [('y', Revision(1, 5))])
    >>> sorted(evacuations.since)
    ['x', 'y']
    >>> evacuations.end_hold(now=1.0), evacuations.end_hold(now=3.0)
    (False, True)
    >>> sorted(evacuations.since)
    ['y']
    """

    def __init__(self) -> None:
        self._since: dict[str, Revision] = {}
        self._returned_since: dict[str, Revision] = {}
        # Evacuations of the copy that have ended in the former era.
        self._doubtful: dict[str, Revision] = {}
        self._revision = NO_REVISION
        self._is_holding = False
        self._hold_ends_at: float | None = None

    @property
    def since(self) -> Mapping[str, Revision]:
        """Revision of the evacuation of each data centre out of service."""
        return self._since

    def stored(self) -> dict[str, Revision]:
        """Return the evacuations that the platform holds in this era."""
        stored = {
            name: revision
            for name, revision in self._since.items()
            if revision.era == self._revision.era
        }
        return {**self._doubtful, **stored}

    def evacuate(self, name: str, revision: Revision) -> bool:
        """Take a data centre out of service; tell if it was in service.

        Parameters
        ----------
        name : str
            Name of the data centre.
        revision : Revision
            Revision of the evacuation. It is ignored if the data centre has
            returned since, or if it is of an era before the last snapshot.
        """
        if revision.era < self._revision.era:
            return False
        self._revision = max(self._revision, revision)
        if revision <= self._returned_since.get(name, NO_REVISION):
            return False
        known = self._since.get(name)
        if known is not None and revision <= known:
            return False
        self._since[name] = revision
        return known is None

    def restore(self, name: str, revision: Revision) -> bool:
        """Return a data centre to service; tell if it was out of service.

        Parameters
        ----------
        name : str
            Name of the data centre.
        revision : Revision
            Revision of the return. A newer evacuation stays in force.
        """
        if revision <= self._returned_since.get(name, NO_REVISION):
            return False
        self._returned_since[name] = revision
        if self._doubtful.get(name, revision) <= revision:
            self._doubtful.pop(name, None)
        evacuated_at = self._since.get(name)
        if evacuated_at is None or evacuated_at > revision:
            return False
        del self._since[name]
        return True

    def apply_snapshot(
        self, revision: Revision, entries: Iterable[tuple[str, Revision]]
    ) -> None:
        """Apply all evacuations that the platform holds.

        Parameters
        ----------
        revision : Revision
            Revision of the snapshot; a snapshot that is older than the last one
            must not be applied.
        entries : iterable of (str, Revision)
            Evacuated data centres.
        """
        if NO_REVISION.era < self._revision.era < revision.era:
            self._is_holding = True
            self._hold_ends_at = None
            self._doubtful.clear()
        self._revision = revision
        stored = {
            name: evacuated_at
            for name, evacuated_at in entries
            if evacuated_at.era == revision.era
        }
        for name, evacuated_at in stored.items():
            if self._is_doubtful(name, evacuated_at):
                self._doubtful[name] = evacuated_at
            else:
                self.evacuate(name, evacuated_at)
        for name in self._since.keys() - stored.keys():
            is_held = self._since[name].era < revision.era
            if not (self._is_holding and is_held):
                self.restore(name, revision)

    def end_hold(self, now: float) -> bool:
        """Apply what the copy says once operators have had time to write.

        Must be called regularly.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the evacuated data centres have changed.
        """
        if not self._is_holding:
            return False
        if self._hold_ends_at is None:
            self._hold_ends_at = now + EVACUATION_HOLD_SECONDS
        if now < self._hold_ends_at:
            return False
        self._is_holding = False
        before = set(self._since)
        for name, evacuated_at in list(self._since.items()):
            if evacuated_at.era < self._revision.era:
                self.restore(name, self._revision)
        for name, evacuated_at in self._doubtful.items():
            self.evacuate(name, evacuated_at)
        self._doubtful.clear()
        return set(self._since) != before

    def _is_doubtful(self, name: str, evacuated_at: Revision) -> bool:
        if not self._is_holding:
            return False
        returned = self._returned_since.get(name, NO_REVISION)
        is_former = returned.era < evacuated_at.era
        return is_former and evacuated_at.number <= returned.number
