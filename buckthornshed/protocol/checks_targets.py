"""Checks of targets, their addresses and the shifts between their providers."""

import re
from collections import defaultdict
from collections.abc import Iterator

from .draft import Draft, Fields, check, object_check
from .findings import Finding, shown

__all__: list[str] = []

MAX_PORT = 65_535
WHOLE_SHARE = 100

ADDRESS_FIELDS = ("address", "control")


OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
NUMBER = re.compile(rf"{OCTET}(?:\.{OCTET}){{3}}")
UNSPECIFIED_OR_MULTICAST = re.compile(r"0\.0\.0\.0|2(?:2[4-9]|3[0-9])\..*")
PORT = re.compile("[1-9][0-9]{0,4}")


@object_check("target")
def addresses(draft: Draft, name: str, fields: Fields) -> Iterator[Finding]:
    """Find addresses that no instance can have."""
    for field in ADDRESS_FIELDS:
        address = fields.get(field)
        expected = address and _address_fault(address)
        if expected:
            yield draft.finding(
                "target", name, field, found=shown(address), expected=expected
            )


def _address_fault(address: str) -> str | None:
    """Return what was expected of `address`, or None when it is usable."""
    host, _, port = address.partition(":")
    if not NUMBER.fullmatch(host):
        return "an IPv4 number with parts from 0 to 255 and no leading zeros"
    if UNSPECIFIED_OR_MULTICAST.fullmatch(host):
        return "the IPv4 number of one instance"
    if not PORT.fullmatch(port) or int(port) > MAX_PORT:
        return f"a port from 1 to {MAX_PORT} with no leading zeros"
    return None


@check("target")
def shared_servers(draft: Draft) -> Iterator[Finding]:
    """Find servers that stand in two targets; a retired target holds none."""
    held = [
        fields[field]
        for _, fields in draft.items("target")
        for field in ADDRESS_FIELDS
        if field in fields and not fields.get("retired")
    ]
    if len(held) == len(set(held)):
        return
    holders: dict[str, str] = {}
    for name, fields in sorted(draft.items("target")):
        for field in ADDRESS_FIELDS:
            address = fields.get(field)
            if address is None or fields.get("retired"):
                continue
            holder = holders.setdefault(address, f"target.{name}: {field}")
            if holder != f"target.{name}: {field}":
                yield draft.finding(
                    "target",
                    name,
                    field,
                    found=f"{shown(address)}, as in {holder}",
                    expected="an address that no other target or purpose has",
                )


def _providers(draft: Draft) -> dict[str, set[str]]:
    """Return the providers of the targets of each service, "" for an unknown one."""
    served = {
        (fields.get("service"), fields.get("provider", ""))
        for _, fields in draft.items("target")
        if not fields.get("retired")
    }
    providers: dict[str, set[str]] = defaultdict(set)
    for service, provider in served:
        if service is not None:
            providers[service].add(provider)
    return providers


@check("service", "target")
def services_without_targets(draft: Draft) -> Iterator[Finding]:
    """Find services that nothing serves."""
    providers = _providers(draft)
    for name, _ in draft.items("service"):
        if name not in providers:
            yield draft.finding(
                "service",
                name,
                "",
                found="no target of the service",
                expected="at least one target that is not retired",
            )


@object_check("shift")
def shares(draft: Draft, name: str, fields: Fields) -> Iterator[Finding]:
    """Find shares that do not add up."""
    if "shares" not in fields or ("shift", name, "shares") in draft.partial:
        return
    total = sum(fields["shares"].values())
    if total != WHOLE_SHARE:
        yield draft.finding(
            "shift",
            name,
            "shares",
            found=f"shares that add up to {total}",
            expected=f"shares that add up to {WHOLE_SHARE}",
        )


@check("shift", "target", "provider")
def shares_without_targets(draft: Draft) -> Iterator[Finding]:
    """Find shares of providers that have no target of the service."""
    providers = _providers(draft)
    for name, fields in draft.items("shift"):
        service = fields.get("service")
        if service not in providers or "" in providers[service]:
            continue
        for provider in sorted(fields.get("shares", {})):
            known = provider in draft.objects["provider"]
            if known and provider not in providers[service]:
                yield draft.finding(
                    "shift",
                    name,
                    f"shares.{provider}",
                    found=f"no target of service {service!r} from {provider!r}",
                    expected="a provider with a target that is not retired",
                )


@check("shift", "target", "provider")
def targets_without_share(draft: Draft) -> Iterator[Finding]:
    """Find targets whose provider a shift of their service leaves out."""
    providers = _providers(draft)
    for name, fields in draft.items("shift"):
        service = fields.get("service", "")
        if "shares" not in fields or ("shift", name, "shares") in draft.partial:
            continue
        for provider in sorted(providers.get(service, set()) - {""}):
            known = provider in draft.objects["provider"]
            if known and provider not in fields["shares"]:
                yield draft.finding(
                    "shift",
                    name,
                    "shares",
                    found=f"no share for {provider!r}",
                    expected=f"a share for each provider of service {service!r}",
                )


@check("shift", "provider")
def pins_without_share(draft: Draft) -> Iterator[Finding]:
    """Find pins to providers that the shift does not name."""
    for name, fields in draft.items("shift"):
        if "shares" not in fields or ("shift", name, "shares") in draft.partial:
            continue
        for account, provider in sorted(fields.get("pins", {}).items()):
            known = provider in draft.objects["provider"]
            if known and provider not in fields["shares"]:
                yield draft.finding(
                    "shift",
                    name,
                    f"pins.{account}",
                    found=shown(provider),
                    expected="a provider that shares names",
                )


@check("shift")
def second_shifts(draft: Draft) -> Iterator[Finding]:
    """Find services with more than one shift."""
    first: dict[str, str] = {}
    for name, fields in sorted(draft.items("shift")):
        service = fields.get("service")
        if service is None:
            continue
        holder = first.setdefault(service, name)
        if holder != name:
            yield draft.finding(
                "shift",
                name,
                "service",
                found=f"{service!r}, as in shift.{holder}",
                expected="one shift of a service",
            )
