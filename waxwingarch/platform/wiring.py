"""Connects the platform's ports."""

from waxwingarch.adapters.front_settings import FrontSettings
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.platform.calls import PlatformDuties, PlatformEngines
from waxwingarch.platform.exchange_codec import PlatformExchanges
from waxwingarch.platform.rows_codec import PlatformRows
from waxwingarch.platform.store import PlatformStore
from waxwingarch.ports.front import FrontPorts


def platform_ports(settings: FrontSettings, client: HttpClient) -> FrontPorts:
    """Return the ports over the addresses in the settings."""
    return FrontPorts(
        store=PlatformStore(client, settings.store.address),
        rows=PlatformRows(),
        exchanges=PlatformExchanges(),
        engines=PlatformEngines(client),
        duties=PlatformDuties(client, settings.duties.address),
    )
