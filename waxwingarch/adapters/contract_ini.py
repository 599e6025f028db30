"""Parsing of client accounts' contracts from INI text."""

import hashlib
from typing import Annotated, Final

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationInfo,
    model_validator,
)

from waxwingarch.adapters.ini import Name, parse_ini, validate
from waxwingarch.core.base import AccountId, ServiceId
from waxwingarch.core.contracts.contract import Contract, RouteRule
from waxwingarch.exceptions import SettingsError

ROUTE_PREFIX: Final = "route "
MS_PER_S: Final = 1000.0

PositiveMs = Annotated[float, Field(gt=0, le=3_600_000)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ContractSection(_Section):
    """The account and its key, given in plain text or as its SHA-256."""

    account: Name
    deployment: Name | None = None
    key: Annotated[str, Field(min_length=8)] | None = None
    key_sha256: Annotated[str, Field(pattern="^[0-9a-f]{64}$")] | None = None

    @model_validator(mode="after")
    def _check_single_key(self) -> "ContractSection":
        if (self.key is None) == (self.key_sha256 is None):
            raise ValueError("want exactly one of key and key_sha256")
        return self

    @property
    def digest(self) -> str:
        """SHA-256 of the key, in hexadecimal."""
        return self.key_sha256 or key_digest(self.key or "")


class LatencySection(_Section):
    """Latency targets of the contract, in milliseconds."""

    first_token_ms: PositiveMs
    between_tokens_ms: PositiveMs
    whole_answer_ms: PositiveMs

    @model_validator(mode="after")
    def _check_order(self) -> "LatencySection":
        if self.first_token_ms >= self.whole_answer_ms:
            raise ValueError("want first_token_ms below whole_answer_ms")
        return self


class LimitsSection(_Section):
    """Limits of the account.

    `rate` is in requests per second, `share` is a fraction of capacity.
    """

    rate: Annotated[float, Field(gt=0, le=1_000_000)]
    burst: Annotated[int, Field(ge=1, le=1_000_000)]
    concurrency: Annotated[int, Field(ge=1, le=1_000_000)]
    share: Annotated[float, Field(gt=0, le=1)]
    priority: Annotated[int, Field(ge=0, le=9)]


class CostSection(_Section):
    """The weight of cost against latency in placement."""

    weight: Annotated[float, Field(ge=0, le=100)] = 1.0


class RouteSection(_Section):
    """One route of the contract: a request path and its service."""

    path: Annotated[str, Field(pattern="^/")]
    service: Name
    non_idempotent: bool = False
    outcome_query: bool = False

    @model_validator(mode="after")
    def _check_outcome_query(self, info: ValidationInfo) -> "RouteSection":
        if self.outcome_query and not self.non_idempotent:
            raise ValueError("outcome_query needs non_idempotent = true")
        return self


class ContractModel(BaseModel):
    """All sections of a contract; `routes` holds the [route NAME] ones."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    contract: ContractSection
    latency: LatencySection
    limits: LimitsSection
    cost: CostSection = CostSection()
    routes: Annotated[dict[str, RouteSection], Field(min_length=1)]


def key_digest(key: str) -> str:
    """Return the SHA-256 of a client account's key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def parse_contract(
    text: str, source: str, deployment: str | None = None
) -> Contract:
    """Parse a contract; raises `SettingsError`.

    With `deployment` set, a contract that names another deployment is
    rejected. `source` names the file in error messages.
    """
    sections = parse_ini(text, source)
    routes = {
        name.removeprefix(ROUTE_PREFIX): sections.pop(name)
        for name in list(sections)
        if name.startswith(ROUTE_PREFIX)
    }
    model = validate(ContractModel, {**sections, "routes": routes}, source)
    target = model.contract.deployment
    if deployment and target and target != deployment:
        raise SettingsError(
            f"{source}: [contract] deployment: is for {target}, this is"
            f" {deployment}; apply it there"
        )
    return _to_core(model)


def _to_core(model: ContractModel) -> Contract:
    routes = tuple(
        RouteRule(
            path=route.path,
            service=ServiceId(route.service),
            non_idempotent=route.non_idempotent,
            outcome_query=route.outcome_query,
        )
        for _, route in sorted(model.routes.items())
    )
    return Contract(
        account=AccountId(model.contract.account),
        key_digest=model.contract.digest,
        first_token_s=model.latency.first_token_ms / MS_PER_S,
        between_tokens_s=model.latency.between_tokens_ms / MS_PER_S,
        whole_answer_s=model.latency.whole_answer_ms / MS_PER_S,
        priority=model.limits.priority,
        rate=model.limits.rate,
        burst=model.limits.burst,
        concurrency=model.limits.concurrency,
        share=model.limits.share,
        cost_weight=model.cost.weight,
        routes=routes,
    )
