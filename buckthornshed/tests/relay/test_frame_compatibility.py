"""Tests that relays of the last landing and of this version understand each other.

`data/frames.json` has the messages of `frame_samples` as the last landing encodes them.
Old and new relays run side by side while instances are replaced one by one.
"""

import json
from pathlib import Path
from typing import get_args

from buckthornshed.protocol.relay_frames import MESSAGE_DECODER, MESSAGE_ENCODER
from buckthornshed.protocol.relay_messages import RelayMessage

from .frame_samples import SAMPLES

FRAMES = Path(__file__).parents[1] / "data" / "frames.json"


def recorded_frames():
    return [bytes.fromhex(frame) for frame in json.loads(FRAMES.read_text())]


def test_frames_of_the_last_landing_are_read():
    decoded = [MESSAGE_DECODER.decode(frame) for frame in recorded_frames()]
    assert decoded == list(SAMPLES)


def test_frames_are_written_as_the_last_landing_reads_them():
    assert [MESSAGE_ENCODER.encode(each) for each in SAMPLES] == recorded_frames()


def test_each_kind_of_message_is_compared():
    assert {type(each) for each in SAMPLES} == set(get_args(RelayMessage))
