"""Background task that keeps verdicts at the platform."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

from mustardshunt.base import Clock, RandomSource
from mustardshunt.quarantine import Fingerprint, Verdict
from mustardshunt.sidecar._platform_access import Backoff, PlatformAvailability
from mustardshunt.sidecar._ports import (
    PlatformError,
    VerdictDirectory,
    VerdictRecord,
)

# Most records that wait to be written or removed. Verdicts are rare; while the
# platform is away, the oldest ones give way.
MAX_WAITING: Final = 128


class VerdictRecords:
    """Keeps this node's verdicts, and reads those of processes that ended.

    Nodes tell each other their verdicts, which is enough while one of them
    runs. When all are killed, the records are what is left.

    Parameters
    ----------
    directory : VerdictDirectory
        Keeps the records.
    on_verdict : callable
        Called with each verdict that was read.
    is_following : callable
        Tells whether this node follows the platform for its data centre; then
        it removes records that have ended.
    availability : PlatformAvailability
        Records answered and failed requests.
    random : RandomSource
        Source of the jitter in pauses.
    clock : Clock
        Source of the monotonic time.
    time_of_day : callable
        Returns the seconds since the epoch.
    """

    def __init__(
        self,
        directory: VerdictDirectory,
        on_verdict: Callable[[Verdict], object],
        is_following: Callable[[], bool],
        availability: PlatformAvailability,
        random: RandomSource,
        clock: Clock,
        time_of_day: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._on_verdict = on_verdict
        self._is_following = is_following
        self._availability = availability
        self._backoff = Backoff(random)
        self._clock = clock
        self._time_of_day = time_of_day
        # Records to write; None stands for a record to remove.
        self._waiting: OrderedDict[str, VerdictRecord | None] = OrderedDict()
        self._added = asyncio.Event()
        self._written: set[str] = set()

    def keep(self, verdict: Verdict) -> None:
        """Keep a verdict that this node has reached by its own evidence."""
        seconds_left = verdict.until - self._clock.now()
        self._written.add(verdict.fingerprint)
        self._add(
            verdict.fingerprint,
            VerdictRecord(
                verdict.fingerprint,
                verdict.level,
                round(self._time_of_day() + seconds_left, 3),
                verdict.crashes,
            ),
        )

    def drop(self, fingerprint: str) -> None:
        """Remove the record of a quarantine that has ended.

        The node that has written it does so, and those that follow, since the
        former may have ended.
        """
        if fingerprint in self._written or self._is_following():
            self._written.discard(fingerprint)
            self._add(fingerprint, None)

    def load(self, records: Iterable[VerdictRecord]) -> None:
        """Apply records that were read from the platform."""
        for record in records:
            seconds_left = record.ends_at - self._time_of_day()
            if seconds_left <= 0:
                self.drop(record.fingerprint)
                continue
            self._on_verdict(
                Verdict(
                    Fingerprint(record.fingerprint),
                    record.level,
                    self._clock.now() + seconds_left,
                    record.crashes,
                )
            )

    async def run(self) -> None:
        """Write and remove records, until cancelled."""
        while True:
            if not self._waiting:
                self._added.clear()
                await self._added.wait()
            fingerprint, record = next(iter(self._waiting.items()))
            try:
                await self._store(fingerprint, record)
            except PlatformError as error:
                self._availability.record_failure(error)
                # A record that the platform refuses must not block the others.
                if fingerprint in self._waiting:
                    self._waiting.move_to_end(fingerprint)
                await self._backoff.wait()
                continue
            self._availability.record_success()
            self._backoff.reset()
            if self._waiting.get(fingerprint) is record:
                del self._waiting[fingerprint]

    async def _store(
        self, fingerprint: str, record: VerdictRecord | None
    ) -> None:
        if record is None:
            await self._directory.remove(fingerprint)
        else:
            await self._directory.write(record)

    def _add(self, fingerprint: str, record: VerdictRecord | None) -> None:
        self._waiting[fingerprint] = record
        self._waiting.move_to_end(fingerprint)
        if len(self._waiting) > MAX_WAITING:
            self._waiting.popitem(last=False)
        self._added.set()
