"""Tests of decoding the platform documents and the settings file of a relay."""

import json
import math

import pytest

from buckthornshed.errors import PlatformError, SettingsError
from buckthornshed.platform.documents import decode_catalog, decode_target
from buckthornshed.platform.settings import parse_settings
from buckthornshed.protocol.foreign_objects import UnusableEntry
from buckthornshed.state.generation import Generation

SETTINGS = """\
node=sidecar-a-1
zone=a
ip=10.1.0.8
listen.inbound=10.1.0.8:8300
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
internalPorts=7620,7635
appAddr=10.1.0.8:8301
service=huvo11a
bounds.graceS=6
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=49
limits.maxFds=4100
limits.memoryMb=200
platform.addr=10.200.1.7:8309
something.new=ignored
"""

REGISTRATION = {
    "service": "huvo11a",
    "addr": "10.1.0.8:8301",
    "zone": "a",
    "version": "v1",
    "slots": 80,
    "state": "ready",
    "coldLeftS": 1.5,
    "seq": 4,
    "born": 1_700_000_000_000,
}


def make_document(**action):
    rule = {
        "name": "r-1",
        "kind": "non_idempotent",
        "sloS": 1.5,
        "priority": 0,
        "match": {"prefix": "/book/"},
        "action": {"timeoutS": 1, "attempts": 2, **action},
    }
    catch_all = dict(rule, name="r-2", kind="idempotent", match={"prefix": "/"})
    return {
        "version": "r12",
        "limits": {
            "maxHeaderBytes": 100,
            "maxBodyBytes": 200,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
        "listeners": [{"host": "Stalls.example", "rules": [catch_all, rule]}],
        "clusters": [{"name": "huvo11a", "healthPath": "/health"}],
    }


def encode(value):
    return json.dumps(value).encode()


def test_a_configuration_is_decoded_into_a_catalog():
    catalog = decode_catalog(encode(make_document(service="huvo11a")))
    assert catalog.generation == Generation(12)
    route = catalog.match("stalls.example", "/book/1")
    catch_all = catalog.match("stalls.example", "/other")
    assert route is not None
    assert catch_all is not None
    assert (route.name, route.idempotent, route.timeout) == ("r-1", False, 1.0)
    assert catch_all.name == "r-2"
    assert catalog.match("elsewhere.example", "/book/1") is None
    assert catalog.limits.idle_timeout == 15.0


def test_a_traffic_split_keeps_its_weights():
    split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    catalog = decode_catalog(encode(make_document(trafficSplit=split)))
    route = catalog.match("stalls.example", "/book/1")
    assert route is not None
    assert [(part.service, part.weight) for part in route.destinations] == [
        ("x", 90),
        ("y", 10),
    ]


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b'"text"', encode({"version": "r1"})],
    ids=["empty", "cut", "text", "fields missing"],
)
def test_an_invalid_configuration_raises_a_platform_error(value):
    with pytest.raises(PlatformError):
        decode_catalog(value)


# The pages set no greatest version, see also test_long_versions.py.
@pytest.mark.parametrize("digits", [1, 19, 20, 5_000])
def test_a_version_has_any_number_of_digits(digits):
    document = make_document(service="huvo11a") | {"version": "r" + "9" * digits}
    assert decode_catalog(encode(document)).generation == Generation("9" * digits)


@pytest.mark.parametrize("version", ["r²", "r" + "9" * 5_000 + "x", "r", "12", "r-1"])
def test_an_invalid_version_raises_a_platform_error(version):
    document = make_document(service="huvo11a") | {"version": version}
    with pytest.raises(PlatformError):
        decode_catalog(encode(document))


NO_WEIGHT = [{"service": "x", "weight": 0}, {"service": "y", "weight": 0}]


@pytest.mark.parametrize("weights", [[1e308, 1e308], [5e-324, 0]])
def test_the_sum_of_extreme_weights_is_a_number_above_0(weights):
    split = [{"service": "x", "weight": weight} for weight in weights]
    catalog = decode_catalog(encode(make_document(trafficSplit=split)))
    route = catalog.match("stalls.example", "/book/1")
    assert route is not None
    assert 0.0 < sum(part.weight for part in route.destinations) < math.inf


