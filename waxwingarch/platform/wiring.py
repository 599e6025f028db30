"""Implements the front daemon's ports with the platform's adapters."""

from waxwingarch.adapters.front_settings import FrontSettings
from waxwingarch.adapters.http_client import HttpClient
from waxwingarch.platform.calls import PlatformDutyClient, PlatformEngineClient
from waxwingarch.platform.exchange_codec import PlatformExchangeCodec
from waxwingarch.platform.rows_codec import PlatformRowCodec
from waxwingarch.platform.store import PlatformRowStore
from waxwingarch.ports.front import FrontPorts


def platform_ports(settings: FrontSettings, client: HttpClient) -> FrontPorts:
    """Build the ports for the platform addresses in the settings."""
    return FrontPorts(
        store=PlatformRowStore(client, settings.store.address),
        rows=PlatformRowCodec(),
        exchanges=PlatformExchangeCodec(),
        engines=PlatformEngineClient(client),
        duties=PlatformDutyClient(client, settings.duties.address),
    )
