"""A route and its service that the operator of a soak drops and adds."""

from typing import Any, Final

from standins.fleet import HOST_NAME, FleetConfig

ANNEX: Final = "annex"
ANNEX_PATH: Final = f"/{ANNEX}/"
ANNEX_SERVER: Final = "annex-0"
# Long enough to be in progress while the route is dropped.
ANNEX_WORK_S: Final = 0.3
ROUTE: Final[dict[str, Any]] = {
    "name": ANNEX,
    "host": HOST_NAME,
    "prefix": ANNEX_PATH,
    "kind": "idempotent",
    "timeout_ms": 2000,
    "target_latency_ms": 500,
    "service": ANNEX,
    "max_attempts": 2,
}
SERVICE: Final = {"name": ANNEX, "max_connections": 100}


def add_annex(config: FleetConfig) -> None:
    """Add the route and the service to a configuration."""
    config.extra_routes = [ROUTE]
    config.extra_services = [SERVICE]
