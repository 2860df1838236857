"""Entries of the nodes that one node knows, over all eras of the platform."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final

from mustardshunt.base import NO_REVISION, Revision
from mustardshunt.load_balancing import Member
from mustardshunt.sidecar._ports import MemberUpdate

# Time after the first update of a new era for which the known entry of a node
# is used if the platform's copy has one of another process. The node writes its
# entry again within the longest pause and time-out of a slow store.
ENTRY_HOLD_SECONDS: Final = 5.0
# Most ended processes that are remembered.
MAX_ENDED_PROCESSES: Final = 1024


class MemberTable:
    """Merges entries that the platform and peers report.

    When the platform comes back from a copy, entries may be missing that were
    written after it, and entries may be there again that were removed or
    replaced. Missing entries are kept until they are removed or replaced in the
    new era: their nodes may live and be cut off from the platform, and the
    shares of the others must not grow meanwhile. Entries of processes that have
    ended are left out, unless they are written again.

    Parameters
    ----------
    own : Member
        Entry of this node, which is always part of the table.
    """

    def __init__(self, own: Member) -> None:
        self._own = own
        # Entries in use, the most recently changed one last. Where two have one
        # address, only the later one is a known node.
        self._entry_by_name: dict[str, Member] = {}
        # Entries that the platform lacks, and entries of the platform that are
        # of other processes than the ones in use.
        self._held_by_name: dict[str, Member] = {own.name: own}
        self._copied_by_name: dict[str, Member] = {}
        self._hold_ends_at: float | None = None
        # Revision at which the end of a process was learned.
        self._ended_at: OrderedDict[str, Revision] = OrderedDict()
        self.revision = NO_REVISION
        self.by_name: dict[str, Member] = {}

    def set_own(self, own: Member) -> None:
        """Replace the entry of this node."""
        self._own = own
        self._held_by_name[own.name] = own
        if own.name in self.by_name:
            self._use(dict(self._entry_by_name))

    def stored(self) -> tuple[Member, ...]:
        """Return the entries that the platform holds in this era."""
        return tuple(
            self._copied_by_name.get(name, member)
            for name, member in self._entry_by_name.items()
            if name not in self._held_by_name
        )

    def merge(self, update: MemberUpdate) -> bool:
        """Apply an update that is not older than the table.

        Returns
        -------
        bool
            Whether an entry has changed.
        """
        changed_by_name = self._select_running(update)
        if self.is_new_era(update):
            self._begin_era(changed_by_name)
        self.revision = max(self.revision, update.revision)
        if update.is_snapshot:
            entry_by_name = self._begin_snapshot(changed_by_name)
        else:
            entry_by_name = dict(self._entry_by_name)
        for name, member in changed_by_name.items():
            if name == self._own.name:
                self._note_own(member)
                continue
            if self._copied_by_name.get(name) == member:
                continue
            self._forget_copy(name)
            self._record_replaced(member)
            entry_by_name.pop(name, None)
            entry_by_name[name] = member
        for name in update.removed:
            self._remove(entry_by_name, name)
        return self._use(entry_by_name)

    def is_new_era(self, update: MemberUpdate) -> bool:
        """Tell whether an update is the first one of a new era."""
        return NO_REVISION.era < self.revision.era < update.revision.era

    def end_hold(self, now: float) -> bool:
        """Use the copy's entries that were not replaced; must be called often.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether an entry has changed.
        """
        copied_by_name = dict(self._copied_by_name)
        own_copied = copied_by_name.pop(self._own.name, None)
        if not copied_by_name:
            self._hold_ends_at = None
            return False
        if self._hold_ends_at is None:
            self._hold_ends_at = now + ENTRY_HOLD_SECONDS
        if now < self._hold_ends_at:
            return False
        self._copied_by_name = {}
        if own_copied is not None:
            self._copied_by_name[self._own.name] = own_copied
        # The copy's entries are older than those of the new era.
        entry_by_name = copied_by_name
        for name, member in self._entry_by_name.items():
            entry_by_name.setdefault(name, member)
        return self._use(entry_by_name)

    def _select_running(self, update: MemberUpdate) -> dict[str, Member]:
        """Return the changed entries without those of ended processes."""
        by_name: dict[str, Member] = {}
        for member in update.changed:
            ended_at = self._ended_at.get(member.incarnation)
            if ended_at is not None:
                if not self._is_written_after(update, ended_at):
                    continue
                del self._ended_at[member.incarnation]
            by_name.pop(member.name, None)
            by_name[member.name] = member
        return by_name

    def _is_written_after(
        self, update: MemberUpdate, ended_at: Revision
    ) -> bool:
        """Tell whether entries were written after an end was learned.

        A reported change was, and so was an entry in a later snapshot of the
        same era; a copy may hold older entries.
        """
        if update.is_snapshot:
            is_same_era = ended_at.era == update.revision.era
            return is_same_era and ended_at < update.revision
        return not self.is_new_era(update)

    def _begin_era(self, stored_by_name: Mapping[str, Member]) -> None:
        self._hold_ends_at = None
        self._held_by_name = {}
        self._copied_by_name = {}
        for name, member in self._entry_by_name.items():
            stored = stored_by_name.get(name)
            if stored is None:
                self._held_by_name[name] = member
            elif stored.incarnation != member.incarnation:
                self._copied_by_name[name] = stored

    def _begin_snapshot(
        self, stored_by_name: Mapping[str, Member]
    ) -> dict[str, Member]:
        """Return the entries that a snapshot does not remove.

        Peers leave out entries of processes that they know have ended, so that
        one of the copy may be in a later snapshot of the era, or in an earlier
        one only.
        """
        for name, held in list(self._held_by_name.items()):
            stored = stored_by_name.get(name)
            if stored is not None and stored.incarnation != held.incarnation:
                del self._held_by_name[name]
                self._copied_by_name[name] = stored
        for name in list(self._copied_by_name):
            if name not in stored_by_name:
                del self._copied_by_name[name]
                self._held_by_name[name] = self._entry_by_name[name]
        return {
            name: member
            for name, member in self._entry_by_name.items()
            if name in self._held_by_name or name in self._copied_by_name
        }

    def _note_own(self, stored: Member) -> None:
        # Peers must not take the own entry for one that the platform holds
        # before it has been written.
        self._forget_copy(stored.name)
        if stored != self._own:
            self._copied_by_name[stored.name] = stored

    def _remove(self, entry_by_name: dict[str, Member], name: str) -> None:
        self._forget_copy(name)
        removed = entry_by_name.pop(name, None)
        if name == self._own.name:
            self._held_by_name[name] = self._own
        elif removed is not None:
            self._record_end(removed)

    def _use(self, entry_by_name: dict[str, Member]) -> bool:
        """Replace the entries in use; tell if the known nodes changed."""
        entry_by_name.pop(self._own.name, None)
        entry_by_name[self._own.name] = self._own
        self._entry_by_name = entry_by_name
        name_by_address = {
            member.address: name for name, member in entry_by_name.items()
        }
        by_name = {
            name: member
            for name, member in entry_by_name.items()
            if name_by_address[member.address] == name
        }
        has_changed = by_name != self.by_name
        self.by_name = by_name
        return has_changed

    def _forget_copy(self, name: str) -> None:
        self._held_by_name.pop(name, None)
        self._copied_by_name.pop(name, None)

    def _record_replaced(self, member: Member) -> None:
        former = self._entry_by_name.get(member.name)
        if former is not None and former.incarnation != member.incarnation:
            self._record_end(former)

    def _record_end(self, member: Member) -> None:
        if member.incarnation == self._own.incarnation:
            return
        self._ended_at[member.incarnation] = self.revision
        if len(self._ended_at) > MAX_ENDED_PROCESSES:
            self._ended_at.popitem(last=False)
