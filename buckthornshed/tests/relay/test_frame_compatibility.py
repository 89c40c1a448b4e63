"""Tests that relays of the last landing and of this version understand each other.

`data/frames.json` has the messages of `frame_samples` as the last landing encodes them.
Old and new relays run side by side while instances are replaced one by one.
"""

import json
from pathlib import Path
from typing import get_args

import msgspec

from buckthornshed.protocol.relay_frames import MESSAGE_DECODER, MESSAGE_ENCODER
from buckthornshed.protocol.relay_messages import (
    FleetUpdate,
    Hello,
    ReaderReport,
    RelayMessage,
    StatedLimit,
    ViewSummary,
)
from buckthornshed.state.catalog import Catalog, Target

from .frame_samples import NEW_SAMPLES, SAMPLES

FRAMES = Path(__file__).parents[1] / "data" / "frames.json"


def recorded_frames():
    return [bytes.fromhex(frame) for frame in json.loads(FRAMES.read_text())]


def test_frames_of_the_last_landing_are_read():
    decoded = [MESSAGE_DECODER.decode(frame) for frame in recorded_frames()]
    assert decoded == list(SAMPLES)


class LastHello(msgspec.Struct, array_like=True, tag=0):
    """`Hello` with the fields that the last landing knows."""

    name: str
    started: int
    instance: str = ""


class LastFleetUpdate(msgspec.Struct, array_like=True, tag=8):
    """`FleetUpdate` with the fields that the last landing knows."""

    catalog: Catalog | None = None
    targets: list[Target] = []
    tombstones: list[tuple[str, int, int]] = []
    limits: list[StatedLimit] = []
    leaving: list[tuple[str, int]] = []
    reader: ReaderReport | None = None
    silent: list[str] = []


def without_new_fields(message):
    """Return the frame of a message as the last landing would write it."""
    frame = MESSAGE_ENCODER.encode(message)
    if isinstance(message, FleetUpdate | Hello):
        return MESSAGE_ENCODER.encode(msgspec.msgpack.decode(frame)[:-1])
    return frame


def test_frames_differ_from_those_of_the_last_landing_by_new_last_fields_only():
    written = [without_new_fields(each) for each in SAMPLES]
    assert written == recorded_frames()


def test_the_last_landing_reads_updates_and_ignores_new_fields():
    updates = [each for each in SAMPLES if isinstance(each, FleetUpdate)]
    assert len(updates) > 1
    for update in updates:
        update = msgspec.structs.replace(update, summary=ViewSummary(2**62, 3, 2**55))
        frame = MESSAGE_ENCODER.encode(update)
        read = msgspec.msgpack.decode(frame, type=LastFleetUpdate)
        for field in LastFleetUpdate.__struct_fields__:
            assert getattr(read, field) == getattr(update, field)


def test_the_last_landing_reads_the_first_message_of_this_version():
    hello = Hello("instance-1", 1_700, "10.0.0.1", True)
    read = msgspec.msgpack.decode(MESSAGE_ENCODER.encode(hello), type=LastHello)
    assert read == LastHello("instance-1", 1_700, "10.0.0.1")


# It would end the connection on a message that it does not know.
def test_a_relay_of_the_last_landing_expects_no_welcome():
    frame = MESSAGE_ENCODER.encode(LastHello("instance-1", 1_700, "10.0.0.1"))
    hello = MESSAGE_DECODER.decode(frame)
    assert isinstance(hello, Hello) and not hello.expects_welcome


def test_a_summary_is_read_as_it_was_written():
    update = FleetUpdate(summary=ViewSummary(2**62, 3, 2**55))
    assert MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(update)) == update


def test_each_kind_of_message_is_compared():
    samples = (*SAMPLES, *NEW_SAMPLES)
    assert {type(each) for each in samples} == set(get_args(RelayMessage))
    for each in NEW_SAMPLES:
        assert MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(each)) == each
