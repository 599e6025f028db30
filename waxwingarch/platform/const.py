"""Names on the platform's wire, each spelled once."""

from typing import Final

# Tables that the operator and the servers write.
OPERATOR_TABLE: Final = "op"
CONFIG_KEY: Final = "config"
SERVERS_TABLE: Final = "servers"
# An order to move a service to another version, and what became of it.
STATUS_TABLE: Final = "status"
ROLLOUT_KEY_PREFIX: Final = "rollout/"

# Headers of callers and servers, in lower case.
HEADER_REQUEST_ID: Final = "x-waxwingarch-request-id"
HEADER_DEADLINE_MS: Final = "x-waxwingarch-deadline-ms"
HEADER_API_KEY: Final = "x-api-key"
HEADER_TENANT: Final = "x-waxwingarch-tenant-name"
HEADER_PROMPT_PREFIX: Final = "x-waxwingarch-prompt-prefix"
HEADER_TOKEN_USAGE: Final = "x-waxwingarch-token-usage"
HEADER_LAST_EVENT_ID: Final = "last-event-id"
HEADER_TARGET_SERVER: Final = "x-waxwingarch-target-instance"
HEADER_PRIORITY: Final = "x-waxwingarch-request-priority"
HEADER_SERVER_STAMP: Final = "x-waxwingarch-server-stamp"
HEADER_NOT_EXECUTED: Final = "x-waxwingarch-not-executed"
HEADER_KV_SOURCE: Final = "kv-from"
HEADER_DUTY_HOLDER: Final = "x-waxwingarch-duty-holder"
HEADER_FENCING_TOKEN: Final = "x-waxwingarch-fencing-token"

# Headers that only this system may set towards a server: what a caller
# sends under these names is dropped.
SYSTEM_HEADERS: Final = frozenset(
    {
        HEADER_DEADLINE_MS,
        HEADER_API_KEY,
        HEADER_TENANT,
        HEADER_TARGET_SERVER,
        HEADER_PRIORITY,
        HEADER_KV_SOURCE,
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