@pytest.mark.parametrize("number", ["1e400", "-1", "NaN", "Infinity"])
def test_a_weight_that_is_no_number_makes_its_route_unusable(number):
    split = [{"service": "x", "weight": 12345}, {"service": "y", "weight": 1}]
    value = encode(make_document(trafficSplit=split))
    catalog = decode_catalog(value.replace(b"12345", number.encode()))
    route = catalog.match("stalls.example", "/book/1")
    assert route is not None
    assert route.destinations == ()


# Guards against a whole configuration that is rejected for one route.
@pytest.mark.parametrize("action", [{}, {"trafficSplit": NO_WEIGHT}, {"service": 5}])
def test_a_route_without_a_destination_is_kept_apart_and_reported(action):
    document = make_document(**action)
    document["listeners"][0]["rules"][0]["action"] = {"service": "x", "timeoutS": 1}
    entries: list[UnusableEntry] = []
    catalog = decode_catalog(encode(document), entries.append)
    route = catalog.match("stalls.example", "/book/1")
    assert route is not None
    assert route.name == "r-1"
    assert route.destinations == ()
    other = catalog.match("stalls.example", "/other")
    assert other is not None
    assert [part.service for part in other.destinations] == ["x"]
    assert {(entry.kind, entry.name) for entry in entries} == {("route", "r-1")}


def test_a_registration_is_decoded_into_a_target():
    target = decode_target("i-1", encode(REGISTRATION))
    assert target.name == "i-1"
    assert target.started == 1_700_000_000_000
    assert target.instance == "10.1.0.8"
    assert not target.draining
    assert decode_target("i-1", encode(REGISTRATION | {"state": "draining"})).draining


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "sleeping"},
        {"addr": "nowhere"},
        {"addr": 5},
        {"slots": "many"},
        {"slots": 0},
        {"born": 1.5},
        {"born": None},
        {"seq": "x"},
        {"service": None},
        {"seq": -1},
        {"born": 2**64},
        {"slots": 10**25},
        {"addr": "10.1.0.8:²"},
        {"addr": "10.1.0.8:99999"},
        {"addr": "somewhere:80"},
    ],
)
def test_an_invalid_registration_raises_a_platform_error(changes):
    with pytest.raises(PlatformError):
        decode_target("i-1", encode(REGISTRATION | changes))


# The pages set no greatest sequence number, see also test_foreign_numbers.py.
def test_sequence_numbers_of_over_64_bits_are_in_order():
    registrations = [REGISTRATION | {"seq": seq} for seq in (2**63, 2**64, 2**65)]
    targets = [decode_target("i-1", encode(each)) for each in registrations]
    assert targets[0].sequence < targets[1].sequence < targets[2].sequence < 2**64


@pytest.mark.parametrize("field", ["service", "addr", "zone", "slots", "state", "born"])
def test_a_registration_with_a_missing_field_raises_a_platform_error(field):
    remaining = {name: value for name, value in REGISTRATION.items() if name != field}
    with pytest.raises(PlatformError):
        decode_target("i-1", encode(remaining))


@pytest.mark.parametrize("value", [b"\xff\xfe", b"null", b"[]", b""])
def test_undecodable_registration_bytes_raise_a_platform_error(value):
    with pytest.raises(PlatformError):
        decode_target("i-1", value)


def test_settings_are_decoded_and_unknown_fields_are_ignored():
    settings = parse_settings(SETTINGS)
    assert settings.name == "sidecar-a-1"
    assert settings.failure_domain == "a"
    assert settings.client_address == "10.1.0.8:8304"
    assert settings.peer_address == "10.1.0.8:7620"
    assert settings.metrics_address == "10.1.0.8:7635"
    assert settings.retry_limits == (0.2, 10.0, 49.0)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("node=sidecar-a-1", ""),
        ("appAddr=10.1.0.8:8301", "appAddr=10.1.0.8"),
        ("internalPorts=7620,7635", "internalPorts=7620"),
        ("bounds.graceS=6", "bounds.graceS=soon"),
    ],
)
def test_an_error_for_invalid_settings_names_the_setting(old, new):
    with pytest.raises(SettingsError) as caught:
        parse_settings(SETTINGS.replace(old, new))
    assert caught.value.subject.startswith("setting ")
