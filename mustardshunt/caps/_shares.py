"""Shares of the caps that belong to one node.

A cap is a rate and a burst of all nodes together, such as those of the
requests of an organisation, or of the retries to a service. The cap is
divided into shares, and each share has a token bucket at one node. A node with
too few tokens requests tokens from other nodes.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.caps._caps import Cap
from mustardshunt.caps._division import CapDivision, CapPart
from mustardshunt.caps._tokens import (
    PREFETCH_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    ShareView,
    TokenRequest,
)

# A new node, or one that gets a share since others have left, uses none of its
# share for this time, so that the other nodes can reduce their shares first.
JOIN_SECONDS: Final = 1.5
# Fraction of a bucket's capacity. With fewer tokens than this, a node requests
# tokens in advance if the demand is above the rate of its share. With more
# tokens, the node requests none in advance.
LOW_LEVEL_FRACTION: Final = 0.35
# Period over which the demand (tokens per second that are needed at this
# node) is averaged.
DEMAND_WINDOW_SECONDS: Final = 1.0
# After a node has granted no tokens, no further request is sent to that node
# for this time.
EMPTY_PEER_BACKOFF_SECONDS: Final = 0.4
# Lifetime of unspent granted tokens at a node without a share of its own. The
# bucket of the granting node refills in the meantime, so that these tokens add
# to the total of the shares.
BORROWED_TOKEN_TTL_SECONDS: Final = 0.3
# Time for which no request is sent to a node that has not replied, unless its
# reply arrives late.
SILENT_PEER_BACKOFF_SECONDS: Final = 1.0


@dataclass(slots=True)
class _Bucket:
    level: float
    updated_at: float
    part: CapPart
    division: CapDivision
    demand: float = 0.0
    requested_from: str = ''
    requested_at: float = float('-inf')
    received_at: float = 0.0
    granted: float = 0.0


class CapShares:
    """Token buckets with this node's share of each cap.

    The shares of all nodes add up to the usage cap plus a part of the amount by
    which the cap may be exceeded. A granted token leaves the bucket of one node
    before it enters the bucket of another, and a bucket with a share never
    exceeds its capacity. All nodes together therefore stay within the bounds
    even when messages are lost, when nodes are cut off, paused or restarted, or
    when the platform (table service and object store) is unavailable.

    Parameters
    ----------
    starts_full : bool
        Whether buckets start full. False when an earlier process of this node
        may already have spent the tokens of the share.
    usable_from : float, default=0.0
        Seconds on this node's clock before which no token of the share is
        spent or granted. Until then, tokens of other nodes are spent.

    Examples
    --------
    >>> shares = CapShares(starts_full=True)
    >>> shares.set_nodes('a', {'a': 'z', 'b': 'z'})
    >>> shares.set_caps({'o': Cap(2.0, 8.0)}, 0.0)
    >>> [shares.spend('o', now=0.0) for _ in range(5)]
    [True, True, True, True, False]
    >>> shares.make_request('o', shares.holders('o'), waiting=1, now=0.0)
    TokenRequest(cap_name='o', node='b', wanted=2)
    """

    def __init__(
        self,
        starts_full: bool,
        usable_from: float = 0.0,
    ) -> None:
        self._starts_full = starts_full
        self._usable_from = usable_from
        self._division = CapDivision('', {'': ''})
        self._cap_by_name: Mapping[str, Cap] = {}
        self._bucket_by_name: dict[str, _Bucket] = {}
        self._backoff_until: dict[tuple[str, str], float] = {}

    def allow_spending(self) -> None:
        """End the join delay of this node.

        Called when the other nodes already count the share of this node, so
        that their shares are small enough.
        """
        self._usable_from = 0.0

    def set_nodes(
        self, own: str, data_centre_by_name: Mapping[str, str]
    ) -> None:
        """Set the nodes over which the usage caps are divided.

        Parameters
        ----------
        own : str
            Name of this node.
        data_centre_by_name : mapping of str to str
            Data centres of all nodes, including this one.
        """
        self._division = CapDivision(own, data_centre_by_name)

    def holders(self, cap_name: str) -> Collection[str]:
        """Return the nodes to request tokens from, the preferred ones first."""
        bucket = self._find_bucket(cap_name)
        return () if bucket is None else bucket.part.holder_names

    def set_caps(
        self,
        cap_by_name: Mapping[str, Cap],
        now: float,
    ) -> None:
        """Apply the usage caps of a new policy.

        The tokens in a bucket stay, up to the new capacity. No tokens are added
        to existing buckets.

        Parameters
        ----------
        cap_by_name : mapping of str to Cap
            Caps by name. A name without a cap has no limit.
        now : float
            Seconds on this node's clock.
        """
        self._cap_by_name = cap_by_name
        for name, cap in cap_by_name.items():
            part = self._division.part_of(name, cap.burst)
            known = self._bucket_by_name.get(name)
            if known is None:
                capacity = cap.burst * part.fraction
                level = capacity if self._starts_full else 0.0
                self._bucket_by_name[name] = _Bucket(
                    level, now, part, self._division
                )
                continue
            self._set_part(cap, known, part, now)
        # The bucket of a cap that is added while this node runs
        # starts full. The bucket of a removed cap is kept, so that the
        # cap gives no new burst when a later policy lists it again.
        self._starts_full = True

    def spend(self, cap_name: str, now: float) -> bool:
        """Count one request and spend a token; return False if there is none.

        A name without a cap needs no token, and the result is True.
        """
        bucket = self._find_bucket(cap_name)
        if bucket is None:
            return True
        self._refill(cap_name, bucket, now)
        bucket.demand += 1.0 / DEMAND_WINDOW_SECONDS
        if bucket.granted >= 1:
            bucket.granted -= 1.0
            return True
        if self._is_joining(bucket, now) or bucket.level < 1:
            return False
        bucket.level -= 1.0
        return True

    def refund(self, cap_name: str, now: float) -> str | None:
        """Put the token of a request that did not run back into a bucket.

        Returns
        -------
        str or None
            Node to which the token is to be sent, since this node has no share
            that could keep it. None if this node keeps the token.
        """
        bucket = self._find_bucket(cap_name)
        if bucket is None:
            return None
        self._refill(cap_name, bucket, now)
        if not bucket.part.fraction and bucket.part.holder_names:
            return bucket.part.holder_names[0]
        self._add_tokens(cap_name, bucket, 1)
        return None

    def is_low(self, cap_name: str, now: float) -> bool:
        """Tell whether tokens should be requested before the bucket is empty.

        The result is True when the bucket is low, the demand is above the rate
        of this node's share, and no token request is open.
        """
        bucket = self._find_bucket(cap_name)
        if bucket is None:
            return False
        cap = self._cap_by_name[cap_name]
        if bucket.level >= LOW_LEVEL_FRACTION * self._capacity(cap, bucket):
            return False
        is_short = bucket.demand > self._rate(cap, bucket)
        return is_short and _may_request(bucket, now)

    def make_request(
        self,
        cap_name: str,
        nodes: Collection[str],
        waiting: int,
        now: float,
    ) -> TokenRequest | None:
        """Record and return a token request to the first suitable node.

        A node that has granted nothing within ``EMPTY_PEER_BACKOFF_SECONDS``,
        or has not replied within ``SILENT_PEER_BACKOFF_SECONDS``, is skipped.

        Parameters
        ----------
        cap_name : str
            Name of the cap of the tokens.
        nodes : collection of str
            Names of the reachable nodes, in order of preference.
        waiting : int
            Number of requests that wait for a token.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        TokenRequest or None
            None when the name has no cap, when another token request
            of the cap is open, or when every node is skipped.
        """
        bucket = self._find_bucket(cap_name)
        if bucket is None or not _may_request(bucket, now):
            return None
        if bucket.requested_from:
            self._backoff_until[cap_name, bucket.requested_from] = (
                now + SILENT_PEER_BACKOFF_SECONDS
            )
            bucket.requested_from = ''
        for node in nodes:
            if self._backoff_until.get((cap_name, node), 0.0) > now:
                continue
            bucket.requested_at = now
            bucket.requested_from = node
            wanted = max(1, waiting)
            if bucket.part.fraction:
                wanted = max(wanted, round(PREFETCH_SECONDS * bucket.demand))
            return TokenRequest(cap_name, node, wanted)
        return None

    def has_open_request(self, cap_name: str, now: float) -> bool:
        """Tell whether a token request was sent and has no reply yet.

        A request without a reply counts as lost after
        ``REQUEST_TIMEOUT_SECONDS``.
        """
        bucket = self._find_bucket(cap_name)
        return bucket is not None and not _may_request(bucket, now)

    def grant(
        self, cap_name: str, requester: str, wanted: int, now: float
    ) -> int:
        """Take tokens out of this node's bucket for another node.

        From a node that also has a share, this node keeps the tokens that it
        needs itself within ``PREFETCH_SECONDS``, and grants at most half of the
        others, rounded up.

        Parameters
        ----------
        cap_name : str
            Name of the cap of the tokens.
        requester : str
            Name of the other node.
        wanted : int
            Number of tokens that the other node requests.
        now : float
            Seconds on this node's clock.

        Returns
        -------
        int
            Number of tokens granted, 0 to ``wanted``.
        """
        bucket = self._find_bucket(cap_name)
        if bucket is None or now < self._usable_from:
            return 0
        self._refill(cap_name, bucket, now)
        if not bucket.part.fraction:
            return 0
        if requester in bucket.part.holder_names:
            reserve = PREFETCH_SECONDS * bucket.demand
            spare = int(max(0.0, bucket.level - reserve))
            granted = min(wanted, (spare + 1) // 2)
        else:
            bucket.demand += wanted / DEMAND_WINDOW_SECONDS
            granted = min(wanted, int(bucket.level))
        granted = max(0, granted)
        bucket.level -= granted
        return granted

    def take_back(self, cap_name: str, amount: int, now: float) -> None:
        """Add tokens that another node returns, up to the capacity."""
        bucket = self._find_bucket(cap_name)
        if bucket is None:
            return
        self._refill(cap_name, bucket, now)
        if bucket.part.fraction:
            self._add_tokens(cap_name, bucket, max(0, amount))

    def receive(
        self,
        cap_name: str,
        node: str,
        amount: int,
        now: float,
    ) -> None:
        """Add tokens that another node has granted, and close the request.

        Parameters
        ----------
        cap_name : str
            Name of the cap of the tokens.
        node : str
            Name of the node that replied to the token request.
        amount : int
            Number of tokens. After a grant of 0, no requests go to the node
            for ``EMPTY_PEER_BACKOFF_SECONDS``.
        now : float
            Seconds on this node's clock.
        """
        bucket = self._find_bucket(cap_name)
        if bucket is None:
            return
        bucket.requested_at = float('-inf')
        bucket.requested_from = ''
        if amount <= 0:
            self._backoff_until[cap_name, node] = (
                now + EMPTY_PEER_BACKOFF_SECONDS
            )
            return
        self._refill(cap_name, bucket, now)
        bucket.received_at = now
        self._backoff_until.pop((cap_name, node), None)
        if self._is_joining(bucket, now):
            # Granted tokens are spent while the own share cannot be used.
            bucket.granted += amount
        else:
            self._add_tokens(cap_name, bucket, amount)

    def snapshot(self, cap_name: str) -> ShareView:
        """Return the current state of this node's share of a usage cap."""
        bucket = self._find_bucket(cap_name)
        if bucket is None:
            return ShareView(1.0, 1.0, 1.0, 1)
        cap = self._cap_by_name[cap_name]
        is_holder = bucket.part.fraction > 0
        return ShareView(
            bucket.level,
            self._capacity(cap, bucket),
            self._rate(cap, bucket),
            len(bucket.part.holder_names) + is_holder,
        )

    def _find_bucket(self, cap_name: str) -> _Bucket | None:
        if cap_name not in self._cap_by_name:
            return None
        return self._bucket_by_name[cap_name]

    def _is_joining(self, bucket: _Bucket, now: float) -> bool:
        return bucket.part.fraction > 0 and now < self._usable_from

    def _add_tokens(self, cap_name: str, bucket: _Bucket, amount: int) -> None:
        capacity = self._capacity(self._cap_by_name[cap_name], bucket)
        if not capacity:
            # A node without a share has a capacity of 0 and still stores
            # granted tokens. Such a node requests tokens only for waiting
            # calls.
            bucket.level += amount
            return
        bucket.level = min(capacity, bucket.level + amount)

    def _refill(self, cap_name: str, bucket: _Bucket, now: float) -> None:
        cap = self._cap_by_name[cap_name]
        if bucket.division is not self._division:
            part = self._division.part_of(cap_name, cap.burst)
            self._set_part(cap, bucket, part, now)
        elapsed = max(0.0, now - bucket.updated_at)
        if not elapsed:
            return
        bucket.updated_at = now
        bucket.demand *= max(0.0, 1.0 - elapsed / DEMAND_WINDOW_SECONDS)
        capacity = self._capacity(cap, bucket)
        if (
            not capacity
            and now - bucket.received_at > BORROWED_TOKEN_TTL_SECONDS
        ):
            bucket.level = 0.0
        if bucket.level < capacity:
            earned = elapsed * self._rate(cap, bucket)
            bucket.level = min(capacity, bucket.level + earned)

    def _set_part(
        self,
        cap: Cap,
        bucket: _Bucket,
        part: CapPart,
        now: float,
    ) -> None:
        """Set this node's part of a cap; a new share starts without tokens."""
        if part.fraction and not bucket.part.fraction:
            bucket.level = 0.0
            bucket.updated_at = now + JOIN_SECONDS
        bucket.part = part
        bucket.division = self._division
        bucket.level = min(bucket.level, self._capacity(cap, bucket))

    def _capacity(self, cap: Cap, bucket: _Bucket) -> float:
        return cap.burst * bucket.part.fraction

    def _rate(self, cap: Cap, bucket: _Bucket) -> float:
        return cap.rate * bucket.part.fraction


def _may_request(bucket: _Bucket, now: float) -> bool:
    return now - bucket.requested_at >= REQUEST_TIMEOUT_SECONDS
