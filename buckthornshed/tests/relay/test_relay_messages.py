"""Tests of the framing of relay messages: order, compression, invalid bytes."""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.errors import PeerError
from buckthornshed.protocol.relay_frames import (
    DECOMPRESSED_PART_BYTES,
    MAX_FRAME_BYTES,
    WINDOW_BITS,
    FrameReader,
    FrameWriter,
)
from buckthornshed.protocol.relay_messages import (
    AnswerMessage,
    CancelMessage,
    FleetUpdate,
    Ping,
    RefusalMessage,
    RefusalReason,
    Status,
)

from .makers import make_catalog, make_message, make_target

MESSAGES = [
    make_message(1, body=b"x" * 2_000),
    AnswerMessage(1, 200, b"HTTP/1.1 200 OK\r\n", b"whole", 0.5, 0.1),
    RefusalMessage(2, RefusalReason.OVERLOAD, 0.3, 1.5),
    CancelMessage(3),
    Ping(),
    Status("stalls", "t-1", 0.5, 100.0, {"a": 1.0}, {"a": 2.0}, {"a": {"b": 4.0}}),
    FleetUpdate(make_catalog(), [make_target()], [("t-2", 1_000, 5)]),
]


@given(
    chosen=st.lists(st.sampled_from(MESSAGES), max_size=12),
    size=st.integers(1, 700),
    flushes=st.integers(1, 4),
)
def test_messages_are_read_in_order_for_any_split_of_the_bytes(chosen, size, flushes):
    writer, reader = FrameWriter(), FrameReader()
    data = b""
    for flush in range(flushes):
        for message in chosen[flush::flushes]:
            writer.add(message)
        data += writer.flush()
    found = []
    for begin in range(0, len(data), size):
        found += reader.feed(data[begin : begin + size])
    sent = [message for flush in range(flushes) for message in chosen[flush::flushes]]
    assert found == sent


def test_repeated_heads_are_compressed():
    writer = FrameWriter()
    sizes = []
    for number in range(20):
        message = make_message(number, request_id=b"%016x" % (number * 7_919))
        message.head = b"GET /avail/%d HTTP/1.1\r\nhost: stalls.example\r\n" % number
        writer.add(message)
        sizes.append(len(writer.flush()))
    assert max(sizes[5:]) <= sizes[0] // 2


@pytest.mark.parametrize(
    "data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64], ids=["http", "noise"]
)
def test_invalid_bytes_raise_a_peer_error(data):
    with pytest.raises(PeerError):
        FrameReader().feed(data)


def test_an_undecodable_message_raises_a_peer_error():
    writer = FrameWriter()
    writer.frames += [(3).to_bytes(4, "big"), b"\xc1\xc1\xc1"]
    with pytest.raises(PeerError):
        FrameReader().feed(writer.flush())


def test_an_oversized_frame_raises_a_peer_error():
    writer = FrameWriter()
    writer.frames += [(2**31).to_bytes(4, "big")]
    with pytest.raises(PeerError):
        FrameReader().feed(writer.flush())


def compressed(data):
    compressor = zlib.compressobj(wbits=-WINDOW_BITS)
    return compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)


def test_a_frame_over_the_size_limit_is_refused_before_it_is_decompressed():
    length = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
    reader = FrameReader()
    with pytest.raises(PeerError, match="at most"):
        reader.feed(compressed(length + bytes(MAX_FRAME_BYTES)))
    assert len(reader.buffer) <= DECOMPRESSED_PART_BYTES


def test_a_frame_of_several_decompressed_parts_is_read():
    body = b"a" * (3 * DECOMPRESSED_PART_BYTES)
    answer = AnswerMessage(1, 200, b"", body, 0.5, 0.1)
    writer = FrameWriter()
    writer.add(answer)
    writer.add(Ping())
    assert FrameReader().feed(writer.flush()) == [answer, Ping()]
