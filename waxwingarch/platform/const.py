"""Names on the platform's wire, each spelled once."""

from typing import Final

# Tables that the operator and the servers write.
TABLE_OPERATOR: Final = "op"
KEY_CONFIG: Final = "config"
TABLE_SERVERS: Final = "servers"
# An order to move a service to another version, and what became of it.
TABLE_STATUS: Final = "status"
KEY_ROLLOUT: Final = "rollout/"

# Headers of callers and servers, in lower case.
HEADER_REQUEST: Final = "x-waxwingarch-request-id"
HEADER_DEADLINE: Final = "x-waxwingarch-deadline-ms"
HEADER_KEY: Final = "x-api-key"
HEADER_TENANT: Final = "x-waxwingarch-tenant-name"
HEADER_PREFIX: Final = "x-waxwingarch-prompt-prefix"
HEADER_TOKENS: Final = "x-waxwingarch-token-usage"
HEADER_LAST_EVENT: Final = "last-event-id"
HEADER_TARGET: Final = "x-waxwingarch-target-instance"
HEADER_PRIORITY: Final = "x-waxwingarch-request-priority"
HEADER_STAMP: Final = "x-waxwingarch-server-stamp"
HEADER_NOT_RUN: Final = "x-waxwingarch-not-executed"
HEADER_KV_FROM: Final = "kv-from"
HEADER_HOLDER: Final = "x-waxwingarch-duty-holder"
HEADER_FENCE: Final = "x-waxwingarch-fencing-token"

# Headers that only this system may set towards a server: what a caller
# sends under these names is dropped.
SYSTEM_HEADERS: Final = frozenset(
    {
        HEADER_DEADLINE,
        HEADER_KEY,
        HEADER_TENANT,
        HEADER_TARGET,
        HEADER_PRIORITY,
        HEADER_KV_FROM,
        "x-waxwingarch-cache-hold",
        "x-waxwingarch-pin-ms",
        "x-waxwingarch-kv-backup",
        "x-waxwingarch-expected-version",
        "kv-fetch",
    }
)
# Headers that concern one connection, or that the HTTP library writes.
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)

MS_PER_S: Final = 1000
