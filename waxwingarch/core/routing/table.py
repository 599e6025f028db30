"""The configuration in force, indexed for look-ups."""

from collections import defaultdict

from waxwingarch.core.base import AccountId, ServiceId
from waxwingarch.core.routing.config import (
    Route,
    RoutedAccount,
    RoutedService,
    RoutingConfig,
)


class RoutingTable:
    """Index of routes by host name and prefix, and of accounts by key.

    A configuration is never replaced by an older one.
    """

    def __init__(self) -> None:
        self.version = 0
        self.applied_at = float("-inf")
        self.accounts: dict[AccountId, RoutedAccount] = {}
        self.services: dict[ServiceId, RoutedService] = {}
        self._by_key: dict[str, RoutedAccount] = {}
        self._routes: dict[str, dict[str, Route]] = {}

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self.version > 0

    @property
    def requires_keys(self) -> bool:
        """Whether requests of routes that aren't public need a key."""
        return bool(self.accounts)

    def apply(self, now: float, cfg: RoutingConfig) -> bool:
        """Put a configuration in force; returns False if it is not newer."""
        if cfg.version <= self.version:
            return False
        self.version = cfg.version
        self.applied_at = now
        self.accounts = {a.account: a for a in cfg.accounts}
        self.services = {s.service: s for s in cfg.services}
        self._by_key = {k: a for a in cfg.accounts for k in a.keys}
        routes: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in cfg.routes:
            routes[route.host.lower()][route.prefix] = route
        self._routes = dict(routes)
        return True

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that the path begins with.

        Prefixes end at a slash. Case is ignored in host names.
        """
        routes = self._routes.get(host.lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def account_for_key(self, key: str) -> RoutedAccount | None:
        """Return the account that a key belongs to."""
        return self._by_key.get(key)
