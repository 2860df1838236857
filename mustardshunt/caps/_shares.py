"""The share of each organisation's rate and burst that a node holds."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Final

from mustardshunt.policy import OrganisationPolicy

# Part of the tolerated overage that is used; the rest is for nodes that have
# not heard of a new node yet and so hold too large a share.
USED_OVERAGE: Final = 0.5
USED_SLACK: Final = 0.9
# A new node spends nothing until the others have made room for its share.
JOIN_SECONDS: Final = 1.5
# Smallest share of rate and burst, in tokens, that is worth dividing further.
LEAST_DEPTH: Final = 2.0
# A node asks for what it needs in this time, and keeps as much for itself.
PREFETCH_SECONDS: Final = 0.3
# Below this part of the depth a node asks before requests have to wait.
LOW_LEVEL: Final = 0.35
# Time over which the demand of an organisation is averaged.
DEMAND_SECONDS: Final = 1.0
# A node that had nothing to give is not asked again for this long.
EMPTY_PEER_BACKOFF_SECONDS: Final = 0.4
# Tokens that a node without a share of its own has not used lapse, since they
# come on top of the shares.
BORROWED_TOKEN_TTL_SECONDS: Final = 0.3
# An ask without a grant is taken as lost.
REQUEST_TIMEOUT_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class CapBounds:
    """By how much an organisation may exceed its rate.

    Parameters
    ----------
    overage : float
        Tolerated part of rate and burst.
    slack : int
        Tolerated requests in a window.
    """

    overage: float
    slack: int


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Asks another node for tokens.

    Parameters
    ----------
    organisation : str
        Organisation whose tokens are short.
    node : str
        Name of the node that is asked.
    wanted : int
        Tokens that could be used soon.
    """

    organisation: str
    node: str
    wanted: int


@dataclass(frozen=True, slots=True)
class ShareView:
    """What a node holds of an organisation's rate.

    Parameters
    ----------
    level : float
        Tokens that are there.
    capacity : float
        Most tokens that can be there.
    rate : float
        Tokens that accrue in a second.
    nodes : int
        Nodes among which the rate is divided.
    """

    level: float
    capacity: float
    rate: float
    nodes: int

    def seconds_until_token(self) -> float:
        """Return when this node's own share allows the next request."""
        if self.rate <= 0:
            return PREFETCH_SECONDS
        return max(0.0, 1.0 - self.level) / self.rate


@dataclass(slots=True)
class _Bucket:
    level: float
    updated_at: float
    demand: float = 0.0
    asked_at: float = -REQUEST_TIMEOUT_SECONDS
    received_at: float = 0.0


