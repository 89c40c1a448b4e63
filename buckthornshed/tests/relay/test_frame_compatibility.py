"""Tests that relays of the last landing and of this version understand each other.

`data/frames.json` has the messages of `frame_samples` as the last landing encodes them.
Old and new relays run side by side while instances are replaced one by one.
"""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple, get_args

import msgspec
import pytest

from buckthornshed.protocol.relay_frames import MESSAGE_DECODER, MESSAGE_ENCODER
from buckthornshed.protocol.relay_messages import (
    FleetUpdate,
    Hello,
    ReaderReport,
    RelayMessage,
    StatedLimit,
    ViewSummary,
)
from buckthornshed.state.catalog import Limits, Route, Target
from buckthornshed.state.generation import Generation
from buckthornshed.state.workspaces import Workspace

from .frame_samples import CATALOG, NEW_SAMPLES, SAMPLES

FRAMES = Path(__file__).parents[1] / "data" / "frames.json"


def recorded_frames():
    return [bytes.fromhex(frame) for frame in json.loads(FRAMES.read_text())]


def test_frames_of_the_last_landing_are_read():
    decoded = [MESSAGE_DECODER.decode(frame) for frame in recorded_frames()]
    assert decoded == list(SAMPLES)


class EarlierHello(msgspec.Struct, array_like=True, tag=0):
    """`Hello` with the fields of versions that expect no `Welcome`."""

    name: str
    started: int
    instance: str = ""


class LastCatalog(NamedTuple):
    """`Catalog` as the last landing knows it."""

    generation: int
    routes: Mapping[str, tuple[Route, ...]]
    services: tuple[str, ...]
    limits: Limits
    workspaces: Mapping[str, Workspace] = {}
    keys: Mapping[bytes, str] = {}


class LastViewSummary(msgspec.Struct, array_like=True):
    """`ViewSummary` with the fields that the last landing knows."""

    revision: int
    generation: int
    targets: int


class LastFleetUpdate(msgspec.Struct, array_like=True, tag=8):
    """`FleetUpdate` with the fields that the last landing knows."""

    catalog: LastCatalog | None = None
    targets: list[Target] = []
    tombstones: list[tuple[str, int, int]] = []
    limits: list[StatedLimit] = []
    leaving: list[tuple[str, int]] = []
    reader: ReaderReport | None = None
    silent: list[str] = []
    summary: LastViewSummary | None = None


def without_new_fields(message):
    """Return the frame of a message as the last landing would write it."""
    frame = MESSAGE_ENCODER.encode(message)
    if isinstance(message, FleetUpdate):
        return MESSAGE_ENCODER.encode(msgspec.msgpack.decode(frame)[:-1])
    return frame


def test_frames_differ_from_those_of_the_last_landing_by_new_last_fields_only():
    written = [without_new_fields(each) for each in SAMPLES]
    assert written == recorded_frames()


def test_the_last_landing_reads_updates_and_ignores_new_fields():
    updates = [each for each in SAMPLES if isinstance(each, FleetUpdate)]
    assert len(updates) > 1
    for update in updates:
        update = msgspec.structs.replace(
            update, summary=ViewSummary(2**62, Generation(3), 2**55)
        )
        frame = MESSAGE_ENCODER.encode(update)
        read = msgspec.msgpack.decode(frame, type=LastFleetUpdate)
        for field in LastFleetUpdate.__struct_fields__[1:-1]:
            assert getattr(read, field) == getattr(update, field)
        assert read.summary == LastViewSummary(2**62, 3, 2**55)
        if update.catalog is not None:
            assert read.catalog == LastCatalog(12, *update.catalog[1:])


# Guards against a generation that ends the links to relays of the last landing.
@pytest.mark.parametrize("digits", [19, 20, 21, 400, 5_000])
def test_the_last_landing_reads_long_generations_in_their_order(digits):
    first, second = Generation("4" * digits), Generation("5" * digits)
    for earlier, later in ((first, second), (Generation(3), first)):
        read = [as_the_last_landing_reads(each) for each in (earlier, later)]
        assert read[0].catalog.generation == read[0].summary.generation
        if digits < 39:
            assert read[0].catalog.generation < read[1].catalog.generation
        assert read[0].catalog.generation <= read[1].catalog.generation


def as_the_last_landing_reads(generation):
    update = FleetUpdate(
        catalog=CATALOG._replace(generation=generation),
        summary=ViewSummary(5, generation, 7),
    )
    return msgspec.msgpack.decode(MESSAGE_ENCODER.encode(update), type=LastFleetUpdate)


@pytest.mark.parametrize("digits", [1, 19, 20, 400, 5_000])
def test_a_generation_of_any_length_is_read_as_it_was_written(digits):
    generation = Generation("9" * digits)
    update = FleetUpdate(
        catalog=CATALOG._replace(generation=generation),
        summary=ViewSummary(5, generation, 7),
    )
    read = MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(update))
    assert isinstance(read, FleetUpdate)
    assert read == update
    assert read.catalog is not None and read.catalog.generation == generation


def test_the_last_landing_reads_the_first_message_of_this_version():
    hello = Hello("instance-1", 1_700, "10.0.0.1", True)
    read = msgspec.msgpack.decode(MESSAGE_ENCODER.encode(hello), type=EarlierHello)
    assert read == EarlierHello("instance-1", 1_700, "10.0.0.1")


# It would end the connection on a message that it does not know.
def test_a_relay_of_an_earlier_version_expects_no_welcome():
    frame = MESSAGE_ENCODER.encode(EarlierHello("instance-1", 1_700, "10.0.0.1"))
    hello = MESSAGE_DECODER.decode(frame)
    assert isinstance(hello, Hello) and not hello.expects_welcome


def test_a_summary_is_read_as_it_was_written():
    update = FleetUpdate(summary=ViewSummary(2**62, Generation(3), 2**55))
    assert MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(update)) == update


def test_each_kind_of_message_is_compared():
    samples = (*SAMPLES, *NEW_SAMPLES)
    assert {type(each) for each in samples} == set(get_args(RelayMessage))
    for each in NEW_SAMPLES:
        assert MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(each)) == each
