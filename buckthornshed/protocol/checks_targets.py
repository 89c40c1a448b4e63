"""Checks of targets, their addresses and traffic shifts between providers."""

import re
from collections import defaultdict
from collections.abc import Iterator

from .check_registry import CandidateSet, Fields, check, object_check
from .findings import Finding, short_repr

__all__: list[str] = []

MAX_PORT = 65_535
TOTAL_SHARE_PERCENT = 100

ADDRESS_FIELDS = ("address", "control")


OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
IPV4_ADDRESS = re.compile(rf"{OCTET}(?:\.{OCTET}){{3}}")
UNSPECIFIED_OR_MULTICAST = re.compile(r"0\.0\.0\.0|2(?:2[4-9]|3[0-9])\..*")
PORT = re.compile("[1-9][0-9]{0,4}")


@object_check("target")
def unusable_addresses(
    candidate: CandidateSet, name: str, fields: Fields
) -> Iterator[Finding]:
    """Find addresses that cannot belong to a single instance."""
    for field in ADDRESS_FIELDS:
        address = fields.get(field)
        expected = address and _expected_address(address)
        if expected:
            yield candidate.finding(
                "target", name, field, found=short_repr(address), expected=expected
            )


def _expected_address(address: str) -> str | None:
    """Describe the expected form of an unusable address; None if it is usable."""
    host, _, port = address.partition(":")
    if not IPV4_ADDRESS.fullmatch(host):
        return "an IPv4 address with octets from 0 to 255 and no leading zeros"
    if UNSPECIFIED_OR_MULTICAST.fullmatch(host):
        return "the IPv4 address of a single instance"
    if not PORT.fullmatch(port) or int(port) > MAX_PORT:
        return f"a port from 1 to {MAX_PORT} with no leading zeros"
    return None


@check("target")
def duplicate_addresses(candidate: CandidateSet) -> Iterator[Finding]:
    """Find addresses that are used twice; addresses of retired targets are free."""
    addresses = [
        fields[field]
        for _, fields in candidate.items("target")
        for field in ADDRESS_FIELDS
        if field in fields and not fields.get("retired")
    ]
    if len(addresses) == len(set(addresses)):
        return
    first_uses: dict[str, str] = {}
    for name, fields in sorted(candidate.items("target")):
        for field in ADDRESS_FIELDS:
            address = fields.get(field)
            if address is None or fields.get("retired"):
                continue
            first_use = first_uses.setdefault(address, f"target.{name}: {field}")
            if first_use != f"target.{name}: {field}":
                yield candidate.finding(
                    "target",
                    name,
                    field,
                    found=f"{short_repr(address)}, as in {first_use}",
                    expected="an address that no other target or field uses",
                )


def _providers_by_service(candidate: CandidateSet) -> dict[str, set[str]]:
    """Return the providers that have targets of each service, without retired ones.

    A target without a valid provider counts under the provider "".
    """
    pairs = {
        (fields.get("service"), fields.get("provider", ""))
        for _, fields in candidate.items("target")
        if not fields.get("retired")
    }
    providers: dict[str, set[str]] = defaultdict(set)
    for service, provider in pairs:
        if service is not None:
            providers[service].add(provider)
    return providers


@check("service", "target")
def services_without_targets(candidate: CandidateSet) -> Iterator[Finding]:
    """Find services without a target that is not retired."""
    providers = _providers_by_service(candidate)
    for name, _ in candidate.items("service"):
        if name not in providers:
            yield candidate.finding(
                "service",
                name,
                "",
                found="no target of the service",
                expected="at least one target that is not retired",
            )


@object_check("shift")
def share_totals(
    candidate: CandidateSet, name: str, fields: Fields
) -> Iterator[Finding]:
    """Find shifts whose shares do not add up to 100 percent."""
    if "shares" not in fields or ("shift", name, "shares") in candidate.partial_fields:
        return
    total = sum(fields["shares"].values())
    if total != TOTAL_SHARE_PERCENT:
        yield candidate.finding(
            "shift",
            name,
            "shares",
            found=f"shares that add up to {total}",
            expected=f"shares that add up to {TOTAL_SHARE_PERCENT}",
        )


@check("shift", "target", "provider")
def shares_without_targets(candidate: CandidateSet) -> Iterator[Finding]:
    """Find shares for providers that have no target of the service."""
    providers = _providers_by_service(candidate)
    for name, fields in candidate.items("shift"):
        service = fields.get("service")
        if service not in providers or "" in providers[service]:
            continue
        for provider in sorted(fields.get("shares", {})):
            exists = provider in candidate.objects["provider"]
            if exists and provider not in providers[service]:
                yield candidate.finding(
                    "shift",
                    name,
                    f"shares.{provider}",
                    found=f"no target of service {service!r} "
                    f"from provider {provider!r}",
                    expected="a provider with a target that is not retired",
                )


@check("shift", "target", "provider")
def targets_without_share(candidate: CandidateSet) -> Iterator[Finding]:
    """Find targets whose provider has no share in the shift of their service."""
    providers = _providers_by_service(candidate)
    for name, fields in candidate.items("shift"):
        service = fields.get("service", "")
        if (
            "shares" not in fields
            or ("shift", name, "shares") in candidate.partial_fields
        ):
            continue
        for provider in sorted(providers.get(service, set()) - {""}):
            exists = provider in candidate.objects["provider"]
            if exists and provider not in fields["shares"]:
                yield candidate.finding(
                    "shift",
                    name,
                    "shares",
                    found=f"no share for provider {provider!r}",
                    expected=f"a share for each provider of service {service!r}",
                )


@check("shift", "provider")
def pins_without_share(candidate: CandidateSet) -> Iterator[Finding]:
    """Find pins to providers that have no share in the shift."""
    for name, fields in candidate.items("shift"):
        if (
            "shares" not in fields
            or ("shift", name, "shares") in candidate.partial_fields
        ):
            continue
        for account, provider in sorted(fields.get("pins", {}).items()):
            exists = provider in candidate.objects["provider"]
            if exists and provider not in fields["shares"]:
                yield candidate.finding(
                    "shift",
                    name,
                    f"pins.{account}",
                    found=short_repr(provider),
                    expected="a provider listed in shares",
                )


@check("shift")
def duplicate_shifts(candidate: CandidateSet) -> Iterator[Finding]:
    """Find services with more than one shift."""
    first_shifts: dict[str, str] = {}
    for name, fields in sorted(candidate.items("shift")):
        service = fields.get("service")
        if service is None:
            continue
        first_shift = first_shifts.setdefault(service, name)
        if first_shift != name:
            yield candidate.finding(
                "shift",
                name,
                "service",
                found=f"{service!r}, as in shift.{first_shift}",
                expected="only one shift for each service",
            )
