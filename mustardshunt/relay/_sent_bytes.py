"""Progress of the answers that one caller reads."""

from mustardshunt.connections import Stage, Transfer


class SentBytes:
    """Tells how many bytes a caller has read since it last had read all.

    Examples
    --------
    >>> sent = SentBytes()
    >>> sent.written_bytes += 100
    >>> transfer = sent.check(now=2.0, unsent_bytes=60)
    >>> transfer.moved_bytes, transfer.progressed_at
    (40, 2.0)
    """

    __slots__ = (
        '_progressed_at',
        '_sent_before',
        '_sent_bytes',
        '_since',
        'written_bytes',
    )

    def __init__(self) -> None:
        # Bytes that were written to the transport since it opened.
        self.written_bytes = 0
        # Bytes that the transport had sent when it last was empty, and at the
        # last check.
        self._sent_before = 0
        self._sent_bytes = 0
        self._since = 0.0
        self._progressed_at = 0.0

    def check(
        self, now: float, unsent_bytes: int, waiting_bytes: int = 0
    ) -> Transfer | None:
        """Return the answers that are being read, None without any.

        Parameters
        ----------
        now : float
            Time in seconds.
        unsent_bytes : int
            Written bytes that the transport still keeps.
        waiting_bytes : int, default=0
            Bytes of responses that are not written yet.
        """
        sent_bytes = self.written_bytes - unsent_bytes
        if not unsent_bytes:
            self._sent_before = sent_bytes
            self._since = now
        if not unsent_bytes or sent_bytes != self._sent_bytes:
            self._sent_bytes = sent_bytes
            self._progressed_at = now
        if not unsent_bytes:
            return None
        return Transfer(
            Stage.ANSWER,
            self._since,
            self._progressed_at,
            sent_bytes - self._sent_before,
            unsent_bytes + waiting_bytes,
        )
