"""Decide which share of all rates a failure domain uses while the division changes."""

from collections.abc import Mapping

from currantlead.admission import token_bucket
from currantlead.control import model


def falling(shares: model.Shares) -> set[str]:
    """Return the domains whose share falls in the newest division."""
    return {name for name, share in shares.previous.items() if shares.shares.get(name, 0.0) < share}


def settled(shares: model.Shares, views: Mapping[str, model.View]) -> bool:
    """Tell whether each domain whose share falls has confirmed, or has an empty view."""
    return all(_confirmed(shares, name, views.get(name)) for name in falling(shares))


def portion(division: Mapping[str, float], domain: str, burst: float) -> int:
    """Return a domain's part of a burst in millionths of a token.

    The parts are differences of rounded running sums, so they add up to the whole burst: three thirds of 10 rounded
    down would lack the tenth token.
    """
    before = 0.0
    for name in sorted(division):
        after = min(1.0, before + division[name])
        if name == domain:
            # The running sum of thirds may miss 1 by the precision of a float.
            return round(burst * after * token_bucket.TOKEN) - round(burst * before * token_bucket.TOKEN)
        before = after
    return 0


def _confirmed(shares: model.Shares, domain: str, view: model.View | None) -> bool:
    # An unknown view proves nothing: this VM may not have learned it yet.
    empty = view is not None and not view.members
    return empty or shares.confirmed.get(domain, 0) >= shares.number


class Division:
    """Follow the share of one domain; a rise takes effect one grant lifetime after the division has settled."""

    def __init__(self, domain: str):
        self._domain = domain
        self._number: int | None = None
        self._settled_at: float | None = None

    def limits(
        self, shares: model.Shares, views: Mapping[str, model.View], now: float, rate: float, burst: float
    ) -> tuple[float, int]:
        """Return the domain's part of a rate and of a burst.

        Args:
            shares: Newest division that this VM knows.
            views: Newest views.
            now: Clock reading.
            rate: Whole rate in tokens per second.
            burst: Whole burst in tokens.

        Returns:
            Rate, and burst in millionths of a token. They follow the smaller of the previous and the new share, and
            the new one once no grant of an old share can be left.
        """
        division = self._division(shares, views, now)
        return rate * min(1.0, division.get(self._domain, 0.0)), portion(division, self._domain, burst)

    def _division(self, shares: model.Shares, views: Mapping[str, model.View], now: float) -> Mapping[str, float]:
        new = shares.shares.get(self._domain, 0.0)
        # In the first division no domain had a share, so nothing has to be given up.
        old = shares.previous.get(self._domain, 0.0) if shares.previous else new
        if self._number != shares.number:
            self._number, self._settled_at = shares.number, None
        if new <= old:
            return shares.shares
        if self._settled_at is None and settled(shares, views):
            self._settled_at = now
        if self._settled_at is None or now < self._settled_at + token_bucket.OWNER_LIFETIME_S:
            return shares.previous
        return shares.shares

    def must_confirm(self, shares: model.Shares) -> bool:
        """Tell whether the domain's share falls and the domain has not confirmed yet."""
        return self._domain in falling(shares) and shares.confirmed.get(self._domain, 0) < shares.number
