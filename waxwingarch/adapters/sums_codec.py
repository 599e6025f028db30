"""Encoding of sums and member reports as datagrams.

The first byte names the kind of message; no whole report begins with one of
them. Sums are compressed, as they name many servers.
"""

import zlib
from typing import Any, Final

import orjson

from waxwingarch.adapters.report_codec import (
    AGE_DECIMALS,
    MAX_REPORTED_AGE_S,
    BadReportError,
    decode_loads,
    decode_usage,
    encode_loads,
    encode_usage,
)
from waxwingarch.core.base import (
    FailureDomain,
    HostId,
    ServerId,
)
from waxwingarch.core.peers.sum_messages import (
    DomainPart,
    DomainSum,
    FleetDigest,
    MemberReport,
    SumMessage,
    TableVersions,
    VersionedUsage,
)

MEMBER_TAG: Final = b"M"
SUM_TAG: Final = b"S"
DIGEST_TAG: Final = b"D"
# The fastest level: higher ones saved less than a tenth on sums.
COMPRESSION_LEVEL: Final = 1
# Bounds the memory that a forged datagram may take.
MAX_SUMS_BYTES: Final = 1 << 20


def is_about_sums(data: bytes) -> bool:
    """Return whether a datagram is not a whole report."""
    return data[:1] in (MEMBER_TAG, SUM_TAG, DIGEST_TAG)


def encode_sums(message: SumMessage) -> bytes:
    """Return the datagram of a message about sums."""
    match message:
        case MemberReport():
            return MEMBER_TAG + orjson.dumps(_encode_member(message))
        case DomainSum():
            return SUM_TAG + _compress(_encode_sum(message))
        case FleetDigest():
            return DIGEST_TAG + _compress(_encode_digest(message))


def decode_sums(data: bytes) -> SumMessage:
    """Return the message in a datagram; raises `BadReportError`."""
    try:
        body = data[1:]
        if data[:1] == MEMBER_TAG:
            return _decode_member(orjson.loads(body))
        raw = orjson.loads(_decompress(body))
        if data[:1] == SUM_TAG:
            return _decode_sum(raw)
        return _decode_digest(raw)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        zlib.error,
    ) as exc:
        raise BadReportError(f"not about sums: {exc!r}") from exc


def _compress(raw: dict[str, Any]) -> bytes:
    return zlib.compress(orjson.dumps(raw), COMPRESSION_LEVEL)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(data, MAX_SUMS_BYTES)
    if not decompressor.eof:
        raise ValueError("truncated or too large")
    return body


def _encode_member(report: MemberReport) -> dict[str, Any]:
    return {
        "host": report.host,
        "inc": report.incarnation,
        "seq": report.sequence,
        "zone": report.domain,
        "tab": _encode_tables(report.tables),
        "loads": encode_loads(report.loads),
        "adm": encode_usage(report.admitted),
        "rate": encode_usage(report.offered_per_s),
        "avoid": report.avoided,
        "drain": report.draining,
    }


def _decode_member(raw: dict[str, Any]) -> MemberReport:
    return MemberReport(
        host=HostId(str(raw["host"])),
        incarnation=int(raw["inc"]),
        sequence=int(raw["seq"]),
        domain=FailureDomain(str(raw["zone"])),
        tables=_decode_tables(raw["tab"]),
        loads=decode_loads(raw["loads"]),
        admitted=decode_usage(raw["adm"]),
        offered_per_s=decode_usage(raw["rate"]),
        avoided=tuple(ServerId(str(s)) for s in raw["avoid"]),
        draining=bool(raw["drain"]),
    )


def _encode_sum(domain_sum: DomainSum) -> dict[str, Any]:
    return {
        "zone": domain_sum.domain,
        "host": domain_sum.collector,
        "inc": domain_sum.incarnation,
        "seq": domain_sum.sequence,
        "age": round(domain_sum.age_s, AGE_DECIMALS),
        "of": domain_sum.hosts,
        "seqs": domain_sum.sequences,
        "loads": encode_loads(domain_sum.loads),
        "adm": _encode_versions(domain_sum.usage),
        "rate": encode_usage(domain_sum.offered_per_s),
        "avoid": domain_sum.avoided,
        "tab": [_encode_tables(t) for t in domain_sum.tables],
    }


def _decode_sum(raw: dict[str, Any]) -> DomainSum:
    return DomainSum(
        domain=FailureDomain(str(raw["zone"])),
        collector=HostId(str(raw["host"])),
        incarnation=int(raw["inc"]),
        sequence=int(raw["seq"]),
        age_s=float(raw["age"]),
        hosts=tuple(HostId(str(h)) for h in raw["of"]),
        sequences=tuple(map(int, raw["seqs"])),
        loads=decode_loads(raw["loads"]),
        usage=_decode_versions(raw["adm"]),
        offered_per_s=decode_usage(raw["rate"]),
        avoided={ServerId(s): int(n) for s, n in raw["avoid"].items()},
        tables=tuple(_decode_tables(t) for t in raw["tab"]),
    )


def _encode_digest(digest: FleetDigest) -> dict[str, Any]:
    return {
        "host": digest.collector,
        "inc": digest.incarnation,
        "seq": digest.sequence,
        "parts": [
            [p.domain, round(p.age_s, AGE_DECIMALS), p.hosts, p.avoided]
            for p in digest.parts
        ],
        "seqs": digest.sequences,
        "loads": encode_loads(digest.loads),
        "adm": _encode_versions(digest.usage),
        "rate": encode_usage(digest.offered_per_s),
        "tab": [_encode_tables(t) for t in digest.tables],
    }


def _decode_digest(raw: dict[str, Any]) -> FleetDigest:
    if not raw["parts"]:
        raise ValueError("no failure domain")
    return FleetDigest(
        collector=HostId(str(raw["host"])),
        incarnation=int(raw["inc"]),
        sequence=int(raw["seq"]),
        parts=tuple(
            DomainPart(
                domain=FailureDomain(str(domain)),
                age_s=float(age_s),
                hosts=tuple(HostId(str(h)) for h in hosts),
                avoided={ServerId(s): int(n) for s, n in avoided.items()},
            )
            for domain, age_s, hosts, avoided in raw["parts"]
        ),
        sequences=tuple(map(int, raw["seqs"])),
        loads=decode_loads(raw["loads"]),
        usage=_decode_versions(raw["adm"]),
        offered_per_s=decode_usage(raw["rate"]),
        tables=tuple(_decode_tables(t) for t in raw["tab"]),
    )


def _encode_versions(usage: VersionedUsage) -> dict[str, Any]:
    return {str(v): encode_usage(amounts) for v, amounts in usage.items()}


def _decode_versions(raw: dict[str, Any]) -> VersionedUsage:
    return {int(v): decode_usage(amounts) for v, amounts in raw.items()}


def _encode_tables(tables: TableVersions) -> list[Any]:
    age_s = min(tables.confirmed_age_s, MAX_REPORTED_AGE_S)
    return [*tables.versions, round(age_s, 2), tables.address]


def _decode_tables(raw: list[Any]) -> TableVersions:
    config_version, listing_version, config_number, age_s, address = raw
    return TableVersions(
        config_version=int(config_version),
        listing_version=int(listing_version),
        config_number=int(config_number),
        confirmed_age_s=float(age_s),
        address=str(address),
    )