class CapShares:
    """Token buckets that hold an equal part of each rate and burst.

    The parts sum to the whole by construction. Tokens move between nodes
    only by being taken out of one bucket before they are put into another,
    and no bucket holds more than its depth; so the sum holds whatever is
    lost, cut off, paused or restarted, and without the platform.

    Parameters
    ----------
    bounds : CapBounds
        By how much an organisation may exceed its rate.
    starts_full : bool
        Whether no earlier run of this node can have spent its share.
    usable_from : float
        Time in seconds before which nothing is spent.

    Examples
    --------
    >>> shares = CapShares(CapBounds(0.0, 0), starts_full=True)
    >>> shares.set_nodes('a', ['a', 'b'])
    >>> shares.set_caps({'o': OrganisationPolicy('o', None, 2.0, 4.0)}, 0.0)
    >>> [shares.spend('o', now=0.0) for _ in range(3)]
    [True, True, False]
    >>> shares.make_request('o', ['b'], waiting=1, now=0.0)
    TokenRequest(organisation='o', node='b', wanted=1)
    """

    def __init__(
        self,
        bounds: CapBounds,
        starts_full: bool,
        usable_from: float = 0.0,
    ) -> None:
        self._bounds = bounds
        self._starts_full = starts_full
        self._usable_from = usable_from
        self._rank = 0
        self._nodes = 1
        self._cap_by_name: Mapping[str, OrganisationPolicy] = {}
        self._bucket_by_name: dict[str, _Bucket] = {}
        self._poor_until: dict[tuple[str, str], float] = {}

    def allow_spending(self) -> None:
        """Spend from now on: the others have counted this node before."""
        self._usable_from = 0.0

    def set_nodes(self, own: str, names: Collection[str]) -> None:
        """Take the nodes among which caps are divided.

        Parameters
        ----------
        own : str
            Name of this node.
        names : collection of str
            Names of all nodes, this one included.
        """
        self._nodes = max(1, len(names))
        self._rank = sum(name < own for name in names)
        for name, cap in self._cap_by_name.items():
            bucket = self._bucket_by_name[name]
            bucket.level = min(bucket.level, self._depth(cap))

    def set_caps(
        self,
        cap_by_name: Mapping[str, OrganisationPolicy],
        now: float,
    ) -> None:
        """Take the caps of a new policy; what was spent stays spent."""
        limited = {
            name: cap for name, cap in cap_by_name.items() if cap.rate > 0
        }
        self._cap_by_name = limited
        for name, cap in limited.items():
            known = self._bucket_by_name.get(name)
            if known is None:
                level = self._depth(cap) if self._starts_full else 0.0
                self._bucket_by_name[name] = _Bucket(level, now)
                continue
            known.level = min(known.level, self._depth(cap))
        # Caps that appear while this node runs have not been spent from; those
        # of former organisations keep their buckets in case they come back.
        self._starts_full = True

    def spend(self, organisation: str, now: float) -> bool:
        """Spend one request; False when no token is there."""
        bucket = self._limited(organisation)
        if bucket is None:
            return True
        self._refill(organisation, bucket, now)
        bucket.demand += 1.0 / DEMAND_SECONDS
        if now < self._usable_from or bucket.level < 1:
            return False
        bucket.level -= 1.0
        return True

    def refund(self, organisation: str, now: float) -> None:
        """Take a token back, because its request has not run."""
        bucket = self._bucket_by_name.get(organisation)
        if bucket is not None:
            self._refill(organisation, bucket, now)
            self._add(organisation, bucket, 1)

    def is_low(self, organisation: str, now: float) -> bool:
        """Tell whether tokens should be asked for before they are gone."""
        bucket = self._limited(organisation)
        if bucket is None:
            return False
        cap = self._cap_by_name[organisation]
        if bucket.level >= LOW_LEVEL * self._depth(cap):
            return False
        return bucket.demand > self._rate(cap) and _may_ask(bucket, now)

    def make_request(
        self,
        organisation: str,
        nodes: Collection[str],
        waiting: int,
        now: float,
    ) -> TokenRequest | None:
        """Choose a node to ask for tokens.

        Parameters
        ----------
        organisation : str
            Organisation whose tokens are short.
        nodes : collection of str
            Nodes that can be asked, the preferred ones first.
        waiting : int
            Requests that wait for a token.
        now : float
            Time in seconds.

        Returns
        -------
        TokenRequest or None
            None when all nodes lately had nothing, or an ask is under way.
        """
        bucket = self._limited(organisation)
        if bucket is None or not _may_ask(bucket, now):
            return None
        for node in nodes:
            if self._poor_until.get((organisation, node), 0.0) > now:
                continue
            bucket.asked_at = now
            wanted = max(1, waiting)
            if self._has_share(self._cap_by_name[organisation]):
                wanted = max(wanted, round(PREFETCH_SECONDS * bucket.demand))
            return TokenRequest(organisation, node, wanted)
        return None

    def has_open_request(self, organisation: str, now: float) -> bool:
        """Tell whether an ask is under way."""
        bucket = self._limited(organisation)
        return bucket is not None and not _may_ask(bucket, now)

    def grant(self, organisation: str, wanted: int, now: float) -> int:
        """Take tokens out for another node.

        Parameters
        ----------
        organisation : str
            Organisation whose tokens are asked for.
        wanted : int
            Tokens that the other node could use.
        now : float
            Time in seconds.

        Returns
        -------
        int
            Tokens that the other node may add to its own.
        """
        bucket = self._limited(organisation)
        if bucket is None or now < self._usable_from:
            return 0
        self._refill(organisation, bucket, now)
        kept = PREFETCH_SECONDS * bucket.demand
        spare = int(max(0.0, bucket.level - kept))
        given = min(wanted, (spare + 1) // 2)
        bucket.level -= given
        return given

    def receive(
        self,
        organisation: str,
        node: str,
        amount: int,
        now: float,
    ) -> None:
        """Add tokens that another node has taken out of its share."""
        bucket = self._limited(organisation)
        if bucket is None:
            return
        bucket.asked_at = now - REQUEST_TIMEOUT_SECONDS
        if amount <= 0:
            self._poor_until[organisation, node] = (
                now + EMPTY_PEER_BACKOFF_SECONDS
            )
            return
        self._refill(organisation, bucket, now)
        bucket.received_at = now
        self._add(organisation, bucket, amount)

    def snapshot(self, organisation: str) -> ShareView:
        """Return what this node holds of an organisation's rate."""
        bucket = self._limited(organisation)
        if bucket is None:
            return ShareView(1.0, 1.0, 1.0, self._nodes)
        cap = self._cap_by_name[organisation]
        return ShareView(
            bucket.level,
            self._depth(cap),
            self._rate(cap),
            self._nodes,
        )

    def _limited(self, organisation: str) -> _Bucket | None:
        if organisation not in self._cap_by_name:
            return None
        return self._bucket_by_name[organisation]

    def _add(self, organisation: str, bucket: _Bucket, amount: int) -> None:
        depth = self._depth(self._cap_by_name[organisation])
        if not depth:
            # Without a share, tokens are only for the requests that wait.
            bucket.level += amount
            return
        bucket.level = min(depth, bucket.level + amount)

    def _refill(self, organisation: str, bucket: _Bucket, now: float) -> None:
        passed = max(0.0, now - bucket.updated_at)
        if not passed:
            return
        bucket.updated_at = now
        bucket.demand *= max(0.0, 1.0 - passed / DEMAND_SECONDS)
        cap = self._cap_by_name[organisation]
        depth = self._depth(cap)
        if not depth and now - bucket.received_at > BORROWED_TOKEN_TTL_SECONDS:
            bucket.level = 0.0
        if bucket.level < depth:
            earned = passed * self._rate(cap)
            bucket.level = min(depth, bucket.level + earned)

    def _factor(self) -> float:
        return 1.0 + self._bounds.overage * USED_OVERAGE

    def _whole_depth(self, cap: OrganisationPolicy) -> float:
        return cap.burst * self._factor() + self._bounds.slack * USED_SLACK

    def _sharers(self, cap: OrganisationPolicy) -> int:
        # Shares below a few tokens are no use: fewer nodes hold larger ones,
        # and the others ask these.
        return max(
            1, min(self._nodes, int(self._whole_depth(cap) / LEAST_DEPTH))
        )

    def _has_share(self, cap: OrganisationPolicy) -> bool:
        sharers = self._sharers(cap)
        if sharers >= self._nodes:
            return True
        # Neighbouring organisations are held by different nodes.
        first = sum(cap.name.encode()) % self._nodes
        return (self._rank - first) % self._nodes < sharers

    def _depth(self, cap: OrganisationPolicy) -> float:
        if not self._has_share(cap):
            return 0.0
        return self._whole_depth(cap) / self._sharers(cap)

    def _rate(self, cap: OrganisationPolicy) -> float:
        if not self._has_share(cap):
            return 0.0
        return cap.rate * self._factor() / self._sharers(cap)


def _may_ask(bucket: _Bucket, now: float) -> bool:
    return now - bucket.asked_at >= REQUEST_TIMEOUT_SECONDS
