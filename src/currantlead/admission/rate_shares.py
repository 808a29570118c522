"""Share of the rate limits that a failure domain uses, also while the division among the domains changes."""

from collections.abc import Mapping

from currantlead.admission import token_bucket
from currantlead.control import model


def domains_to_reduce(shares: model.Shares) -> set[str]:
    """Return the domains whose share decreases in the newest division."""
    return {name for name, share in shares.previous.items() if shares.shares.get(name, 0.0) < share}


def is_settled(shares: model.Shares, views: Mapping[str, model.View]) -> bool:
    """Return whether each domain whose share decreases has confirmed the division or has an empty view."""
    return all(_has_confirmed(shares, name, views.get(name)) for name in domains_to_reduce(shares))


def burst_share(division: Mapping[str, float], domain: str, burst: float) -> int:
    """Return a domain's share of a burst in millionths of a token.

    The shares are differences of rounded cumulative sums, so that they add up to the burst: three thirds of 10, each
    rounded down, would lack the tenth token.
    """
    before = 0.0
    for name in sorted(division):
        after = min(1.0, before + division[name])
        if name == domain:
            # Because of floating-point errors, the sum of three thirds may differ from 1.
            return round(burst * after * token_bucket.TOKEN) - round(burst * before * token_bucket.TOKEN)
        before = after
    return 0


def _has_confirmed(shares: model.Shares, domain: str, view: model.View | None) -> bool:
    # A missing view does not imply an empty domain: this VM may not have received it yet.
    empty = view is not None and not view.members
    return empty or shares.confirmed.get(domain, 0) >= shares.number


class DomainShare:
    """Share of one domain; an increase takes effect one grant lifetime after the division is settled."""

    def __init__(self, domain: str):
        self._domain = domain
        self._number: int | None = None
        self._settled_at: float | None = None

    def limits(
        self, shares: model.Shares, views: Mapping[str, model.View], now: float, rate: float, burst: float
    ) -> tuple[float, int]:
        """Return the domain's share of a rate and of a burst.

        Args:
            shares: Newest division that this VM knows.
            views: Newest views.
            now: Current time.
            rate: Total rate in tokens per second.
            burst: Total burst in tokens.

        Returns:
            Rate in tokens per second, and burst in millionths of a token. They use the smaller of the previous and
            the new share, until all grants of the previous shares have expired; then they use the new one.
        """
        division = self._division(shares, views, now)
        return rate * min(1.0, division.get(self._domain, 0.0)), burst_share(division, self._domain, burst)

    def _division(self, shares: model.Shares, views: Mapping[str, model.View], now: float) -> Mapping[str, float]:
        new = shares.shares.get(self._domain, 0.0)
        # Before the first division no domain had a share, so no domain has to reduce its own first.
        old = shares.previous.get(self._domain, 0.0) if shares.previous else new
        if self._number != shares.number:
            self._number, self._settled_at = shares.number, None
        if new <= old:
            return shares.shares
        if self._settled_at is None and is_settled(shares, views):
            self._settled_at = now
        if self._settled_at is None or now < self._settled_at + token_bucket.OWNER_GRANT_LIFETIME_S:
            return shares.previous
        return shares.shares

    def must_confirm(self, shares: model.Shares) -> bool:
        """Return whether the domain's share decreases and the domain has not confirmed that yet."""
        return self._domain in domains_to_reduce(shares) and shares.confirmed.get(self._domain, 0) < shares.number
